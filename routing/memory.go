package routing

import (
	"sync"
	"time"
)

const (
	// cachedSpan is how long a prompt is assumed to stay in an upstream's cache
	// after it was sent there.
	cachedSpan = 20 * time.Second
	// maxSent is the maximum number of remembered pairs of prompt and upstream.
	maxSent = 8192
)

// SentPrompts remembers which shared prompts this host has sent to which upstreams.
// The zero value is ready to use. Concurrent use is safe.
type SentPrompts struct {
	mu   sync.Mutex
	sent map[uint64]time.Time
}

// Sent records that a prompt was sent to an upstream.
func (m *SentPrompts) Sent(block uint64, id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sent == nil {
		m.sent = map[uint64]time.Time{}
	}
	if len(m.sent) >= maxSent {
		for key, at := range m.sent {
			if now.Sub(at) > cachedSpan {
				delete(m.sent, key)
			}
		}
		if len(m.sent) >= maxSent {
			clear(m.sent)
		}
	}
	m.sent[rendezvous(block, id)] = now
}

// Has reports whether a prompt was sent to an upstream within the last
// cachedSpan.
func (m *SentPrompts) Has(block uint64, id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.sent[rendezvous(block, id)]
	return ok && now.Sub(at) <= cachedSpan
}
