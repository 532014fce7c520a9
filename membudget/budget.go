// Package membudget accounts for the memory that callers of a process hold and decides which callers are shed when it
// is used up. It does no I/O; package callerconn applies it to connections.
package membudget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBytes is what one holder may hold of the whole budget. What it holds beyond is bounded by the part of the
	// budget that is not reserved, so that small requests find memory whatever large ones hold.
	SmallBytes = 32 << 10
	// ReservedShare is the share of the budget that is kept for holders of at most SmallBytes.
	ReservedShare = 0.25
	// shardCount bounds the contention of connections that are opened and closed at once.
	shardCount = 16
	// shedPause is the time between two attempts to charge memory while shed holders give back theirs, and shedAttempts
	// the number of attempts, so that no caller waits longer than 100 ms.
	shedPause, shedAttempts = 5 * time.Millisecond, 20
)

// ExhaustedError reports that memory was not charged, because the budget is used up or the holder itself was shed.
type ExhaustedError struct {
	// Need is the number of bytes that were asked for.
	Need int64
	// Shed is whether the holder was shed.
	Shed bool
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	if e.Shed {
		return "the caller was shed"
	}
	return "the memory for callers is used up"
}

// Budget bounds the bytes that all holders hold. Use New.
type Budget struct {
	limit, largeLimit int64
	held, large       atomic.Int64 // large: what holders hold beyond SmallBytes
	nextShard         atomic.Uint32
	shedding          sync.Mutex // held by the only goroutine that chooses whom to shed
	shards            [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	holders map[*Holder]struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{limit: limit, largeLimit: int64(float64(limit) * (1 - ReservedShare))}
	for i := range b.shards {
		b.shards[i].holders = map[*Holder]struct{}{}
	}
	return b
}

// Held returns the bytes that all holders hold.
func (b *Budget) Held() int64 { return b.held.Load() }

// Limit returns the bytes that all holders may hold.
func (b *Budget) Limit() int64 { return b.limit }

// Open registers a holder, charges base bytes for it, and returns nil if they cannot be charged. The function shed is
// called at most once, when the holder must give back its memory; it must not block. caller identifies the caller, who
// may have several holders; group those among which ChooseConnection chooses.
func (b *Budget) Open(base int64, caller string, group any, now time.Time, shed func(ShedReason)) *Holder {
	h := &Holder{budget: b, caller: caller, group: group, shed: shed, base: base, opened: now}
	if h.Grow(base) != nil {
		return nil
	}
	s := &b.shards[b.nextShard.Add(1)%shardCount]
	h.shard = s
	s.mu.Lock()
	s.holders[h] = struct{}{}
	s.mu.Unlock()
	return h
}

// holders returns all open holders.
func (b *Budget) holders() []*Holder {
	var all []*Holder
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for h := range s.holders {
			all = append(all, h)
		}
		s.mu.Unlock()
	}
	return all
}

// Observe notes which holders have made progress since the last call and calls visit for each. Call it at regular
// intervals, from one goroutine.
func (b *Budget) Observe(now time.Time, visit func(*Holder, Candidate)) {
	for _, h := range b.holders() {
		visit(h, h.observe(now))
	}
}

// charge charges bytes to a holder if the budget has them left.
func (b *Budget) charge(h *Holder, n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	for {
		old := h.held.Load()
		beyond := excess(old+n) - excess(old)
		if beyond > 0 && b.large.Add(beyond) > b.largeLimit {
			b.large.Add(-beyond)
			b.held.Add(-n)
			return false
		}
		if h.held.CompareAndSwap(old, old+n) {
			return true
		}
		b.large.Add(-beyond)
	}
}

// release gives back bytes of a holder.
func (b *Budget) release(h *Holder, n int64) {
	for {
		old := h.held.Load()
		freed := min(n, old)
		if h.held.CompareAndSwap(old, old-freed) {
			b.large.Add(excess(old-freed) - excess(old))
			b.held.Add(-freed)
			return
		}
	}
}

// excess returns the part of held bytes that is beyond SmallBytes.
func excess(held int64) int64 { return max(0, held-SmallBytes) }

// chargeByShedding sheds other holders until bytes can be charged, no holder may be shed, or shedAttempts are used.
func (b *Budget) chargeByShedding(h *Holder, n int64) error {
	for range shedAttempts {
		pending := true
		if b.shedding.TryLock() {
			pending = b.shedFor(h, n)
			b.shedding.Unlock()
		}
		if !pending {
			break
		}
		time.Sleep(shedPause)
		if h.WasShed() {
			return &ExhaustedError{Need: n, Shed: true}
		}
		if b.charge(h, n) {
			return nil
		}
	}
	return &ExhaustedError{Need: n, Shed: h.WasShed()}
}

// shedFor sheds holders that hold at least n bytes, and more if the budget is small beside its holders, so that not
// every charge has to choose. It returns false if none may be shed and none that was shed still holds memory.
func (b *Budget) shedFor(asking *Holder, n int64) bool {
	now := time.Now()
	var candidates []Candidate
	var others []*Holder
	pending := false
	for _, h := range b.holders() {
		switch {
		case h == asking:
		case h.WasShed():
			pending = pending || h.held.Load() > 0
		default:
			others = append(others, h)
			candidates = append(candidates, h.candidate(now))
		}
	}
	chosen := Choose(candidates, max(n, b.limit/32), asking.large(n))
	for _, i := range chosen {
		others[i].Shed(ShedMemory)
	}
	return pending || len(chosen) > 0
}

// ChooseConnection returns the holder of a group that is shed for a new one; nil if none may be.
func (b *Budget) ChooseConnection(group any, now time.Time) *Holder {
	var candidates []Candidate
	var members []*Holder
	for _, h := range b.holders() {
		if h.group == group && !h.WasShed() {
			members = append(members, h)
			candidates = append(candidates, h.candidate(now))
		}
	}
	chosen := Choose(candidates, 1, false)
	if len(chosen) == 0 {
		return nil
	}
	return members[chosen[0]]
}

type contextKey struct{}

// NewContext returns a context that carries a holder.
func NewContext(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the holder of a context; nil, which is a holder without a budget, if it carries none.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(contextKey{}).(*Holder)
	return h
}
