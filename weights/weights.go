// Package weights defines the interface to the platform's weight store, from which
// engines copy the weights of models. The system reads the size of a model and the
// bandwidth of the store, to predict when an engine has loaded its model and to
// start no more concurrent copies than the store can serve.
package weights

import (
	"context"
	"time"
)

// Model is one stored version of a model or adapter. Bytes is the size of its weights.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// Limits are the bandwidth of the weight store and its current use.
type Limits struct {
	// BytesPerSecond is the bandwidth shared by all copies.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Copies is the number of copies running now.
	Copies int `json:"copies"`
}

// Store is the platform's weight store. Its methods return errors of type *Error.
type Store interface {
	// Models returns all stored versions of models and adapters.
	Models(ctx context.Context) ([]Model, error)
	// Limits returns the bandwidth of the store and its current use.
	Limits(ctx context.Context) (Limits, error)
}

// Error is a failed read of the weight store. Op is the operation that failed.
type Error struct {
	Op    string
	Cause error
}

// Error implements the error interface.
func (e *Error) Error() string { return "weight store " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the cause of the failed read.
func (e *Error) Unwrap() error { return e.Cause }

// CopyTime predicts the duration of one more copy of m next to the running copies.
// It returns zero if BytesPerSecond is not positive.
func (l Limits) CopyTime(m Model) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	share := float64(l.BytesPerSecond) / float64(l.Copies+1)
	return time.Duration(float64(m.Bytes) / share * float64(time.Second))
}

// CopiesWithin returns the number of copies of m that can run concurrently and still
// finish within limit, but at least 1. It returns 1 if the size of m or BytesPerSecond
// is not positive.
func (l Limits) CopiesWithin(m Model, limit time.Duration) int {
	if m.Bytes <= 0 || l.BytesPerSecond <= 0 {
		return 1
	}
	return max(1, int(limit.Seconds()*float64(l.BytesPerSecond)/float64(m.Bytes)))
}
