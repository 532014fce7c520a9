package kv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/wait"
)

const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
	// maxBudgetWait limits how long a call waits for a token of the call budget.
	maxBudgetWait = time.Second
)

// reservedShares is, for each priority, the share of the burst (0 to 1) that is
// reserved for calls of a higher priority.
var reservedShares = [priorityCount]float64{PriorityRead: 0.5, PriorityPublish: 0.25, PrioritySafety: 0}

// budget is a token bucket that limits the rate of calls. The last tokens are
// reserved for calls of a higher priority, as reservedShares specifies.
type budget struct {
	mu     sync.Mutex
	rate   float64 // calls per second
	burst  float64 // calls
	tokens float64
	// refilledAt is the time at which tokens was last brought up to date.
	refilledAt time.Time
}

// newBudget returns a full token bucket. rate is in calls per second, burst in calls.
func newBudget(rate, burst float64) *budget {
	return &budget{rate: rate, burst: burst, tokens: burst, refilledAt: time.Now()}
}

// acquire waits for a token and consumes it. It returns false if ctx is done or
// if the wait would exceed maxBudgetWait.
func (b *budget) acquire(ctx context.Context, p Priority) bool {
	deadline := time.Now().Add(maxBudgetWait)
	for {
		delay := b.tryAcquire(p)
		if delay == 0 {
			return true
		}
		if time.Now().Add(delay).After(deadline) || !wait.For(ctx, delay) {
			return false
		}
	}
}

// tryAcquire consumes a token and returns zero. If no token is available for
// priority p, it returns how long to wait before the next attempt.
func (b *budget) tryAcquire(p Priority) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	missing := b.burst*reservedShares[p] + 1 - b.tokens
	if missing <= 0 {
		b.tokens--
		return 0
	}
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Microsecond
}

// backoff returns the pause before a retry: exponential backoff with full
// jitter, at most backoffMax plus 1 ms.
func backoff(retry int) time.Duration {
	ceiling := min(backoffMax, backoffBase<<min(retry, 10))
	return time.Millisecond + rand.N(ceiling)
}
