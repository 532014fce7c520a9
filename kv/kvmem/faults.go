package kvmem

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cardamompier/cardamompier/kv"
)

// Names of the calls, as counted and as given in errors.
const (
	opGet       = "get"
	opList      = "list"
	opSwap      = "swap"
	opDelete    = "delete"
	opWatch     = "watch"
	opGrant     = "grant"
	opKeepAlive = "keepalive"
	opRevoke    = "revoke"
)

// Faults is the failure that a Store shows. The zero value is a healthy,
// unlimited service.
type Faults struct {
	// Outage refuses every call and ends waiting watches.
	Outage bool `json:"outage"`
	// Latency is added to each call but a watch.
	Latency time.Duration `json:"latency_ns"`
	// LoseAnswers is the share of calls, 0 to 1, whose answer is lost after
	// they took effect.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNext loses the answers of the next n writes.
	LoseNext int `json:"lose_next"`
	// DelayWrites is the share of writes, 0 to 1, and DelayNext the number of
	// next writes, whose answer is lost at once and that arrive DelayBy later.
	DelayWrites float64       `json:"delay_writes"`
	DelayNext   int           `json:"delay_next"`
	DelayBy     time.Duration `json:"delay_by_ns"`
	// SlowCalls is the share of calls, 0 to 1, that take SlowBy longer.
	SlowCalls float64       `json:"slow_calls"`
	SlowBy    time.Duration `json:"slow_by_ns"`
	// StaleReads is the share of gets, 0 to 1, answered with the value before the last.
	StaleReads float64 `json:"stale_reads"`
	// WritesPerSecond and ReadsPerSecond limit the calls; zero means unlimited.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Seed seeds the random choices.
	Seed uint64 `json:"seed"`
}

type faultState struct {
	mu     *sync.Mutex
	set    Faults
	random *rand.Rand
	writes *rate.Limiter
	reads  *rate.Limiter
	calls  map[string]uint64
	outage chan struct{} // closed while an outage lasts
}

func newFaultState() faultState {
	return faultState{
		mu:     &sync.Mutex{},
		random: rand.New(rand.NewPCG(0, 0)),
		calls:  map[string]uint64{},
		outage: make(chan struct{}),
	}
}

// SetFaults replaces the failure that the store shows.
func (s *Store) SetFaults(f Faults) {
	st := &s.faults
	st.mu.Lock()
	defer st.mu.Unlock()
	if f.Outage && !st.set.Outage {
		close(st.outage)
	}
	if !f.Outage && st.set.Outage {
		st.outage = make(chan struct{})
	}
	st.set = f
	st.random = rand.New(rand.NewPCG(f.Seed, 0))
	st.writes = limiterFor(f.WritesPerSecond)
	st.reads = limiterFor(f.ReadsPerSecond)
}

// Calls returns how many calls of each kind arrived, refused ones included.
func (s *Store) Calls() map[string]uint64 {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	out := make(map[string]uint64, len(s.faults.calls))
	for op, n := range s.faults.calls {
		out[op] = n
	}
	return out
}

func limiterFor(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// before counts a call and applies outage, rate limit and latency.
func (st *faultState) before(ctx context.Context, op, key string) error {
	st.mu.Lock()
	st.calls[op]++
	outage, latency := st.set.Outage, st.set.Latency
	if st.set.SlowCalls > 0 && st.random.Float64() < st.set.SlowCalls {
		latency += st.set.SlowBy
	}
	limiter := st.writes
	if op == opGet || op == opList || op == opWatch {
		limiter = st.reads
	}
	st.mu.Unlock()
	if outage {
		return &kv.Error{Op: op, Key: key, Reason: kv.ReasonUnavailable}
	}
	if limiter != nil && !limiter.Allow() {
		return &kv.Error{Op: op, Key: key, Reason: kv.ReasonRateLimited}
	}
	if latency > 0 && op != opWatch {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return &kv.Error{Op: op, Key: key, Reason: kv.ReasonUnavailable, Cause: ctx.Err()}
		}
	}
	return nil
}

// answer decides whether the answer of a call that took effect is lost.
func (st *faultState) answer(op, key string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	lost := st.set.LoseAnswers > 0 && st.random.Float64() < st.set.LoseAnswers
	isRead := op == opGet || op == opList
	if st.set.LoseNext > 0 && !isRead {
		st.set.LoseNext--
		lost = true
	}
	if !lost {
		return nil
	}
	return &kv.Error{Op: op, Key: key, Reason: kv.ReasonUnknown}
}

// takeDelay says whether a write arrives late, and by how much.
func (st *faultState) takeDelay() (time.Duration, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	late := st.set.DelayWrites > 0 && st.random.Float64() < st.set.DelayWrites
	if st.set.DelayNext > 0 {
		st.set.DelayNext--
		late = true
	}
	return st.set.DelayBy, late
}

func (st *faultState) takeStaleRead() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.set.StaleReads > 0 && st.random.Float64() < st.set.StaleReads
}

func (st *faultState) outageBegan() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.outage
}
