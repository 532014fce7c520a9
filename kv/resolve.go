package kv

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// resolveTimeout limits the read-back of a write whose response was lost.
	// The read-back does not end when the context of the write is done.
	resolveTimeout     = 3 * time.Second
	maxResolveAttempts = 6
)

// Resolved counts the writes whose response was lost, by the Outcome that the
// read-back determined.
var Resolved = metrics.New("kv_resolved_total", "Writes whose answer was lost, by the outcome of the read-back.")

// Outcome is the final state of a write, as far as the client can determine it.
type Outcome string

// Outcomes of a write.
const (
	// OutcomeApplied means that the write took effect, and that no other write took
	// effect at the expected version.
	OutcomeApplied Outcome = "won"
	// OutcomeNotApplied means that the write did not take effect and cannot take
	// effect later.
	OutcomeNotApplied Outcome = "lost"
	// OutcomeUnknown means that the write may have taken effect or may still
	// take effect.
	OutcomeUnknown Outcome = "unknown"
)

// Match is the result of comparing the value that a read-back found with the
// value that this process wrote.
type Match int

// Results of comparing the stored value with the value that this process wrote.
const (
	// MatchUnknown means that the stored value is from another writer and may
	// have replaced the value of this process.
	MatchUnknown Match = iota
	// MatchOwn means that the stored value is that of this process, or one
	// that can only have been written after it.
	MatchOwn
	// MatchOther means that the stored value is from another writer and
	// cannot have replaced the value of this process.
	MatchOther
)

// MatchFunc compares a stored entry with the value that this process wrote.
// Values contain their writer and a nonce, so that no two writes have equal
// values.
type MatchFunc func(Entry) Match

// Result is the outcome of a write, with the details of its read-back.
type Result struct {
	Outcome Outcome
	// Version is the version of the written value, if Outcome is OutcomeApplied and
	// the value is still stored.
	Version Version
	// Current is the entry that the read-back found. It is zero if no entry was
	// read back.
	Current Entry
	// Cause is the error of the write. It is nil if Outcome is OutcomeApplied.
	Cause error
}

// SameBytes returns a MatchFunc that compares the bytes of the stored value with
// value. For a different value it returns MatchUnknown, because that value may
// have replaced the written one.
func SameBytes(value []byte) MatchFunc {
	return func(entry Entry) Match {
		if bytes.Equal(entry.Value, value) {
			return MatchOwn
		}
		return MatchUnknown
	}
}

// Swap writes a key by compare-and-swap. If the response is lost, it calls
// Resolve to determine the outcome. A nil match means SameBytes(w.Value).
func Swap(ctx context.Context, store Store, w Write, match MatchFunc) Result {
	version, err := store.CompareAndSwap(ctx, w)
	switch {
	case err == nil:
		return Result{Outcome: OutcomeApplied, Version: version}
	case resolvable(err):
		return Resolve(ctx, store, w, match)
	case ReasonOf(err) == ReasonUnknown:
		return Result{Outcome: OutcomeUnknown, Cause: err}
	default:
		return Result{Outcome: OutcomeNotApplied, Cause: err}
	}
}

// resolvable reports whether a read-back can determine the outcome of a write that failed
// with err. It cannot for a write under conditions of another era.
func resolvable(err error) bool {
	return ReasonOf(err) == ReasonUnknown && !isOfOtherEra(err)
}

// isOfOtherEra reports whether the chain of err contains an *EraError.
func isOfOtherEra(err error) bool {
	var other *EraError
	return errors.As(err, &other)
}

// Resolve determines the outcome of a write whose response was lost, by reading
// the key. While the key still has the version that the write expects, the write
// may be delayed and still take effect. Resolve then repeats the write with the
// same value and expected version, so that at most one of the two writes takes
// effect and the service rejects the other because of the version. A nil match
// means SameBytes(w.Value). If the key has a version of a newer era than the expected one,
// the outcome is unknown: the service may have given out the expected revision again, also to
// an entry that this process has not seen.
func Resolve(ctx context.Context, store Store, w Write, match MatchFunc) Result {
	if match == nil {
		match = SameBytes(w.Value)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	result := Result{Outcome: OutcomeUnknown, Cause: &Error{Op: "resolve", Key: w.Key, Reason: ReasonUnknown}}
	for attempt := range maxResolveAttempts {
		resolved, ok := resolveOnce(ctx, store, w, match)
		if ok {
			result = resolved
			break
		}
		if !wait.For(ctx, backoff(attempt)) {
			break
		}
	}
	Resolved.Inc(string(result.Outcome))
	return result
}

// resolveOnce reads the key once and returns the outcome of the write. It
// returns false if the outcome cannot be determined yet.
func resolveOnce(ctx context.Context, store Store, w Write, match MatchFunc) (Result, bool) {
	entry, err := store.Get(ctx, w.Key)
	if err != nil && ReasonOf(err) != ReasonNotFound {
		return Result{}, false
	}
	if err != nil {
		entry = Entry{Key: w.Key}
	}
	switch {
	case entry.Version == w.Expect:
		return repeatWrite(ctx, store, w)
	case entry.Version < w.Expect && entry.Version != 0:
		return Result{}, false // stale read
	case entry.Version == 0:
		return Result{}, false // deleted key or stale read
	}
	return resultOf(entry, w, match), true
}

// resultOf returns the result of a write for the entry that its read-back found.
func resultOf(entry Entry, w Write, match MatchFunc) Result {
	cause := &Error{Op: "resolve", Key: w.Key, Current: entry.Version}
	if w.Expect != 0 && w.Expect.Era() != entry.Version.Era() {
		cause.Reason, cause.Cause = ReasonUnknown, &EraError{Present: entry.Version.Era()}
		return Result{Outcome: OutcomeUnknown, Current: entry, Cause: cause}
	}
	switch match(entry) {
	case MatchOwn:
		return Result{Outcome: OutcomeApplied, Version: entry.Version, Current: entry}
	case MatchOther:
		cause.Reason = ReasonConflict
		return Result{Outcome: OutcomeNotApplied, Current: entry, Cause: cause}
	default:
		cause.Reason = ReasonUnknown
		return Result{Outcome: OutcomeUnknown, Current: entry, Cause: cause}
	}
}

// repeatWrite repeats a write whose response was lost, so that the first attempt
// can no longer take effect if it is still delayed. It returns false if the
// outcome cannot be determined yet.
func repeatWrite(ctx context.Context, store Store, w Write) (Result, bool) {
	version, err := store.CompareAndSwap(ctx, w)
	if isOfOtherEra(err) { // the first attempt may yet take effect, as its numbers are given out again
		return Result{Outcome: OutcomeUnknown, Cause: err}, true
	}
	switch ReasonOf(err) {
	case "":
		return Result{Outcome: OutcomeApplied, Version: version}, true
	case ReasonTooLarge, ReasonInvalid, ReasonLeaseExpired:
		return Result{Outcome: OutcomeNotApplied, Cause: err}, true
	default:
		return Result{}, false
	}
}
