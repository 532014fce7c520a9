// Package admission decides which requests are taken: it keeps the limits of
// client accounts over all entry hosts together, and shares a pool fairly
// between accounts when there is not enough of it.
//
// The decisions take the time as an argument and do no I/O; package gateway
// calls them and turns their refusals into answers.
package admission

import (
	"math"
	"time"
)

// Bucket is a token bucket. The zero value is empty and fills from its first
// use on.
type Bucket struct {
	// tokens may be negative: a debt that is filled first.
	tokens float64
	at     time.Time
}

// Fill adds what accrued at rate since the last use, up to burst.
func (b *Bucket) Fill(rate, burst float64, now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = math.Min(burst, b.tokens+rate*elapsed.Seconds())
		b.at = now
	}
}

// TakeWhole takes up to want whole tokens and returns how many there were.
func (b *Bucket) TakeWhole(want float64) float64 {
	taken := math.Max(0, math.Floor(math.Min(want, b.tokens)))
	b.tokens -= taken
	return taken
}

// Charge takes n tokens, into debt where there are too few.
func (b *Bucket) Charge(n float64) { b.tokens -= n }
