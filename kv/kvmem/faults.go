package kvmem

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cardamompier/cardamompier/kv"
)

// Names of the calls, as keys of Store.Calls and in errors.
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

// Faults specifies the faults that a Store injects. The zero value means no faults
// and no rate limits.
type Faults struct {
	// Outage rejects every call with ReasonUnavailable, including watches that
	// already wait.
	Outage bool `json:"outage"`
	// Latency is the delay of each call except Watch.
	Latency time.Duration `json:"latency_ns"`
	// LoseAnswers is the share of calls, 0 to 1, whose response is lost after
	// the call took effect.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNext is the number of next calls, reads excepted, whose response is
	// lost after the call took effect.
	LoseNext int `json:"lose_next"`
	// DelayWrites is the share of writes, 0 to 1, and DelayNext the number of
	// next writes, that fail at once with ReasonUnknown and reach the store
	// only after DelayBy.
	DelayWrites float64       `json:"delay_writes"`
	DelayNext   int           `json:"delay_next"`
	DelayBy     time.Duration `json:"delay_by_ns"`
	// SlowCalls is the share of calls, 0 to 1, that are delayed by SlowBy in
	// addition to Latency.
	SlowCalls float64       `json:"slow_calls"`
	SlowBy    time.Duration `json:"slow_by_ns"`
	// StaleReads is the share of Get calls, 0 to 1, that return the entry before
	// the last change of the key.
	StaleReads float64 `json:"stale_reads"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls. Zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// IgnoreEras compares the revisions of swaps only, without their eras, as the service does with a write
	// that was under way when it came back from a copy.
	IgnoreEras bool `json:"ignore_eras"`
	// Seed is the seed of the random numbers that select the calls with a fault.
	Seed uint64 `json:"seed"`
}

// faultState is the state of a Store's fault injection.
type faultState struct {
	mu     *sync.Mutex
	active Faults
	random *rand.Rand
	writes *rate.Limiter
	reads  *rate.Limiter
	calls  map[string]uint64 // number of calls by name, rejected calls included
	outage chan struct{}     // closed during an outage
}

// newFaultState returns a faultState without faults.
func newFaultState() faultState {
	return faultState{
		mu:     &sync.Mutex{},
		random: rand.New(rand.NewPCG(0, 0)),
		calls:  map[string]uint64{},
		outage: make(chan struct{}),
	}
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(f Faults) {
	st := &s.faults
	st.mu.Lock()
	defer st.mu.Unlock()
	if f.Outage && !st.active.Outage {
		close(st.outage)
	}
	if !f.Outage && st.active.Outage {
		st.outage = make(chan struct{})
	}
	st.active = f
	st.random = rand.New(rand.NewPCG(f.Seed, 0))
	st.writes = limiterFor(f.WritesPerSecond)
	st.reads = limiterFor(f.ReadsPerSecond)
}

// Calls returns the number of calls that arrived, by name of the call. Rejected
// calls count as well.
func (s *Store) Calls() map[string]uint64 {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	out := make(map[string]uint64, len(s.faults.calls))
	for op, n := range s.faults.calls {
		out[op] = n
	}
	return out
}

// limiterFor returns a rate limiter whose burst is the calls of 100 ms, at least 1.
// It returns nil, which means no limit, if perSecond is not positive.
func limiterFor(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// applyBefore counts a call and applies the faults outage, rate limit and latency.
func (st *faultState) applyBefore(ctx context.Context, op, key string) error {
	st.mu.Lock()
	st.calls[op]++
	outage, latency := st.active.Outage, st.active.Latency
	if st.active.SlowCalls > 0 && st.random.Float64() < st.active.SlowCalls {
		latency += st.active.SlowBy
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

// responseError returns an error with ReasonUnknown if the response of a call that
// took effect is to be lost, and nil otherwise.
func (st *faultState) responseError(op, key string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	lost := st.active.LoseAnswers > 0 && st.random.Float64() < st.active.LoseAnswers
	isRead := op == opGet || op == opList
	if st.active.LoseNext > 0 && !isRead {
		st.active.LoseNext--
		lost = true
	}
	if !lost {
		return nil
	}
	return &kv.Error{Op: op, Key: key, Reason: kv.ReasonUnknown}
}

// drawWriteDelay returns by how much the next write is delayed, and whether it is
// delayed at all.
func (st *faultState) drawWriteDelay() (time.Duration, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delayed := st.active.DelayWrites > 0 && st.random.Float64() < st.active.DelayWrites
	if st.active.DelayNext > 0 {
		st.active.DelayNext--
		delayed = true
	}
	return st.active.DelayBy, delayed
}

// drawStaleRead returns whether the next read is to return a stale entry.
func (st *faultState) drawStaleRead() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.active.StaleReads > 0 && st.random.Float64() < st.active.StaleReads
}

// sameVersion returns whether the version that a key has is the one that a write expects.
func (st *faultState) sameVersion(current, expected kv.Version) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.active.IgnoreEras {
		return current.Revision() == expected.Revision()
	}
	return current == expected
}

// outageStarted returns a channel that is closed during an outage.
func (st *faultState) outageStarted() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.outage
}
