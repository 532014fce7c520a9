package agent

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/rollout"
)

// inFlight counts the requests in flight at the upstreams of one version.
type inFlight struct{ all, resumable atomic.Int64 }

// Attempt is one request that was sent to an upstream. A nil Attempt records nothing.
type Attempt struct {
	counters  *inFlight
	recorder  *rollout.Recorder // nil if the request is no evidence
	kind      class
	version   string
	route     string
	resumable bool
	ended     bool
}

// Record counts the outcome of the request. latency is the time to the first byte of its answer.
func (t *Attempt) Record(failed bool, latency time.Duration) {
	if t == nil || t.recorder == nil {
		return
	}
	t.recorder.Record(t.version, t.route, failed, latency)
	outcome := "answered"
	if failed {
		outcome = "failed"
	}
	Outcomes.Inc(string(t.kind) + "_" + outcome)
}

// End counts the request as no longer in flight. Further calls have no effect.
func (t *Attempt) End() {
	if t == nil || t.ended {
		return
	}
	t.ended = true
	t.counters.add(-1, t.resumable)
}

func (c *inFlight) add(n int64, resumable bool) {
	if resumable {
		c.resumable.Add(n)
	}
	c.all.Add(n)
}

// countersOf returns the counters of a version.
func (p *pool) countersOf(version string) *inFlight {
	if c, ok := p.counters.Load(version); ok {
		return c.(*inFlight)
	}
	c, _ := p.counters.LoadOrStore(version, &inFlight{})
	return c.(*inFlight)
}

// Choose returns which upstreams of a pool the next attempt may use, by id: those of first and, if none of them can
// be chosen, those of then. If first is nil, all may be used; if then is nil, there is no second choice.
func (a *Agent) Choose(pool string, list *hosts.Snapshot) (first, then func(id string) bool) {
	v := a.pool(pool).view(list)
	if !v.restricted {
		return nil, nil
	}
	s := v.state
	if !s.undecided() {
		return v.onlyOld, nil
	}
	now := a.Elapsed()
	switch {
	case s.exposes(now) && s.affordable():
		if rand.Float64() < s.step {
			return v.onlyCanaries, v.onlyOld
		}
		return v.onlyOld, v.onlyCanaries
	case s.promotedShare(now) >= 1:
		return v.onlyTarget, nil
	case rand.Float64() < s.promotedShare(now):
		return v.onlyTarget, v.onlyOld
	case s.promotedShare(now) > 0:
		return v.onlyOld, v.onlyTarget
	default:
		return v.onlyOld, nil
	}
}

// affordable reports whether the credit suffices for a request to the target. Send pays for it.
func (s *state) affordable() bool {
	if !s.credit.Take() {
		return false
	}
	s.credit.Refund()
	return true
}

// Send is called before the first byte of an attempt is written. It returns false if the attempt must not be sent.
// Otherwise the caller calls End of the returned attempt when the attempt has ended.
func (a *Agent) Send(h hosts.Host, route string, resumable bool) (*Attempt, bool) {
	p := a.pool(h.Pool)
	c := p.countersOf(h.Version)
	// The request is counted before the state is read: a report that is made after a change of the state
	// includes every request that was allowed before the change.
	c.add(1, resumable)
	v := p.current.Load()
	kind, listed := v.classes[h.Version]
	if !listed {
		p.mu.Lock()
		kind, _ = p.classOf(v.state, h.Version, a.Elapsed())
		p.mu.Unlock()
	}
	now := a.Elapsed()
	if !v.admits(h, kind, now) {
		c.add(-1, resumable)
		Refusals.Inc(string(kind))
		return nil, false
	}
	t := &Attempt{counters: c, kind: kind, version: h.Version, route: route, resumable: resumable}
	s := v.state
	// The versions are compared over the same requests: one at an old version is evidence only if chance alone kept it
	// from the target.
	if s.exposes(now) && (kind == classTarget || s.affordable()) || s.undecided() && s.promotedShare(now) > 0 {
		t.recorder = s.recorder
	}
	if s.undecided() {
		s.credit.Earn()
		Sends.Inc(string(kind))
	}
	return t, true
}

// admits reports whether a request may be sent to an upstream of the given class. It pays for one to a canary.
func (v *view) admits(h hosts.Host, kind class, now time.Duration) bool {
	s := v.state
	switch kind {
	case classTarget:
		if s.exposes(now) {
			return v.canaries[h.ID] && s.credit.Take()
		}
		return s.promotedShare(now) > 0
	case classOld:
		return !s.undecided() || s.promotedShare(now) < 1
	case classHeld:
		return v.useHeld && (!s.undecided() || s.promotedShare(now) < 1)
	default:
		return false
	}
}

// inFlightAt returns the requests in flight at upstreams of other versions than the target, those of them that can be
// resumed elsewhere, and the requests in flight at upstreams of the target.
func (p *pool) inFlightAt(target string) (old, resumable, atTarget int64) {
	p.counters.Range(func(version, value any) bool {
		c := value.(*inFlight)
		if version == target {
			atTarget += c.all.Load()
			return true
		}
		old += c.all.Load()
		resumable += c.resumable.Load()
		return true
	})
	return old, resumable, atTarget
}
