// Package admission decides which requests are admitted. It enforces the limits
// of client accounts across all entry hosts (the hosts that callers connect to)
// and shares an overloaded pool of upstreams fairly between client accounts.
//
// Its functions receive the current time as an argument and do no I/O. Package
// gateway calls them and turns rejections into responses.
package admission

import (
	"math"
	"time"
)

// Bucket is a token bucket. The zero value is empty and starts to fill at the
// first call of Fill.
type Bucket struct {
	// tokens is the balance. A negative balance is a debt that refilling pays off first.
	tokens   float64
	filledAt time.Time
}

// Fill adds the tokens accrued since the last call at rate tokens per second, up
// to a balance of burst tokens.
func (b *Bucket) Fill(rate, burst float64, now time.Time) {
	if b.filledAt.IsZero() {
		b.filledAt = now
	}
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = math.Min(burst, b.tokens+rate*elapsed.Seconds())
		b.filledAt = now
	}
}

// SkipTo drops the tokens that would accrue between the last call of Fill and since.
// A bucket that was never filled starts to fill at since.
func (b *Bucket) SkipTo(since time.Time) {
	if since.After(b.filledAt) {
		b.filledAt = since
	}
}

// TakeWhole removes up to want tokens from the bucket, rounded down to a whole
// number, and returns the number removed.
func (b *Bucket) TakeWhole(want float64) float64 {
	taken := math.Max(0, math.Floor(math.Min(want, b.tokens)))
	b.tokens -= taken
	return taken
}

// Shortfall returns the number of tokens that are missing for want tokens; zero if none is.
func (b *Bucket) Shortfall(want float64) float64 { return math.Max(0, want-b.tokens) }

// Charge removes n tokens from the bucket and may leave a negative balance. A
// negative n adds tokens.
func (b *Bucket) Charge(n float64) { b.tokens -= n }
