package replica

import (
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

const (
	// minOutage is how long reads of the key-value service must fail in a row to count as an
	// outage. A single failed call is not an outage.
	minOutage = time.Second
	// clockMargin allows for the network delay of an answer when the times of two hosts are
	// compared.
	clockMargin = 50 * time.Millisecond
)

// outage is a period in which, as far as this host has learned, the key-value service answered no
// host.
type outage struct{ began, ended time.Time }

// recordFailure counts a failed read of the key-value service and logs the first of consecutive
// failures.
func (r *Replica) recordFailure(err error) {
	Failures.Inc(string(kv.ReasonOf(err)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failingSince.IsZero() {
		return
	}
	r.failingSince = time.Now()
	events.ReplicaLost.Log(r.logger, "prefix", r.prefix, "revision", uint64(r.revision()), "error", err)
}

// recordSuccess ends a series of failed reads of the key-value service, if there is one: it records
// and logs the period of the failures.
func (r *Replica) recordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		return
	}
	now := time.Now()
	failedFor := now.Sub(r.failingSince)
	r.recordOutage(outage{began: r.failingSince, ended: now}, r.peerConfirmedAt)
	r.failingSince = time.Time{}
	events.ReplicaRegained.Log(r.logger, "prefix", r.prefix, "after_ms", failedFor.Milliseconds())
}

// recordOutage records the period in which one host's reads failed as an outage of the key-value
// service, unless the service confirmed another host's copy during that period; then only the one
// host was cut off. The caller must hold r.mu.
func (r *Replica) recordOutage(o outage, confirmed time.Time) {
	minDuration := minOutage
	if confirmed.After(o.began.Add(clockMargin)) {
		// The service was available until it confirmed the other host's copy, so that an outage
		// starts there. Without an outage, the next read that confirms the copy may take a whole
		// watch timeout.
		o.began = confirmed
		minDuration += r.watchTimeout
	}
	switch {
	case !o.ended.After(r.outage.ended):
	case o.ended.Sub(o.began) >= minDuration:
		r.outage = o
	default:
		Failures.Inc(labelNoOutage)
	}
}

// recordRestore records the end of an outage for a rise of the era, however short the outage was: what
// the key-value service has lost is written again, as what expired in an outage is. Began is when the
// service last answered in the era before. The caller must hold r.mu.
func (r *Replica) recordRestore(began, ended time.Time) {
	if !ended.After(began) {
		ended = time.Now()
	}
	r.outage = outage{began: began, ended: ended}
}

// latest returns the later of a and b.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
