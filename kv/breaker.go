package kv

import (
	"sync"
	"time"
)

// breaker refuses calls while the service does not answer. Once in each probe
// interval it lets one caller find out whether the service is back.
type breaker struct {
	mu        sync.Mutex
	threshold int // consecutive failures that open it
	interval  time.Duration
	failures  int
	open      bool
	nextProbe time.Time
}

// verdict is what a breaker says to a call.
type verdict int

const (
	admitted verdict = iota
	refused
	probing // admitted only after a successful probe
)

func (b *breaker) admit() verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return admitted
	}
	now := time.Now()
	if now.Before(b.nextProbe) {
		return refused
	}
	b.nextProbe = now.Add(b.interval)
	return probing
}

// report takes note of a call's result.
func (b *breaker) report(reason Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reason != ReasonUnavailable && reason != ReasonUnknown {
		b.failures, b.open = 0, false
		return
	}
	b.failures++
	if b.failures >= b.threshold && !b.open {
		b.open, b.nextProbe = true, time.Now().Add(b.interval)
	}
}
