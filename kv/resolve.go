package kv

import (
	"bytes"
	"context"
	"time"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// resolveTimeout bounds the read-back of a write whose answer was lost. It
	// runs on after the deadline of the write's own context.
	resolveTimeout = 3 * time.Second
	resolveRounds  = 6
)

// Resolved counts the writes whose answer was lost, by what the read-back found.
var Resolved = metrics.New("kv_resolved_total", "Writes whose answer was lost, by the outcome of the read-back.")

// Outcome says what became of a write.
type Outcome string

// The outcomes of a write.
const (
	// OutcomeWon: the write took effect, and was the only one to do so.
	OutcomeWon Outcome = "won"
	// OutcomeLost: the write did not take effect and cannot any more.
	OutcomeLost Outcome = "lost"
	// OutcomeUnknown: the write may have taken effect or may still do so.
	OutcomeUnknown Outcome = "unknown"
)

// Match says whose value a read-back found.
type Match int

// The matches of a read-back.
const (
	// MatchUnsure: another's value, which may have replaced ours.
	MatchUnsure Match = iota
	// MatchOurs: our value, or one that can only have followed ours.
	MatchOurs
	// MatchForeign: another's value, which cannot have followed ours.
	MatchForeign
)

// Recognise says whose value an entry holds. Values carry their writer and a
// nonce, so that no two writes are alike.
type Recognise func(Entry) Match

// Result is the outcome of a write.
type Result struct {
	Outcome Outcome
	// Version is that of the written value when the write was won and the
	// value is still the current one.
	Version Version
	// Current is the value that the read-back found; zero without a read-back.
	Current Entry
	// Cause is the error of a write that was not won.
	Cause error
}

// SameBytes recognises a value by its bytes. A different value may have
// replaced ours, so that it is no proof of a loss.
func SameBytes(value []byte) Recognise {
	return func(entry Entry) Match {
		if bytes.Equal(entry.Value, value) {
			return MatchOurs
		}
		return MatchUnsure
	}
}

// Swap writes a key by compare-and-swap and resolves a lost answer. A nil
// recognise compares the bytes.
func Swap(ctx context.Context, store Store, w Write, recognise Recognise) Result {
	version, err := store.CompareAndSwap(ctx, w)
	switch ReasonOf(err) {
	case "":
		return Result{Outcome: OutcomeWon, Version: version}
	case ReasonUnknown:
		return Resolve(ctx, store, w, recognise)
	default:
		return Result{Outcome: OutcomeLost, Cause: err}
	}
}

// Resolve finds out what became of a write whose answer was lost. While the
// key still has the version that the write expects, the write may land late:
// the same value is then written at the same version, so that one of the two
// takes effect at most, and the late one is refused by the version.
func Resolve(ctx context.Context, store Store, w Write, recognise Recognise) Result {
	if recognise == nil {
		recognise = SameBytes(w.Value)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	result := Result{Outcome: OutcomeUnknown, Cause: &Error{Op: "resolve", Key: w.Key, Reason: ReasonUnknown}}
	for round := range resolveRounds {
		decided, ok := resolveOnce(ctx, store, w, recognise)
		if ok {
			result = decided
			break
		}
		if !wait.For(ctx, backoff(round)) {
			break
		}
	}
	Resolved.Inc(string(result.Outcome))
	return result
}

// resolveOnce reads the key and decides, or reports that it could not.
func resolveOnce(ctx context.Context, store Store, w Write, recognise Recognise) (Result, bool) {
	entry, err := store.Get(ctx, w.Key)
	if err != nil && ReasonOf(err) != ReasonNotFound {
		return Result{}, false
	}
	if err != nil {
		entry = Entry{Key: w.Key}
	}
	switch {
	case entry.Version == w.Expect:
		return closeLateWrite(ctx, store, w)
	case entry.Version < w.Expect && entry.Version != 0:
		return Result{}, false // an old read
	case entry.Version == 0:
		return Result{}, false // deleted, or an old read
	}
	return judge(entry, w, recognise), true
}

func judge(entry Entry, w Write, recognise Recognise) Result {
	cause := &Error{Op: "resolve", Key: w.Key, Current: entry.Version}
	switch recognise(entry) {
	case MatchOurs:
		return Result{Outcome: OutcomeWon, Version: entry.Version, Current: entry}
	case MatchForeign:
		cause.Reason = ReasonConflict
		return Result{Outcome: OutcomeLost, Current: entry, Cause: cause}
	default:
		cause.Reason = ReasonUnknown
		return Result{Outcome: OutcomeUnknown, Current: entry, Cause: cause}
	}
}

// closeLateWrite takes the version that a late write expects.
func closeLateWrite(ctx context.Context, store Store, w Write) (Result, bool) {
	version, err := store.CompareAndSwap(ctx, w)
	switch ReasonOf(err) {
	case "":
		return Result{Outcome: OutcomeWon, Version: version}, true
	case ReasonTooLarge, ReasonInvalid, ReasonLeaseExpired:
		return Result{Outcome: OutcomeLost, Cause: err}, true
	default:
		return Result{}, false
	}
}
