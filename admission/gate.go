package admission

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// TargetTokenTime is the target for the mean time between two tokens of a
	// stream. A pool at or below this time is never treated as overloaded.
	TargetTokenTime = 40 * time.Millisecond
	// SampleInterval is the time between two calls of Gate.Sample.
	SampleInterval = 200 * time.Millisecond

	// minSlots is the lower bound of the number of concurrent streams.
	minSlots = 8
	// initialSlots is the number of concurrent streams before the first measurement.
	initialSlots = 32
	// maxSlowdown is for pools that are slow even under light load: such a pool
	// counts as overloaded above maxSlowdown times its best token time.
	maxSlowdown = 1.5
	// oldSampleWeight is the factor by which earlier samples lose weight in the
	// smoothed token time at each new sample.
	oldSampleWeight = 0.7
	// slotDecrease multiplies the number of slots at each sample of an overloaded pool.
	slotDecrease = 0.9
	// slotIncrease multiplies the number of slots at each sample in which the
	// slots are used up and the pool is not overloaded.
	slotIncrease = 1.05
	// maxWait is the longest wait for a slot, predicted from the rate at which slots
	// are granted. Requests that would wait longer are rejected.
	maxWait = 200 * time.Millisecond
	// minQueue is the lower bound of the limit on waiting requests.
	minQueue = 4
	// grantRateWeight is the weight of the newest sample in the smoothed slot grant rate.
	grantRateWeight = 0.2
	// busyFraction is the fraction of the slots that must be in use for the slots to
	// count as used up.
	busyFraction = 0.9
)

// Progress reports the progress of one stream. Count returns the number of tokens
// that the stream has generated so far.
type Progress interface{ Count() int }

// Gate limits the number of streams that run concurrently from this host on one
// pool of upstreams. It adapts the limit to the measured time between tokens and
// shares the slots between client accounts by weight. Use NewGate.
type Gate struct {
	mu          sync.Mutex
	slots       float64
	running     map[*Slot]struct{}
	queue       *FairQueue[*Slot]
	grantRate   float64 // smoothed number of slots granted per second
	granted     int     // slots granted since the last sample
	sampledAt   time.Time
	endedTokens int // tokens generated since the last sample by streams that have ended
	// streamTime is the smoothed running time of all streams, in seconds.
	// streamTokens is the smoothed number of tokens generated in that time. Both are
	// sums in which older samples weigh less.
	streamTime, streamTokens float64
	// bestTokenTime is the shortest mean time between tokens measured so far. A
	// measurement with at most minSlots streams replaces it even when longer,
	// since so few streams cannot be the cause of a slow pool. It is zero before
	// the first measurement.
	bestTokenTime time.Duration
}

// Slot is the permission for one stream to run. Release returns it to the gate.
type Slot struct {
	gate     *Gate
	progress Progress
	granted  chan struct{}
	// hasToken is set by the first sample after the stream's first token. Earlier
	// samples of the stream are ignored, since the time before the first token is
	// not a time between tokens.
	hasToken     bool
	sampledCount int // token count of the stream at the last sample
	released     bool
}

// NewGate returns a Gate with the initial number of slots and no streams.
func NewGate() *Gate {
	return &Gate{slots: initialSlots, running: map[*Slot]struct{}{}, queue: NewFairQueue[*Slot]()}
}

// ShouldReject reports whether a new request of the client account must be rejected, and
// the time after which the caller may retry. A request is rejected when the queue
// is full. It is also rejected when the queue is at least half full and the client
// account holds at least half of the waiting requests, but not all of them.
func (g *Gate) ShouldReject(account string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := max(minQueue, int(g.grantRate*maxWait.Seconds()))
	waiting, own := g.queue.Len(), g.queue.LenOf(account)
	full := waiting >= limit || (waiting >= limit/2 && 2*own >= waiting && own < waiting)
	return maxWait, full
}

// Enter queues a stream of the client account with the given weight and waits for
// a slot. It returns the error of ctx when ctx ends first.
func (g *Gate) Enter(ctx context.Context, account string, weight float64, progress Progress) (*Slot, error) {
	s := &Slot{gate: g, progress: progress, granted: make(chan struct{}), sampledCount: progress.Count()}
	g.mu.Lock()
	g.queue.Push(account, weight, 1, s)
	g.grant()
	g.mu.Unlock()
	select {
	case <-s.granted:
		return s, nil
	case <-ctx.Done():
		s.Release()
		return nil, ctx.Err()
	}
}

// Release returns the slot to the gate, which grants it to the next waiting
// stream. Calls after the first have no effect.
func (s *Slot) Release() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	if s.hasToken {
		g.endedTokens += s.progress.Count() - s.sampledCount
	}
	delete(g.running, s)
	g.grant()
}

// grant assigns free slots to waiting streams in queue order. The caller holds g.mu.
func (g *Gate) grant() {
	for float64(len(g.running)) < math.Floor(g.slots) {
		s, ok := g.queue.Pop()
		if !ok {
			return
		}
		if s.released {
			continue
		}
		g.running[s] = struct{}{}
		g.granted++
		close(s.granted)
	}
}

// Sample measures the mean time between tokens since the last call and adapts the
// number of slots. The number falls while that time is above both TargetTokenTime
// and maxSlowdown times the best token time of the pool. Otherwise it rises while
// the slots are used up.
func (g *Gate) Sample(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	tokens := g.endedTokens
	g.endedTokens = 0
	generating := 0
	for s := range g.running {
		count := s.progress.Count()
		if s.hasToken {
			generating++
			tokens += count - s.sampledCount
		}
		s.hasToken, s.sampledCount = s.hasToken || count > s.sampledCount, count
	}
	elapsed := now.Sub(g.sampledAt)
	isFirst := g.sampledAt.IsZero()
	g.sampledAt = now
	if !isFirst {
		g.grantRate += grantRateWeight * (float64(g.granted)/elapsed.Seconds() - g.grantRate)
	}
	g.granted = 0
	if isFirst || len(g.running) == 0 {
		return
	}
	g.streamTime = oldSampleWeight*g.streamTime + elapsed.Seconds()*float64(generating)
	g.streamTokens = oldSampleWeight*g.streamTokens + float64(tokens)
	if g.streamTokens < 1 {
		return
	}
	tokenTime := time.Duration(g.streamTime / g.streamTokens * float64(time.Second))
	if g.bestTokenTime == 0 || tokenTime < g.bestTokenTime || len(g.running) <= minSlots {
		g.bestTokenTime = tokenTime
	}
	g.slots = nextSlots(g.slots, len(g.running), tokenTime > g.limit())
	g.grant()
}

// limit returns the mean time between tokens above which the pool is overloaded.
func (g *Gate) limit() time.Duration {
	return max(TargetTokenTime, time.Duration(maxSlowdown*float64(g.bestTokenTime)))
}

// nextSlots returns the number of slots to use after a sample with running streams.
func nextSlots(slots float64, running int, overloaded bool) float64 {
	switch {
	case overloaded:
		return max(minSlots, slots*slotDecrease)
	case float64(running) >= busyFraction*slots:
		return slots * slotIncrease
	default:
		return slots
	}
}

// Slots returns the number of streams that may run concurrently.
func (g *Gate) Slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.slots)
}
