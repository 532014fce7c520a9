// Package usage counts the requests that upstreams began to run, by client
// account and usage window, and reports each window once, with one set of counts.
// A usage window is a fixed interval of true time, which each host estimates
// without following later changes to its wall clock.
//
// Every host sends its counts to a few collectors. The collector that holds the
// lease for usage reports sums the counts and stores the sum in the key-value
// service before it reports it, so that a successor repeats the report exactly. It also
// sends the sum to the other collectors, for the case that the service loses it.
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
	// sendInterval is the time between two sends of a host's counts to the
	// collectors: a host that is killed loses the counts since its last send.
	sendInterval = time.Second
	// callTimeout bounds one call to a collector; a report of a window may last twice
	// as long.
	callTimeout = time.Second
	// keptWindows is the number of past usage windows whose counts are kept: twice
	// the number of windows by which a report may be late.
	keptWindows = 4
	// Role is the rendezvous hashing key that selects the collectors among the
	// entry hosts.
	Role = "duties"
	// Collectors is the number of hosts that collect usage counts and compete for
	// the lease for usage reports and scaling orders.
	Collectors = 2
)

// Records counts the steps of usage reports (sends to a collector and reports) by
// outcome.
var Records = metrics.New("usage_records_total", "Steps of usage reports, by outcome.")

// These are the outcome labels of Records: the first two for sending counts to a
// collector, the others for reporting a window.
const (
	labelSent         = "told"
	labelSendFailed   = "tell_failed"
	labelReported     = "reported"
	labelReportFailed = "report_failed"
	// labelReportLost stands for a window that is not reported, because the store may have lost
	// the sum that was reported.
	labelReportLost = "report_lost"
)

// windows maps window numbers to the request counts by client account.
type windows map[int64]map[string]int64

// expire deletes the windows with a number below oldest.
func (w windows) expire(oldest int64) {
	maps.DeleteFunc(w, func(n int64, _ map[string]int64) bool { return n < oldest })
}

// countsMessage is the message that a host sends to the collectors. It holds all
// counts of the host's process in the windows that are kept, not just new ones.
type countsMessage struct {
	// Process identifies the host and its current process: a collector adds the
	// counts of a restarted process to those of the earlier one.
	Process string  `cbor:"1,keyasint"`
	Windows windows `cbor:"2,keyasint"`
	// Settled are the final sums over all hosts that the sender knows.
	Settled windows `cbor:"3,keyasint,omitempty"`
}

// Counter counts the requests that this host's upstreams began to run, and collects
// the counts that other hosts send. Use NewCounter.
type Counter struct {
	self    string
	process string
	window  time.Duration
	now     func() time.Time
	client  *inner.Client
	hosts   func() *membership.View

	mu        sync.Mutex
	own       windows
	unsent    bool               // whether own has counts that a collector may lack
	collected map[string]windows // by process
	// settled are the final sums of windows that this host has read, stored or received. A map of counts in it is not
	// changed any more.
	settled windows
}

// NewCounter returns a counter for usage windows of the given length and registers
// the handler of the other hosts' counts at server. The function now must return the
// estimated true time.
func NewCounter(host string, window time.Duration, now func() time.Time, client *inner.Client, server *inner.Server, hosts func() *membership.View) *Counter {
	c := &Counter{
		self: host, process: host + "/" + uuid.NewString(), window: window, now: now, client: client, hosts: hosts,
		own: windows{}, collected: map[string]windows{}, settled: windows{},
	}
	inner.Register(server, inner.KindUsageCounts, func(_ context.Context, m countsMessage) (struct{}, error) {
		c.collect(m)
		return struct{}{}, nil
	})
	return c
}

// windowNumber returns the number of the window that contains a time: the count of
// whole windows since 1970.
func windowNumber(at time.Time, window time.Duration) int64 {
	return at.UnixMilli() / window.Milliseconds()
}

// Started counts one request of a client account in the current window.
func (c *Counter) Started(account string) {
	n := windowNumber(c.now(), c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own[n] == nil {
		c.own[n] = map[string]int64{}
	}
	c.own[n][account]++
	c.unsent = true
}

// collect stores the counts of a process, replacing all counts that the same process
// sent before, and deletes expired windows.
func (c *Counter) collect(m countsMessage) {
	oldest := windowNumber(c.now(), c.window) - keptWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(m.Settled)
	c.collected[m.Process] = m.Windows
	for process, w := range c.collected {
		if w.expire(oldest); len(w) == 0 {
			delete(c.collected, process)
		}
	}
}

// sum returns the total counts of all processes in a window, by client account.
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

// Run sends this host's counts to the collectors every sendInterval until ctx ends,
// and then once more. It skips a send if neither the counts nor the collectors have
// changed; new collectors may not have the counts that were sent to earlier ones.
func (c *Counter) Run(ctx context.Context) {
	var previous []string
	for last := false; !last; {
		last = !wait.For(ctx, sendInterval)
		collectors := c.hosts().Chosen(Role, Collectors)
		current := make([]string, 0, len(collectors))
		for _, m := range collectors {
			current = append(current, m.ID)
		}
		counts, unsent := c.snapshot()
		if !unsent && slices.Equal(previous, current) {
			continue
		}
		previous = current
		for _, m := range collectors {
			c.send(context.WithoutCancel(ctx), m, counts)
		}
	}
}

// snapshot returns a message with a copy of this host's counts, and whether a
// collector may lack some of them. It marks all of them as sent.
func (c *Counter) snapshot() (countsMessage, bool) {
	oldest := windowNumber(c.now(), c.window) - keptWindows
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.expire(oldest)
	message := countsMessage{Process: c.process, Windows: windows{}, Settled: maps.Clone(c.settled)}
	for n, counts := range c.own {
		message.Windows[n] = maps.Clone(counts)
	}
	unsent := c.unsent
	c.unsent = false
	return message, unsent
}

// send sends the counts to one collector, or stores them directly if the collector
// is this host. After a failed call, the counts are sent again with the next ones.
func (c *Counter) send(ctx context.Context, m membership.Member, counts countsMessage) {
	if m.ID == c.self {
		c.collect(countsMessage{Process: counts.Process, Windows: maps.Clone(counts.Windows), Settled: counts.Settled})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.client.Call(ctx, m.InnerAddress, inner.KindUsageCounts, counts, nil); err != nil {
		Records.Inc(labelSendFailed)
		c.mu.Lock()
		c.unsent = true // the next send repeats these counts
		c.mu.Unlock()
		return
	}
	Records.Inc(labelSent)
}
