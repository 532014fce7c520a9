package routing

import "math"

// HeldPrefill chooses an upstream like Prefill, by estimates of what each upstream holds of the prompt in
// place of assumed shares. Prefill.Cached is not used.
type HeldPrefill struct {
	Prefill
	// Held returns the number of leading prompt tokens, at most Shared, that an upstream holds in its
	// prompt cache.
	Held func(id string) int
	// CopySurcharge is the additional cost of reading a token again that another upstream holds, as a
	// multiple of reading it; see DefaultCopySurcharge.
	CopySurcharge float64
}

// DefaultCopySurcharge is the CopySurcharge of the forwarder. A token that is read again delays all
// requests that wait at the upstream and evicts tokens that later requests need. Among 0, 0.7, 1.5, 3
// and 6, larger values carried more load; with 6, prompts that most requests share waited longer
// (experiment prompts, docs/design/18-cached-prompts.md).
const DefaultCopySurcharge = 3

// CopyCost returns the additional cost, in prompt tokens, of reading a prompt where copied tokens are
// read again that another upstream holds. own is the part of the prompt that no upstream holds. At an idle
// upstream the cost is at most own, so that an idle upstream is never worse than a wait that is
// longer than reading the whole prompt.
func CopyCost(copied, own int, surcharge float64, idle bool) int64 {
	cost := int64(surcharge * float64(max(0, copied)))
	if idle {
		cost = min(cost, int64(max(0, own)))
	}
	return cost
}

// heldTokens returns what each upstream holds and the most that an allowed one holds.
func (p HeldPrefill) heldTokens(s *Snapshot, r *Request) (held []int, most int) {
	held = make([]int, len(s.Upstreams))
	for i := range s.Upstreams {
		if u := &s.Upstreams[i]; allowed(u, r) {
			held[i] = min(max(0, p.Held(u.ID)), p.Shared, p.Tokens)
			most = max(most, held[i])
		}
	}
	return held, most
}

// Pick returns the allowed upstream with the lowest cost, in unread prompt tokens, by what the
// upstreams hold. Where no upstream holds the whole shared prompt, the two upstreams that every host computes from
// its hash are preferred, so that hosts with old loads do not all choose the same upstream.
func (p HeldPrefill) Pick(s *Snapshot, r *Request, _ uint64) Choice {
	held, most := p.heldTokens(s, r)
	first, second := -1, -1
	if most < p.Shared {
		first, second = p.preferredTwo(s, r)
	}
	short := shortCount(len(s.Upstreams), p.ShortShare)
	failing := failingUpstreams(s, r.Now)
	best, least := -1, int64(math.MaxInt64)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !allowed(u, r) {
			continue
		}
		backlog := u.Live.Backlog()
		cost := backlog + int64(p.Tokens-held[i]) + CopyCost(most-held[i], p.Tokens-most, p.CopySurcharge, backlog == 0)
		switch i {
		case first:
			cost -= int64(firstCachedShare * (1 + rereadSurcharge) * float64(p.Shared-most))
		case second:
			cost -= int64(secondCachedShare * (1 + rereadSurcharge) * float64(p.Shared-most))
		}
		if u.Slots > 0 && u.Live.InFlight()+u.Live.OthersInFlight() >= u.Slots {
			cost += noSlotCost
		}
		if s.layout != nil && (s.layout.rank[i] < short) != (p.Tokens <= ShortPrompt) {
			cost += crossPartCost
		}
		cost += faultCost(u, failing[i], r.Now)
		if cost < least {
			best, least = i, cost
		}
	}
	switch {
	case best < 0:
		return noChoice
	case least >= failingCost:
		return Choice{Index: best, Reason: ReasonLastResort, PrefillTokens: p.Tokens - held[best]}
	case held[best] > 0:
		return Choice{Index: best, Reason: ReasonAffinity, PrefillTokens: p.Tokens - held[best]}
	}
	return Choice{Index: best, Reason: ReasonLoad, PrefillTokens: p.Tokens}
}
