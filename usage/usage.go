// Package usage counts the requests that upstreams began to run, by client
// account and window of true time, and reports each window once with one set
// of counts.
//
// Every host tells its counts to a few collectors. The one that holds the duty
// adds them up and settles the sum in the key-value service before it is sent,
// so that a successor repeats it exactly.
package usage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// tellInterval is how much of its counts a host loses when it is killed.
	tellInterval = time.Second
	// callTimeout bounds one call.
	callTimeout = time.Second
	// keptWindows is how many past windows are kept: twice as long as a report
	// may be late.
	keptWindows = 4
	// Role is the key by which the collectors are chosen.
	Role = "duties"
	// Collectors is how many hosts collect counts and campaign for the duties.
	Collectors = 2
)

// Records counts steps of usage reports by outcome.
var Records = metrics.New("usage_records_total", "Steps of usage reports, by outcome.")

const (
	labelTold       = "told"
	labelTellFailed = "tell_failed"
	labelReported   = "reported"
	labelFailed     = "report_failed"
)

// windows are counts by window and account.
type windows map[int64]map[string]int64

// forget drops the windows before the oldest that is kept.
func (w windows) forget(oldest int64) {
	maps.DeleteFunc(w, func(n int64, _ map[string]int64) bool { return n < oldest })
}

// told is a host's message: all that it counted in the windows kept.
type told struct {
	// Process names the host and its process: counts of another process add up.
	Process string  `cbor:"1,keyasint"`
	Windows windows `cbor:"2,keyasint"`
}

// Counter counts on this host, and collects the counts of others. Use NewCounter.
type Counter struct {
	self    string
	process string
	window  time.Duration
	now     func() time.Time
	client  *inner.Client
	hosts   func() *membership.View

	mu        sync.Mutex
	own       windows
	changed   bool
	collected map[string]windows // by process
}

// NewCounter returns a counter for windows of the given length and registers
// its message; now returns true time.
func NewCounter(host string, window time.Duration, now func() time.Time, client *inner.Client, server *inner.Server, hosts func() *membership.View) *Counter {
	c := &Counter{
		self: host, process: host + "/" + uuid.NewString(), window: window, now: now, client: client, hosts: hosts,
		own: windows{}, collected: map[string]windows{},
	}
	inner.Register(server, inner.KindUsageCounts, func(_ context.Context, t told) (struct{}, error) {
		c.collect(t)
		return struct{}{}, nil
	})
	return c
}

// number returns the window of a time.
func number(at time.Time, window time.Duration) int64 { return at.UnixMilli() / window.Milliseconds() }

// Started counts a request of an account.
func (c *Counter) Started(account string) {
	n := number(c.now(), c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own[n] == nil {
		c.own[n] = map[string]int64{}
	}
	c.own[n][account]++
	c.changed = true
}

// collect takes a process's counts in place of those that it told before.
func (c *Counter) collect(t told) {
	oldest := number(c.now(), c.window) - keptWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collected[t.Process] = t.Windows
	for process, w := range c.collected {
		if w.forget(oldest); len(w) == 0 {
			delete(c.collected, process)
		}
	}
}

// sum adds up what all processes counted in a window.
func (c *Counter) sum(window int64) map[string]int64 {
	total := map[string]int64{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.collected {
		for account, n := range w[window] {
			total[account] += n
		}
	}
	return total
}

// Run tells the counts to the collectors until ctx ends, and then once more.
// Where they have changed, the collectors need not know what was told to others.
func (c *Counter) Run(ctx context.Context) {
	var before []string
	for last := false; !last; {
		last = !wait.For(ctx, tellInterval)
		collectors := c.hosts().Chosen(Role, Collectors)
		now := make([]string, 0, len(collectors))
		for _, m := range collectors {
			now = append(now, m.ID)
		}
		t, changed := c.take()
		if !changed && slices.Equal(before, now) {
			continue
		}
		before = now
		for _, m := range collectors {
			c.tell(context.WithoutCancel(ctx), m, t)
		}
	}
}

// take copies the counts to be told.
func (c *Counter) take() (told, bool) {
	oldest := number(c.now(), c.window) - keptWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.forget(oldest)
	t := told{Process: c.process, Windows: windows{}}
	for n, counts := range c.own {
		t.Windows[n] = maps.Clone(counts)
	}
	changed := c.changed
	c.changed = false
	return t, changed
}

func (c *Counter) tell(ctx context.Context, m membership.Member, t told) {
	if m.ID == c.self {
		c.collect(told{Process: t.Process, Windows: maps.Clone(t.Windows)})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.client.Call(ctx, m.InnerAddress, inner.KindUsageCounts, t, nil); err != nil {
		Records.Inc(labelTellFailed)
		c.mu.Lock()
		c.changed = true // told again with the next ones
		c.mu.Unlock()
		return
	}
	Records.Inc(labelTold)
}
