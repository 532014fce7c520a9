// Package lease elects one holder at a time for each duty, a job that one host does for all. Each
// term of a holder has a fencing number, greater than that of every earlier term. A term ends on
// the holder's own clock before any other host may begin one. That clock also runs while the host is
// suspended, see clock.Elapsed.
//
// A holder renews its lease by rewriting the stored value. A contender acquires the lease when the
// value has not changed for a whole lease, measured on the contender's clock from when it first
// read the value. Clocks of different hosts are never compared.
//
// The store may come back from an older copy, see kv.Era: the copy may show an earlier holder, a released lease or none.
// A term goes on or ends on the holder's own clock all the same. What was stored before the present era says nothing
// about the present holder, so that a contender waits for a whole lease from when it first read it.
//
// A host may be suspended between a check of its term and the call that follows. The context of a term
// is cancelled within expiryCheckInterval after the host resumes, which ends calls that are under way.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/kv"
)

// keyPrefix precedes the name of a lease in its key in the store.
const keyPrefix = "lease/"

// expiryCheckInterval is the longest time between two checks whether a term has expired. Timers stop
// while the host is suspended, so that one timer for the rest of the term would fire late.
const expiryCheckInterval = 100 * time.Millisecond

// purpose labels the store calls of this package. They have the highest priority, PrioritySafety,
// because a holder that cannot renew its lease must stop its work.
var purpose = kv.Purpose{Name: "lease", Priority: kv.PrioritySafety}

// duty is the stored value of a lease.
type duty struct {
	Holder string    `cbor:"1,keyasint"`
	Fence  uint64    `cbor:"2,keyasint"`
	Nonce  uuid.UUID `cbor:"3,keyasint"` // unique to each write, to resolve lost answers
	TTLMS  int64     `cbor:"4,keyasint"`
	// Released reports that the holder has ended its term and the lease is free.
	Released bool `cbor:"5,keyasint,omitempty"`
	// Era is the era of the version that this value replaced, as its writer knew it.
	Era kv.Era `cbor:"6,keyasint,omitempty"`
}

func (d duty) ttl() time.Duration { return time.Duration(d.TTLMS) * time.Millisecond }

// Term is one uninterrupted period in which a host holds a lease.
type Term struct {
	// Fence is the fencing number of the term, greater than that of every earlier term.
	Fence uint64

	cancel    context.CancelCauseFunc
	elapsed   clock.Elapsed
	length    time.Duration // of the term without a renewal
	mu        sync.Mutex
	renewedAt time.Duration // by elapsed: when the last successful renewal was sent
	ended     bool
	timer     *time.Timer
}

// Valid reports whether the term still lasts; while it does, no other host can hold the lease.
func (t *Term) Valid() bool { return t.Remaining() > 0 }

// Covers reports whether the term lasts for the given time without a renewal.
func (t *Term) Covers(d time.Duration) bool { return t.Remaining() >= d }

// Remaining returns the time until the term expires without a renewal; zero or less means expired.
func (t *Term) Remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining()
}

// remaining implements Remaining. The caller holds t.mu.
func (t *Term) remaining() time.Duration {
	if t.ended {
		return 0
	}
	return t.renewedAt + t.length - t.elapsed()
}

// Age returns the time since the last successful renewal was sent, including the time for which the
// host was suspended.
func (t *Term) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.elapsed() - t.renewedAt
}

// Error reports why the term of a lease ended. Duty is the name of the lease.
type Error struct {
	Duty   string
	Reason Reason
	Cause  error
}

// Reason is why a term ended.
type Reason string

// These are the reasons why a term can end.
const (
	// ReasonLapsed means that the holder did not renew the term in time.
	ReasonLapsed Reason = "lapsed"
	// ReasonReplaced means that another host has acquired the lease.
	ReasonReplaced Reason = "replaced"
	// ReasonStopped means that the holder ended the term itself.
	ReasonStopped Reason = "stopped"
)

// Error returns the name of the lease, the reason and the cause, if any.
func (e *Error) Error() string {
	msg := "lease " + e.Duty + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// extend extends the term after a renewal that was sent at renewedAt. It returns false when the term has
// already ended.
func (t *Term) extend(renewedAt time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remaining() <= 0 {
		return false
	}
	t.renewedAt = renewedAt
	return true
}

// end ends the term at once and cancels its context with the given cause.
func (t *Term) end(cause *Error) {
	t.mu.Lock()
	t.timer.Stop()
	t.ended = true
	t.mu.Unlock()
	t.cancel(cause)
}

// newTerm starts a term whose lease was acquired by a write that was sent at the given time of elapsed. It
// returns the term with its context, which is cancelled when the term ends.
func newTerm(ctx context.Context, h *Holder, sent time.Duration) (context.Context, *Term) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Term{
		Fence: h.seen.Fence, cancel: cancel, elapsed: h.options.Elapsed, length: h.options.TTL - h.options.TTL/clockMarginDivisor,
		renewedAt: sent,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.nextCheck(), func() { t.expire(h.name) })
	return ctx, t
}

// expire cancels the context of the term if the term has expired, and schedules the next check otherwise.
func (t *Term) expire(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remaining() <= 0 {
		t.cancel(&Error{Duty: name, Reason: ReasonLapsed})
		return
	}
	t.timer.Reset(t.nextCheck())
}

// nextCheck returns the time until the next check of the term's expiry. The caller holds t.mu.
func (t *Term) nextCheck() time.Duration { return max(0, min(t.remaining(), expiryCheckInterval)) }

// maxTTL is the longest lease that a holder may have. A longer one was not written by a Holder.
const maxTTL = time.Minute

// decode decodes a stored lease. ok is false if no Holder has written it. Each term takes a write, so that no
// fencing number is greater than the version of the entry.
func decode(entry kv.Entry) (d duty, ok bool) {
	if err := cbor.Unmarshal(entry.Value, &d); err != nil {
		return duty{}, false
	}
	ok = d.Fence > 0 && d.Fence <= uint64(entry.Version) && d.TTLMS > 0 && d.TTLMS <= maxTTL.Milliseconds()
	return d, ok
}
