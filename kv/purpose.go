package kv

import "context"

// Priority orders calls when the call budget is short; a higher one goes first.
type Priority int

// The priorities of calls.
const (
	PriorityRead Priority = iota
	PriorityPublish
	PrioritySafety

	priorities = 3
)

// Purpose names what calls are for, in counters and for the budget.
type Purpose struct {
	Name     string
	Priority Priority
}

// The purposes of calls whose context names none.
var (
	PurposeRead  = Purpose{Name: "read", Priority: PriorityRead}
	PurposeWrite = Purpose{Name: "write", Priority: PriorityPublish}
	PurposeLease = Purpose{Name: "lease", Priority: PrioritySafety}
	// PurposeOrder is for claims and outcomes of orders.
	PurposeOrder = Purpose{Name: "order", Priority: PrioritySafety}
)

type purposeKey struct{}

// WithPurpose returns a context whose calls are counted and budgeted for p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

func purposeOf(ctx context.Context, fallback Purpose) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return fallback
}
