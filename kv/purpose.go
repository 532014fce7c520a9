package kv

import "context"

// Priority ranks calls when the call budget is nearly used up. Part of the
// budget is reserved for calls of a higher Priority.
type Priority int

// Priorities of calls to the key-value service, in ascending order.
const (
	PriorityRead Priority = iota
	PriorityPublish
	PrioritySafety

	priorityCount = 3
)

// Purpose names what a call is for, as a label of the call counter, and sets
// the call's priority in the call budget.
type Purpose struct {
	Name     string
	Priority Priority
}

// Purposes of calls. Client uses PurposeRead, PurposeWrite and PurposeLease for
// calls whose context has no Purpose.
var (
	PurposeRead  = Purpose{Name: "read", Priority: PriorityRead}
	PurposeWrite = Purpose{Name: "write", Priority: PriorityPublish}
	PurposeLease = Purpose{Name: "lease", Priority: PrioritySafety}
	// PurposeOrder is the purpose of calls that store claims and outcomes of orders.
	PurposeOrder = Purpose{Name: "order", Priority: PrioritySafety}
)

// purposeKey is the context key of the Purpose.
type purposeKey struct{}

// WithPurpose returns a copy of ctx. Calls made with the copy are counted
// under p.Name and use the call budget with p.Priority.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// purposeOf returns the Purpose of ctx, or defaultPurpose if ctx has none.
func purposeOf(ctx context.Context, defaultPurpose Purpose) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return defaultPurpose
}
