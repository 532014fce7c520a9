package routing

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// runningCost is the cost of a running request, in unread prompt tokens. Each
	// running request slows every step of the engine slightly.
	runningCost = 250
	// noSlotCost is added when all slots of an upstream are in use, because the
	// request then waits for a free slot. The unit is unread prompt tokens.
	noSlotCost = 40000
	// sentCachedShare is the part of a shared prompt that is assumed to be cached
	// at an upstream to which the prompt was sent recently. If it was sent to
	// none, firstCachedShare and secondCachedShare are assumed for the first two
	// upstreams in the rendezvous hashing order of the prompt.
	sentCachedShare, firstCachedShare, secondCachedShare = 0.95, 0.6, 0.3
	// rereadSurcharge is the additional cost of a shared token that is read
	// again, as a multiple of the cost of reading it. The repeated read delays
	// all waiting requests and uses cache space.
	rereadSurcharge = 0.7
	// crossPartCost is added when a short prompt would run among long prompts or
	// a long prompt among short ones. Reading a long prompt interrupts the
	// answers that are being generated.
	crossPartCost = 6000
	// ShortPrompt is the largest size of a short prompt, in tokens. An engine
	// reads a short prompt in one or two steps.
	ShortPrompt = 4000
	// slowCost is added for an upstream that is marked as a straggler or failed
	// recently.
	slowCost = 1 << 40
)

// Prefill chooses the upstream that is expected to finish reading the prompt
// first. The estimate uses the unread tokens from all hosts and the cached part
// of the prompt. A part of the pool is reserved for short prompts while that part
// has room.
type Prefill struct {
	// Tokens is the size of the prompt, and Shared the size of the part that
	// other requests have in common with it. Both are in tokens.
	Tokens, Shared int
	// ShortShare is the share of work, in tokens, that comes from short prompts,
	// from 0 to 1.
	ShortShare float64
	// Cached reports whether the shared prompt was sent to an upstream recently;
	// nil means unknown. If the prompt was sent to no upstream, Pick prefers two
	// upstreams that every host computes from a hash of the prompt.
	Cached func(id string) bool
}

// Pick returns the allowed upstream with the lowest cost, in unread prompt
// tokens.
func (p Prefill) Pick(s *Snapshot, r *Request, _ uint64) Choice {
	first, second := -1, -1
	if !p.cachedAnywhere(s, r) {
		first, second = p.preferredTwo(s, r)
	}
	short := shortCount(len(s.Upstreams), p.ShortShare)
	best, reason, sentBefore := -1, ReasonLoad, false
	failing := failingUpstreams(s, r.Now)
	least := int64(math.MaxInt64)
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !allowed(u, r) {
			continue
		}
		cached, has := 0.0, p.Cached != nil && p.Cached(u.ID)
		switch {
		case has:
			cached = sentCachedShare
		case i == first:
			cached = firstCachedShare
		case i == second:
			cached = secondCachedShare
		}
		reread := (1 - cached) * float64(p.Shared)
		cost := u.Live.Backlog() + int64(p.Tokens-p.Shared) + int64((1+rereadSurcharge)*reread)
		if u.Slots > 0 && u.Live.InFlight()+u.Live.OthersInFlight() >= u.Slots {
			cost += noSlotCost
		}
		if s.layout != nil && (s.layout.rank[i] < short) != (p.Tokens <= ShortPrompt) {
			cost += crossPartCost
		}
		cost += faultCost(u, failing[i], r.Now)
		if cost < least {
			best, least, sentBefore = i, cost, has
		}
	}
	switch {
	case best < 0:
		return noChoice
	case least >= failingCost:
		reason = ReasonLastResort
	case sentBefore:
		reason = ReasonAffinity
	}
	unread := p.Tokens
	if sentBefore {
		unread -= int(sentCachedShare * float64(p.Shared))
	}
	return Choice{Index: best, Reason: reason, PrefillTokens: unread}
}

// cachedAnywhere reports whether the shared prompt was recently sent to an
// upstream that the request may use.
func (p Prefill) cachedAnywhere(s *Snapshot, r *Request) bool {
	return p.Cached != nil && slices.ContainsFunc(s.Upstreams, func(u Upstream) bool { return allowed(&u, r) && p.Cached(u.ID) })
}

// faultCost returns the additional cost of an upstream that is slow or fails too
// many requests.
func faultCost(u *Upstream, failing bool, now time.Time) int64 {
	switch {
	case u.Slow(now):
		return slowCost
	case failing:
		return failingCost
	}
	return 0
}

// preferredTwo returns the first two upstreams in the rendezvous hashing order of
// the request's shared prompt. Only the part of the pool for prompts of this size
// is considered; -1 means none.
func (p Prefill) preferredTwo(s *Snapshot, r *Request) (first, second int) {
	first, second = -1, -1
	if len(r.Blocks) == 0 || p.Shared == 0 {
		return first, second
	}
	short := shortCount(len(s.Upstreams), p.ShortShare)
	var high, next uint64
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !allowed(u, r) || u.Slow(r.Now) {
			continue
		}
		if s.layout != nil && (s.layout.rank[i] < short) != (p.Tokens <= ShortPrompt) {
			continue
		}
		switch weight := rendezvous(r.Blocks[0], u.ID); {
		case first < 0 || weight > high:
			second, next = first, high
			first, high = i, weight
		case second < 0 || weight > next:
			second, next = i, weight
		}
	}
	return first, second
}

// shortCount returns how many upstreams of a pool are reserved for short prompts.
func shortCount(upstreams int, share float64) int {
	if upstreams < 3 || share <= 0 {
		return 0
	}
	return min(max(1, int(math.Round(share*float64(upstreams)))), upstreams-1)
}

// Backlog returns the unfinished work that all hosts have sent to the upstream,
// in prompt tokens.
func (l *UpstreamStats) Backlog() int64 {
	return l.waiting.Load() + l.othersWaiting.Load() + runningCost*(l.inFlight.Load()+l.othersInFlight.Load())
}

// BeginPrefill adds prompt tokens that the upstream has to read.
func (l *UpstreamStats) BeginPrefill(tokens int) { l.waiting.Add(int64(tokens)) }

// EndPrefill subtracts prompt tokens that the upstream has read or no longer has
// to read.
func (l *UpstreamStats) EndPrefill(tokens int) { l.waiting.Add(-int64(tokens)) }

// Unread returns the number of prompt tokens from this host that the upstream has
// not read yet.
func (l *UpstreamStats) Unread() int64 { return l.waiting.Load() }

// SetOthers stores the reports of the other hosts about the upstream: unread
// prompt tokens, requests in flight and request outcomes.
func (l *UpstreamStats) SetOthers(unread, inFlight int64, outcomes Outcomes) {
	l.othersWaiting.Store(unread)
	l.othersInFlight.Store(inFlight)
	l.othersOutcomes.Store(&outcomes)
}

// OthersInFlight returns the number of requests that other hosts have in flight at the
// upstream.
func (l *UpstreamStats) OthersInFlight() int { return int(l.othersInFlight.Load()) }

// rendezvous returns the weight of an upstream for a key (rendezvous hashing).
// All hosts compute the same weight. When upstreams join or leave, only the keys
// of those upstreams move.
func rendezvous(key uint64, id string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(key, 16) + "/" + id)
}

// LeastBacklog chooses the upstream with the fewest requests in flight from all
// hosts. Among equals it prefers one in the sender's failure domain.
type LeastBacklog struct {
	// Domain is the failure domain of the sending host.
	Domain string
}

// Pick compares all allowed upstreams. A random start position breaks ties.
func (p LeastBacklog) Pick(s *Snapshot, r *Request, random uint64) Choice {
	order := make([]int, len(s.Upstreams))
	for i := range order {
		order[i] = i
	}
	start := 0
	if len(order) > 0 {
		start = randomBelow(&random, len(order))
	}
	order = slices.Concat(order[start:], order[:start])
	best := -1
	failing := failingUpstreams(s, r.Now)
	least := int64(math.MaxInt64)
	for _, i := range order {
		u := &s.Upstreams[i]
		if !allowed(u, r) {
			continue
		}
		cost := 2 * int64(u.Live.InFlight()+u.Live.OthersInFlight())
		if u.FailureDomain != p.Domain {
			cost++
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
		return Choice{Index: best, Reason: ReasonLastResort}
	}
	return Choice{Index: best, Reason: ReasonLoad}
}
