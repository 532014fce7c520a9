package main

import (
	"slices"
	"time"

	"github.com/cardamompier/cardamompier/promptcache"
	"github.com/cardamompier/cardamompier/routing"
)

const (
	// simMinShared is the smallest shared part, in tokens, for which a host asks the prompt's owner.
	simMinShared = 500
	// sentRetention and sentUpstreams are the limits of package prefixes.
	sentRetention, sentUpstreams = 60 * time.Second, 8
	// prefillShare is the share of a shared prompt that routing.Prefill assumes to be cached where the
	// prompt was sent.
	prefillShare = 0.95
)

// chosenUpstream is the choice of a policy, with the tokens that are expected to be held there and the tokens that are
// counted as unread.
type chosenUpstream struct{ index, held, unread int }

// promptPolicy chooses the upstream of a prompt.
type promptPolicy interface {
	pick(s *promptSim, h *simHost, p *simPrompt) chosenUpstream
}

// sentTo is an upstream to which a prompt was sent.
type sentTo struct {
	index int
	at    time.Duration
}

// owner returns the host that owns the prompt; nil if the prompt's shared parts are too small.
func (s *promptSim) owner(p *simPrompt) *simHost {
	if p.shared() < simMinShared {
		return nil
	}
	return s.hosts[p.chain[0].Digest%uint64(len(s.hosts))]
}

// remember records in the directory of whole shared prompts that a prompt was sent to an upstream.
func (s *promptSim) remember(digest uint64, index int) {
	sent := slices.DeleteFunc(s.directory[digest], func(d sentTo) bool { return d.index == index })
	sent = slices.Insert(sent, 0, sentTo{index, s.now})
	s.directory[digest] = sent[:min(len(sent), sentUpstreams)]
}

// blindPolicy is a policy that does not know what the upstreams hold.
type blindPolicy struct{ policy routing.Policy }

func (b blindPolicy) pick(s *promptSim, h *simHost, p *simPrompt) chosenUpstream {
	choice := b.policy.Pick(h.snapshot, &routing.Request{Now: simTime(s.now)}, s.random.Uint64())
	return chosenUpstream{index: choice.Index, unread: p.tokens}
}

// prefillPolicy is routing.Prefill with the directory of whole shared prompts.
type prefillPolicy struct {
	byRate bool // routing.ExpectedFinish takes the place of routing.Prefill
}

func (f prefillPolicy) pick(s *promptSim, h *simHost, p *simPrompt) chosenUpstream {
	policy := routing.Prefill{Tokens: p.tokens, Shared: p.shared(), ShortShare: h.mix.ShortShare()}
	r := &routing.Request{Now: simTime(s.now)}
	if p.shared() >= simMinShared {
		var ids []string
		for _, d := range s.directory[p.digest()] {
			if s.now-d.at <= sentRetention {
				ids = append(ids, s.upstreams[d.index].run.ID)
			}
		}
		policy.Cached = func(id string) bool { return slices.Contains(ids, id) || h.memory.Has(p.digest(), id, r.Now) }
		r.Blocks = []uint64{p.digest()}
	}
	var used routing.Policy = policy
	if f.byRate {
		used = routing.ExpectedFinish{Prefill: policy, Arrived: s.arrived(h)}
	}
	choice := used.Pick(h.snapshot, r, s.random.Uint64())
	chosen := chosenUpstream{index: choice.Index, unread: choice.PrefillTokens}
	if id := s.upstreams[choice.Index].run.ID; policy.Cached != nil {
		if policy.Cached(id) {
			chosen.held = int(prefillShare * float64(p.shared()))
		}
		h.memory.Sent(p.digest(), id, r.Now)
	}
	return chosen
}

// arrived returns the work that the other hosts are expected to have sent since their newest loads, in
// tokens.
func (s *promptSim) arrived(h *simHost) float64 {
	return h.others * float64(s.now-h.loadsAt) / float64(simDigestInterval)
}

// weighPolicy is routing.HeldPrefill with estimates of what the upstreams hold.
type weighPolicy struct {
	surcharge float64
	exact     bool    // what the upstreams hold is known
	ownOnly   bool    // no owner is asked
	wrongBy   float64 // estimates are wrong by up to this share
	byRate    bool    // routing.ExpectedFinish takes the place of routing.HeldPrefill
}

// held returns what each upstream is estimated to hold.
func (w weighPolicy) held(s *promptSim, h *simHost, p *simPrompt) map[promptcache.Run]int {
	if w.exact {
		held := make(map[promptcache.Run]int, len(s.upstreams))
		for _, u := range s.upstreams {
			held[u.run] = u.memory.held(p)
		}
		return held
	}
	held := h.tracker.Holders(p.chain, simTime(s.now))
	if owner := s.owner(p); owner != nil && owner != h && !w.ownOnly {
		for run, tokens := range owner.tracker.Holders(p.chain, simTime(s.now)) {
			if held == nil {
				held = map[promptcache.Run]int{}
			}
			held[run] = max(held[run], tokens)
		}
	}
	return held
}

func (w weighPolicy) pick(s *promptSim, h *simHost, p *simPrompt) chosenUpstream {
	held := w.held(s, h, p)
	if w.wrongBy > 0 {
		for _, u := range s.upstreams { // in this order, so that the same seed gives the same run
			if tokens, ok := held[u.run]; ok {
				held[u.run] = min(p.shared(), int(float64(tokens)*(1+w.wrongBy*(2*s.random.Float64()-1))))
			}
		}
	}
	prefill := routing.Prefill{Tokens: p.tokens, Shared: p.shared(), ShortShare: h.mix.ShortShare()}
	at := func(id string) int { return held[promptcache.Run{ID: id}] }
	var policy routing.Policy = routing.HeldPrefill{Prefill: prefill, CopySurcharge: w.surcharge, Held: at}
	if w.byRate {
		policy = routing.ExpectedFinish{Prefill: prefill, CopySurcharge: w.surcharge, Held: at, Arrived: s.arrived(h)}
	}
	r := &routing.Request{Now: simTime(s.now)}
	if p.shared() >= simMinShared {
		r.Blocks = []uint64{p.digest()}
	}
	choice := policy.Pick(h.snapshot, r, s.random.Uint64())
	return chosenUpstream{index: choice.Index, held: p.tokens - choice.PrefillTokens, unread: choice.PrefillTokens}
}
