// Package weights is the narrow interface to the platform's weight store. The
// engines copy from it themselves; the system reads how large a model is and
// how much the store gives, to predict when an engine is warm and to order no
// more copies at once than the store can serve.
package weights

import (
	"context"
	"time"
)

// Model is one stored version of a model or adapter.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// Limits is what the store gives.
type Limits struct {
	// BytesPerSecond is shared by all copies.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Copies is how many copies are running.
	Copies int `json:"copies"`
}

// Store is the weight store. All methods return *Error.
type Store interface {
	// Models lists what is stored.
	Models(ctx context.Context) ([]Model, error)
	// Limits returns the store's rate and its use now.
	Limits(ctx context.Context) (Limits, error)
}

// Error is a failed read of the store.
type Error struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return "weight store " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// CopyTime predicts how long one more copy takes beside those that run.
func (l Limits) CopyTime(m Model) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	share := float64(l.BytesPerSecond) / float64(l.Copies+1)
	return time.Duration(float64(m.Bytes) / share * float64(time.Second))
}

// CopiesWithin returns how many copies of m can run at once so that each ends
// within the given time; at least one.
func (l Limits) CopiesWithin(m Model, limit time.Duration) int {
	if m.Bytes <= 0 || l.BytesPerSecond <= 0 {
		return 1
	}
	return max(1, int(limit.Seconds()*float64(l.BytesPerSecond)/float64(m.Bytes)))
}
