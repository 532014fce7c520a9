package routing

import (
	"sync"
	"time"
)

const (
	// memorySpan is how long a prompt is taken to stay in an upstream's cache
	// after it was sent there.
	memorySpan = 20 * time.Second
	// memorySize bounds the remembered prompts.
	memorySize = 8192
)

// Memory remembers which shared prompts this host has sent to which upstreams.
// The zero value is ready.
type Memory struct {
	mu   sync.Mutex
	sent map[uint64]time.Time
}

// Sent notes that a prompt was sent to an upstream.
func (m *Memory) Sent(block uint64, id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sent == nil {
		m.sent = map[uint64]time.Time{}
	}
	if len(m.sent) >= memorySize {
		for key, at := range m.sent {
			if now.Sub(at) > memorySpan {
				delete(m.sent, key)
			}
		}
		if len(m.sent) >= memorySize {
			clear(m.sent)
		}
	}
	m.sent[rendezvous(block, id)] = now
}

// Has says whether a prompt was sent to an upstream a short while ago.
func (m *Memory) Has(block uint64, id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.sent[rendezvous(block, id)]
	return ok && now.Sub(at) <= memorySpan
}
