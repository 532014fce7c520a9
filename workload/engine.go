package workload

import (
	"slices"
	"time"
)

// These constants set the duration and the limits of one step of the fake engine.
const (
	stepBase     = 18 * time.Millisecond
	stepStream   = 600 * time.Microsecond // added for each stream that yields a token
	prefillToken = 80 * time.Microsecond  // added for each prompt token that is computed
	// prefillChunk limits the prompt tokens that one step computes.
	prefillChunk = 512
	// maxBatch limits the streams in an engine's batch.
	maxBatch = 24
)

// Stream is one attempt to answer a request on one engine.
type Stream struct {
	Arrival *Arrival
	// Prior is the number of answer tokens that earlier attempts have produced.
	Prior    int
	Priority int // a higher number is served first
	// Token is called for each new token with its index in the whole answer, prior tokens
	// included.
	Token func(index int)
	// Started is called when the engine adds the stream to its batch.
	Started func()
	// Ended is called when the answer is complete, or with crashed set when the
	// engine crashed. It is not called after Cancel.
	Ended func(crashed bool)

	// Computed counts the prompt and prior tokens that the engine computed, Cached
	// the prompt tokens that it found in its cache.
	Computed, Cached int

	prefill   int // tokens left to compute before the first token
	next      int // index of the next answer token
	cancelled bool
}

// Cancel ends the stream without a call of Ended; the engine removes it at its next step.
func (s *Stream) Cancel() { s.cancelled = true }

// Engine is a fake model engine on a virtual clock. It batches continuously, admits
// streams by priority and caches prompt prefixes in a cache of limited size.
type Engine struct {
	// Slow multiplies the duration of a step; 1 is normal speed.
	Slow float64
	// Dead is set after a crash. A dead engine ends every stream as crashed.
	Dead bool

	clock    *Clock
	cache    *prefixCache
	waiting  []*Stream
	running  []*Stream
	stepping bool // whether a step is running or scheduled
}

// NewEngine returns an idle engine whose cache holds cacheBlocks prompt blocks.
func NewEngine(clock *Clock, cacheBlocks int) *Engine {
	return &Engine{Slow: 1, clock: clock, cache: newPrefixCache(cacheBlocks)}
}

// Submit queues a stream behind the waiting streams of the same or a higher priority.
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

// Load returns the number of streams that wait or run on the engine.
func (e *Engine) Load() int { return len(e.waiting) + len(e.running) }

// Crash marks the engine as dead and ends all its streams as crashed.
func (e *Engine) Crash() {
	e.Dead = true
	crashed := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, s := range crashed {
		s.end(true)
	}
}

// end calls Ended, unless the stream was cancelled or has ended already.
func (s *Stream) end(crashed bool) {
	if !s.cancelled {
		s.cancelled = true
		s.Ended(crashed)
	}
}

// step starts one step of the batch, or stops stepping when the batch is empty.
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
	for _, s := range e.running { // ordered by priority, the highest first
		if s.prefill == 0 {
			decoding = append(decoding, s)
			continue
		}
		chunk := min(budget, s.prefill)
		budget -= chunk
		if s.prefill -= chunk; s.prefill == 0 && chunk > 0 {
			decoding = append(decoding, s)
		}
	}
	cost := stepBase + time.Duration(len(decoding))*stepStream + time.Duration(prefillChunk-budget)*prefillToken
	e.clock.After(time.Duration(float64(cost)*e.Slow), func() { e.finish(decoding) })
}

// admit removes cancelled streams from the batch and fills it with waiting streams.
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

// finish ends one step, in which each decoding stream yields a token, and starts the next.
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

// prefixCache is a least-recently-used cache of prompt blocks.
type prefixCache struct {
	capacity int
	used     map[uint64]uint64 // time of last use by block digest, on the cache's clock
	order    []cacheUse        // all uses, the oldest first
	clock    uint64            // number of uses so far
}

// cacheUse is one use of a block; at is the cache's clock at that use.
type cacheUse struct{ block, at uint64 }

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, used: map[uint64]uint64{}}
}

// match returns how many of the leading blocks are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.used[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store marks the blocks as used, the first block as the most recent one, and evicts
// the least recently used blocks beyond the capacity.
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

// SingleCache returns the share of prompt tokens, 0 to 1, that a single cache of the
// given number of blocks serves when each request is handled on arrival.
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
