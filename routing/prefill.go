package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// freeWaiting is the number of unread prompt tokens up to which an upstream
	// keeps the prompts that it has cached; an engine reads about 50 tokens a
	// millisecond, so that they delay the next first token by a quarter of a second.
	freeWaiting = 12000
	// freeShare of an upstream's slots is the number of this host's requests
	// there up to which affinity goes before load.
	freeShare = 0.5
	// queuedCost is what a running request counts as in unread tokens: it slows
	// each step a little.
	queuedCost = 300
)

// Prefill keeps prompts that begin alike on the same upstream while it has few
// unread tokens, and otherwise takes the one that will have read them first.
type Prefill struct{}

// Pick implements Policy.
func (Prefill) Pick(s *Snapshot, r *Request, _ uint64) Choice {
	best, preferred := -1, -1
	var least int64
	var highest uint64
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !allowed(u, r) || u.Slow(r.Now) {
			continue
		}
		if load := u.Live.backlog(); best < 0 || load < least {
			best, least = i, load
		}
		if len(r.Blocks) == 0 || !u.roomy() {
			continue
		}
		if weight := rendezvous(r.Blocks[0], u.ID); preferred < 0 || weight > highest {
			preferred, highest = i, weight
		}
	}
	switch {
	case preferred >= 0:
		return Choice{Index: preferred, Reason: ReasonAffinity}
	case best >= 0:
		return Choice{Index: best, Reason: ReasonLoad}
	}
	return lastResort(s, r)
}

// lastResort returns the upstream with the least work among those that failed
// lately.
func lastResort(s *Snapshot, r *Request) Choice {
	best := -1
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if allowed(u, r) && (best < 0 || u.Live.backlog() < s.Upstreams[best].Live.backlog()) {
			best = i
		}
	}
	if best < 0 {
		return noChoice
	}
	return Choice{Index: best, Reason: ReasonLastResort}
}

// roomy says whether the upstream can take a request without making it wait.
func (u *Upstream) roomy() bool {
	if u.Slots > 0 && float64(u.load()) >= freeShare*float64(u.Slots) {
		return false
	}
	return u.Live.waiting.Load() < freeWaiting
}

// backlog is the work that was sent to the upstream and is not done, in tokens.
func (l *Live) backlog() int64 { return l.waiting.Load() + queuedCost*l.inFlight.Load() }

// BeginPrefill counts prompt tokens that the upstream has to read.
func (l *Live) BeginPrefill(tokens int) { l.waiting.Add(int64(tokens)) }

// EndPrefill counts them as read, or as not to be read any more.
func (l *Live) EndPrefill(tokens int) { l.waiting.Add(-int64(tokens)) }

// rendezvous returns the weight of an upstream for a key: each host computes
// the same, and a change of the upstreams moves only the keys of those changed.
func rendezvous(key uint64, id string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(key, 16) + "/" + id)
}

// LeastBacklog takes the upstream with the least work that did not fail lately,
// in the request's own failure domain where that one is as good.
type LeastBacklog struct {
	// Domain is the failure domain of the host that sends.
	Domain string
}

// Pick implements Policy.
func (p LeastBacklog) Pick(s *Snapshot, r *Request, random uint64) Choice {
	best, near := -1, false
	if len(s.Upstreams) == 0 {
		return noChoice
	}
	start := pick(&random, len(s.Upstreams))
	for step := range s.Upstreams {
		i := (start + step) % len(s.Upstreams)
		u := &s.Upstreams[i]
		if !allowed(u, r) || u.Slow(r.Now) {
			continue
		}
		local := u.FailureDomain == p.Domain
		if best < 0 || u.load() < s.Upstreams[best].load() || (u.load() == s.Upstreams[best].load() && local && !near) {
			best, near = i, local
		}
	}
	if best >= 0 {
		return Choice{Index: best, Reason: ReasonLoad}
	}
	return lastResort(s, r)
}
