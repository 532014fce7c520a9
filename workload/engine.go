package workload

import (
	"slices"
	"time"
)

// Costs of one engine step.
const (
	stepBase     = 18 * time.Millisecond
	stepStream   = 600 * time.Microsecond
	prefillToken = 80 * time.Microsecond
	// prefillChunk bounds the prompt tokens of one step.
	prefillChunk = 512
	// maxBatch bounds the running streams.
	maxBatch = 24
)

// Stream is one attempt at an engine.
type Stream struct {
	Arrival *Arrival
	// Prior is the number of answer tokens that are there already.
	Prior    int
	Priority int
	// Token is called with the index of each token in the whole answer.
	Token func(index int)
	// Started is called when the engine takes the stream into its batch.
	Started func()
	// Ended is called when the answer is whole, or with crashed when the
	// engine died. It is not called after Cancel.
	Ended func(crashed bool)

	// Computed and Cached are the prompt tokens that were computed and found.
	Computed, Cached int

	prefill   int
	next      int
	cancelled bool
}

// Cancel ends the stream at the engine's next step.
func (s *Stream) Cancel() { s.cancelled = true }

// Engine is the twin of a model engine: it batches continuously, honours
// priorities and caches prompt prefixes in limited memory.
type Engine struct {
	// Slow multiplies the time of a step; 1 is normal.
	Slow float64
	// Dead engines end every stream as crashed.
	Dead bool

	clock    *Clock
	cache    *prefixCache
	waiting  []*Stream
	running  []*Stream
	stepping bool
}

// NewEngine returns an idle engine with room for cacheBlocks prompt blocks.
func NewEngine(clock *Clock, cacheBlocks int) *Engine {
	return &Engine{Slow: 1, clock: clock, cache: newPrefixCache(cacheBlocks)}
}

// Submit queues a stream by its priority.
func (e *Engine) Submit(s *Stream) {
	if e.Dead {
		e.clock.After(0, func() { s.end(true) })
		return
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].Priority < s.Priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, s)
	if !e.stepping {
		e.stepping = true
		e.clock.After(0, e.step)
	}
}

// Load is the engine's own count of streams.
func (e *Engine) Load() int { return len(e.waiting) + len(e.running) }

// Crash ends every stream and the engine.
func (e *Engine) Crash() {
	e.Dead = true
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, s := range lost {
		s.end(true)
	}
}

func (s *Stream) end(crashed bool) {
	if !s.cancelled {
		s.cancelled = true
		s.Ended(crashed)
	}
}

// step begins one step of the batch.
func (e *Engine) step() {
	if e.Dead {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	decoding := make([]*Stream, 0, len(e.running))
	budget := prefillChunk
	for _, s := range e.running { // highest priority first
		if s.prefill == 0 {
			decoding = append(decoding, s)
			continue
		}
		part := min(budget, s.prefill)
		budget -= part
		if s.prefill -= part; s.prefill == 0 && part > 0 {
			decoding = append(decoding, s)
		}
	}
	cost := stepBase + time.Duration(len(decoding))*stepStream + time.Duration(prefillChunk-budget)*prefillToken
	e.clock.After(time.Duration(float64(cost)*e.Slow), func() { e.finish(decoding) })
}

// admit moves waiting streams into the batch.
func (e *Engine) admit() {
	e.running = slices.DeleteFunc(e.running, func(s *Stream) bool { return s.cancelled })
	for len(e.running) < maxBatch && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.cancelled {
			continue
		}
		s.Cached = min(e.cache.match(s.Arrival.Blocks)*BlockTokens, s.Arrival.Prompt)
		s.Computed = s.Arrival.Prompt - s.Cached + s.Prior
		s.prefill, s.next = max(1, s.Computed), s.Prior
		at := len(e.running)
		for at > 0 && e.running[at-1].Priority < s.Priority {
			at--
		}
		e.running = slices.Insert(e.running, at, s)
		s.Started()
	}
}

// finish ends one step: each decoding stream yields a token.
func (e *Engine) finish(decoding []*Stream) {
	for _, s := range decoding {
		if e.Dead {
			return
		}
		if s.cancelled {
			continue
		}
		if s.Arrival.Crash {
			e.Crash()
			return
		}
		if s.next == s.Prior {
			e.cache.store(s.Arrival.Blocks)
		}
		s.Token(s.next)
		if s.next++; s.next >= s.Arrival.Answer {
			s.end(false)
		}
	}
	e.step()
}

// prefixCache holds the most recently used prompt blocks.
type prefixCache struct {
	capacity int
	used     map[uint64]uint64 // block to time of its last use
	order    []cacheUse
	clock    uint64
}

type cacheUse struct{ block, at uint64 }

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, used: map[uint64]uint64{}}
}

// match returns the length of the longest cached prefix, in blocks.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.used[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store marks blocks as used, the first one last, and drops the oldest.
func (c *prefixCache) store(blocks []uint64) {
	for _, block := range slices.Backward(blocks) {
		c.clock++
		c.used[block] = c.clock
		c.order = append(c.order, cacheUse{block, c.clock})
	}
	for len(c.used) > c.capacity {
		oldest := c.order[0]
		c.order = c.order[1:]
		if c.used[oldest.block] == oldest.at {
			delete(c.used, oldest.block)
		}
	}
}

// SingleCache returns the share of prompt tokens that one cache of the given
// size would have held, for requests that are served at once.
func SingleCache(arrivals []Arrival, blocks int) float64 {
	cache := newPrefixCache(blocks)
	hit, total := 0, 0
	for i := range arrivals {
		a := &arrivals[i]
		hit += min(cache.match(a.Blocks)*BlockTokens, a.Prompt)
		total += a.Prompt
		cache.store(a.Blocks)
	}
	return float64(hit) / float64(max(total, 1))
}
