package inner

import (
	"sync"
	"time"
)

// backoffDuration is how long no calls are sent to a host that did not respond.
// Without the pause, each call that a busy host sends to it would wait for its
// timeout.
const backoffDuration = time.Second

// Backoff records the hosts that did not respond within the last second, so that
// callers can skip them. The zero value is ready to use.
type Backoff struct {
	mu    sync.Mutex
	until map[string]time.Time // end of the backoff, by host ID
}

// Start begins a backoff of 1 s for host, or extends the current one to 1 s from now.
func (b *Backoff) Start(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = map[string]time.Time{}
	}
	b.until[host] = time.Now().Add(backoffDuration)
}

// Active returns whether the backoff of host has not yet ended.
func (b *Backoff) Active(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, known := b.until[host]
	if known && time.Now().After(until) {
		delete(b.until, host)
		return false
	}
	return known
}
