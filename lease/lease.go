// Package lease chooses one holder at a time for each duty. A holder's term
// has a fencing number that only grows, and ends on the holder's own monotonic
// clock before any other host may begin one.
//
// A holder renews by writing the duty's value anew. A contender takes over
// after the value has not changed for a whole lease, measured on its own clock
// from when it first saw it; no clocks are compared between hosts.
package lease

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
)

// keyPrefix is where the duties are stored.
const keyPrefix = "lease/"

// purpose has the priority of safety: a holder that cannot renew stops.
var purpose = kv.Purpose{Name: "lease", Priority: kv.PrioritySafety}

// duty is the stored value of a duty.
type duty struct {
	Holder string    `cbor:"1,keyasint"`
	Fence  uint64    `cbor:"2,keyasint"`
	Nonce  uuid.UUID `cbor:"3,keyasint"` // of this write
	TTLMS  int64     `cbor:"4,keyasint"`
	// Released says that the holder has ended its term.
	Released bool `cbor:"5,keyasint,omitempty"`
}

func (d duty) ttl() time.Duration { return time.Duration(d.TTLMS) * time.Millisecond }

// Term is the time for which a host holds a duty.
type Term struct {
	// Fence is the term's fencing number, greater than that of any term before.
	Fence uint64

	cancel context.CancelCauseFunc
	mu     sync.Mutex
	until  time.Time
	timer  *time.Timer
}

// Valid says that no other host can hold the duty now.
func (t *Term) Valid() bool { return t.Remaining() > 0 }

// Remaining returns how long the term lasts unless it is renewed.
func (t *Term) Remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Until(t.until)
}

// Error is why a term ended.
type Error struct {
	Duty   string
	Reason Reason
	Cause  error
}

// Reason classifies the end of a term.
type Reason string

// The reasons for the end of a term.
const (
	// ReasonLapsed: the term was not renewed in time.
	ReasonLapsed Reason = "lapsed"
	// ReasonReplaced: another host holds the duty.
	ReasonReplaced Reason = "replaced"
	// ReasonStopped: the holder gave the duty up.
	ReasonStopped Reason = "stopped"
)

// Error implements error.
func (e *Error) Error() string {
	msg := "lease " + e.Duty + ": " + string(e.Reason)
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// extend makes the term last until the given time, unless it has ended.
func (t *Term) extend(until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.until.After(time.Now()) || !t.timer.Stop() {
		return false
	}
	t.until = until
	t.timer.Reset(time.Until(until))
	return true
}

// end ends the term at once.
func (t *Term) end(cause *Error) {
	t.mu.Lock()
	t.timer.Stop()
	t.until = time.Time{}
	t.mu.Unlock()
	t.cancel(cause)
}

func newTerm(ctx context.Context, name string, fence uint64, until time.Time) (context.Context, *Term) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Term{Fence: fence, cancel: cancel, until: until}
	t.timer = time.AfterFunc(time.Until(until), func() { cancel(&Error{Duty: name, Reason: ReasonLapsed}) })
	return ctx, t
}

func decode(entry kv.Entry) (duty, bool) {
	var d duty
	err := cbor.Unmarshal(entry.Value, &d)
	return d, err == nil
}
