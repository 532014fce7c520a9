// Package usage counts the requests that upstreams began to run, by client
// account and window of true time, and reports each window once with one set
// of counts.
//
// Every host keeps its counts in the key-value service. The holder of the duty
// adds them up, settles the sum there before it is sent, and so a successor
// repeats it exactly.
package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	countsPrefix  = "usage/counts/"
	settledPrefix = "usage/settled/"

	// flushInterval is how much of its counts a host loses when it is killed.
	flushInterval = 1500 * time.Millisecond
	// recordTTL is how long counts and sums stay: many windows longer than a
	// report may be late.
	recordTTL = 2 * time.Minute
	// leaseUse is how long a lease of recordTTL takes new records.
	leaseUse = 30 * time.Second
	// callTimeout bounds one call.
	callTimeout = time.Second
	// keptWindows is how many past windows a host counts and a holder reports.
	keptWindows = 4
)

// Records counts writes and reports of usage, by step and outcome.
var Records = metrics.New("usage_records_total", "Steps of usage reports, by outcome.")

const (
	labelFlushed     = "flushed"
	labelFlushFailed = "flush_failed"
	labelReported    = "reported"
	labelFailed      = "report_failed"
)

// Counter counts on this host. Use NewCounter.
type Counter struct {
	store  kv.Store
	self   string
	window time.Duration
	now    func() time.Time
	logger hclog.Logger

	mu      sync.Mutex
	windows map[int64]*counts
}

// counts are one window's.
type counts struct {
	byAccount map[string]int64
	changed   bool
	version   kv.Version
}

// NewCounter returns a counter for windows of the given length; now returns
// true time.
func NewCounter(store kv.Store, host string, window time.Duration, now func() time.Time, logger hclog.Logger) *Counter {
	return &Counter{
		store: store, self: host + "-" + uuid.NewString()[:8], window: window, now: now, logger: logger,
		windows: map[int64]*counts{},
	}
}

// number returns the window of a time.
func number(at time.Time, window time.Duration) int64 { return at.UnixMilli() / window.Milliseconds() }

// Started counts a request of an account.
func (c *Counter) Started(account string) {
	n := number(c.now(), c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.windows[n]
	if w == nil {
		w = &counts{byAccount: map[string]int64{}}
		c.windows[n] = w
	}
	w.byAccount[account]++
	w.changed = true
}

// Run keeps the counts in the store until ctx ends, and then once more.
func (c *Counter) Run(ctx context.Context) {
	var lease kv.LeaseID
	var grantedAt time.Time
	for last := false; !last; {
		last = !wait.For(ctx, flushInterval)
		flushCtx := context.WithoutCancel(ctx)
		if !c.pending() {
			continue
		}
		if lease == 0 || time.Since(grantedAt) > leaseUse {
			call, cancel := context.WithTimeout(flushCtx, callTimeout)
			id, err := c.store.Grant(call, recordTTL)
			cancel()
			if err != nil {
				c.failed("grant", err)
				continue
			}
			lease, grantedAt = id, time.Now()
		}
		c.flush(flushCtx, lease)
	}
}

// pending says whether counts changed; it forgets windows long past.
func (c *Counter) pending() bool {
	oldest := number(c.now(), c.window) - keptWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for n, w := range c.windows {
		if n < oldest {
			delete(c.windows, n)
			continue
		}
		changed = changed || w.changed
	}
	return changed
}

func (c *Counter) flush(ctx context.Context, lease kv.LeaseID) {
	type pendingWrite struct {
		window int64
		value  []byte
		expect kv.Version
	}
	var writes []pendingWrite
	c.mu.Lock()
	for n, w := range c.windows {
		if !w.changed {
			continue
		}
		value, err := json.Marshal(w.byAccount)
		if err != nil {
			c.mu.Unlock()
			c.failed("encode", err)
			return
		}
		w.changed = false
		writes = append(writes, pendingWrite{window: n, value: value, expect: w.version})
	}
	c.mu.Unlock()
	for _, w := range writes {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		key := countsPrefix + strconv.FormatInt(w.window, 10) + "/" + c.self
		version, err := c.store.CompareAndSwap(call, kv.Write{Key: key, Value: w.value, Expect: w.expect, Lease: lease})
		if kv.ReasonOf(err) == kv.ReasonConflict { // an earlier write landed without its answer
			var entry kv.Entry
			if entry, err = c.store.Get(call, key); err == nil {
				version, err = c.store.CompareAndSwap(call, kv.Write{Key: key, Value: w.value, Expect: entry.Version, Lease: lease})
			}
		}
		cancel()
		c.mu.Lock()
		if window := c.windows[w.window]; window != nil {
			if err == nil {
				window.version = version
			} else {
				window.changed = true
			}
		}
		c.mu.Unlock()
		if err != nil {
			c.failed("flush", err)
			return
		}
		Records.Inc(labelFlushed)
	}
}

func (c *Counter) failed(step string, err error) {
	Records.Inc(labelFlushFailed)
	events.UsageFailed.Log(c.logger, "step", step, "error", err)
}

// sum adds up the counts of the hosts for one window.
func sum(entries []kv.Entry) (map[string]int64, error) {
	total := map[string]int64{}
	for _, e := range entries {
		var part map[string]int64
		if err := json.Unmarshal(e.Value, &part); err != nil {
			return nil, &RecordError{Key: e.Key, Cause: err}
		}
		for account, n := range part {
			total[account] += n
		}
	}
	return total, nil
}

// RecordError is a record that cannot be read.
type RecordError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return "usage record " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
