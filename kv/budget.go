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
	// maxBudgetWait bounds the wait of a call for the budget.
	maxBudgetWait = time.Second
)

// reserves is the share of the burst that calls of a priority leave to those above.
var reserves = [priorities]float64{PriorityRead: 0.5, PriorityPublish: 0.25, PrioritySafety: 0}

// budget is a token bucket. Calls of a lower priority find it empty while it
// still holds the reserve of the higher ones.
type budget struct {
	mu     sync.Mutex
	rate   float64 // calls per second
	burst  float64 // calls
	tokens float64
	filled time.Time
}

func newBudget(rate, burst float64) *budget {
	return &budget{rate: rate, burst: burst, tokens: burst, filled: time.Now()}
}

// take waits for a token; false when it takes too long.
func (b *budget) take(ctx context.Context, p Priority) bool {
	limit := time.Now().Add(maxBudgetWait)
	for {
		delay := b.tryTake(p)
		if delay == 0 {
			return true
		}
		if time.Now().Add(delay).After(limit) || !wait.For(ctx, delay) {
			return false
		}
	}
}

// tryTake takes a token, or returns how long to wait for the next try.
func (b *budget) tryTake(p Priority) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	missing := b.burst*reserves[p] + 1 - b.tokens
	if missing <= 0 {
		b.tokens--
		return 0
	}
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Microsecond
}

// backoff returns the pause before the given retry, with full jitter.
func backoff(round int) time.Duration {
	ceiling := min(backoffMax, backoffBase<<min(round, 10))
	return time.Millisecond + rand.N(ceiling)
}
