// Package wait provides pauses for loops and retries that end early when a context
// ends, and a ticker for code that runs under testing/synctest.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true. It returns false as soon as ctx ends. If d is
// not positive, For returns at once.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
