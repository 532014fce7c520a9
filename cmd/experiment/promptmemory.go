package main

import "container/list"

// cachedPrefix is one entry of a promptMemory.
type cachedPrefix struct {
	digest uint64
	tokens int
}

// promptMemory is the memory of one simulated upstream. It evicts the least recently used
// prefixes. Running requests take memory too.
type promptMemory struct {
	capacity, cached, running int
	order                     *list.List // of cachedPrefix, most recently used first
	entries                   map[uint64]*list.Element
}

func newPromptMemory(capacity int) *promptMemory {
	return &promptMemory{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// held returns the number of leading tokens of a prompt that are cached.
func (m *promptMemory) held(p *simPrompt) int {
	held := 0
	for _, l := range p.chain {
		if m.entries[l.Digest] == nil {
			break
		}
		held += l.Tokens
	}
	return held
}

// use puts a prefix in front of all others.
func (m *promptMemory) use(digest uint64, tokens int) {
	if e := m.entries[digest]; e != nil {
		m.order.MoveToFront(e)
		return
	}
	m.entries[digest] = m.order.PushFront(cachedPrefix{digest: digest, tokens: tokens})
	m.cached += tokens
	m.evict()
}

// run adds the tokens of a running request, or with a negative number subtracts them.
func (m *promptMemory) run(tokens int) {
	m.running += tokens
	m.evict()
}

func (m *promptMemory) evict() {
	for m.cached+m.running > m.capacity && m.order.Len() > 0 {
		last := m.order.Back()
		entry := m.order.Remove(last).(cachedPrefix)
		delete(m.entries, entry.digest)
		m.cached -= entry.tokens
	}
}
