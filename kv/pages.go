package kv

import (
	"context"
	"time"
)

// pageTimerKey is the context key of the timer of WithPageTimeout.
type pageTimerKey struct{}

// WithPageTimeout returns a copy of ctx for one call of Store.List. It ends with the cause
// context.DeadlineExceeded when the store has sent no page for the given time. A time limit of the whole call would
// fail each list that has more pages than the store sends in it.
func WithPageTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	arrived := func() { timer.Reset(timeout) }
	return context.WithValue(ctx, pageTimerKey{}, arrived), func() {
		timer.Stop()
		cancel(nil)
	}
}

// PageArrived tells a context of WithPageTimeout that the store has sent another page. Implementations of Store that
// read lists in pages call it for each of them.
func PageArrived(ctx context.Context) {
	if arrived, ok := ctx.Value(pageTimerKey{}).(func()); ok {
		arrived()
	}
}
