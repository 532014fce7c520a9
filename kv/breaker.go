package kv

import (
	"sync"
	"time"
)

// breaker is a circuit breaker. It opens after a number of consecutive failures
// and rejects calls while it is open. Once per interval, it allows one caller to
// probe whether the service responds again.
type breaker struct {
	mu        sync.Mutex
	threshold int           // consecutive failures that open the breaker
	interval  time.Duration // pause between two probes
	failures  int
	open      bool
	nextProbe time.Time
}

// decision is the result of asking a breaker whether a call may be sent.
type decision int

const (
	allowed decision = iota
	rejected
	// probeFirst allows the call only after a successful probe.
	probeFirst
)

// decide returns whether the next call is allowed, rejected or preceded by a probe.
func (b *breaker) decide() decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return allowed
	}
	now := time.Now()
	if now.Before(b.nextProbe) {
		return rejected
	}
	b.nextProbe = now.Add(b.interval)
	return probeFirst
}

// recordResult counts a failed call, or closes the breaker if the service
// responded. The empty reason means success.
func (b *breaker) recordResult(reason Reason) {
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
