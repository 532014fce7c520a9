package replica

import (
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

const (
	// outageSpan is how long reads must fail before their end counts as the
	// end of an outage; one failed call is not one.
	outageSpan = time.Second
	// clockMargin covers the way of an answer, in comparisons of two hosts' times.
	clockMargin = 50 * time.Millisecond
)

// outage is a span in which the service answered nobody, as far as is known.
type outage struct{ began, ended time.Time }

// failed notes a failed read; the first of a row is logged.
func (r *Replica) failed(err error) {
	Failures.Inc(string(kv.ReasonOf(err)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing.IsZero() {
		return
	}
	r.failing = time.Now()
	events.ReplicaLost.Log(r.logger, "prefix", r.prefix, "revision", uint64(r.revision()), "error", err)
}

// answered notes that the service answered.
func (r *Replica) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing.IsZero() {
		return
	}
	now := time.Now()
	span := now.Sub(r.failing)
	r.noteOutage(outage{began: r.failing, ended: now}, r.confirmed)
	r.failing = time.Time{}
	events.ReplicaRegained.Log(r.logger, "prefix", r.prefix, "after_ms", span.Milliseconds())
}

// noteOutage keeps the span in which one host had no answer as an outage of the
// service, unless the service confirmed another host's copy meanwhile: then only
// the one was cut off. It is called with the replica locked.
func (r *Replica) noteOutage(o outage, confirmed time.Time) {
	least := outageSpan
	if confirmed.After(o.began.Add(clockMargin)) {
		// A copy may be as old as a watch lasts until the next answer.
		o.began = confirmed
		least += r.wait
	}
	switch {
	case !o.ended.After(r.outage.ended):
	case o.ended.Sub(o.began) >= least:
		r.outage = o
	default:
		Failures.Inc(labelCutOff)
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
