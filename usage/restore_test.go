package usage

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/membership"
)

// comparedReports is a cloud.UsageSink that records windows whose reports differ.
type comparedReports struct {
	mu      sync.Mutex
	windows windows
	differ  []int64
}

func (r *comparedReports) Report(_ context.Context, _ uint64, window int64, counts map[string]int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reported, known := r.windows[window]; known && !maps.Equal(reported, counts) {
		r.differ = append(r.differ, window)
	}
	r.windows[window] = maps.Clone(counts)
	return nil
}

// missing returns the number of windows in a range that were not reported.
func (r *comparedReports) missing(first, end int64) (missing int64) {
	for n := first; n < end; n++ {
		if r.windows[n] == nil {
			missing++
		}
	}
	return missing
}

// collector is a host that collects counts and campaigns for the lease of the reports.
type collector struct {
	counter  *Counter
	reporter *Reporter
	holder   *lease.Holder
}

func newCollector(host string, store *kvmem.Store, sink *comparedReports) *collector {
	view := &membership.View{Members: []membership.Member{{ID: host}}}
	client := kv.NewClient(store, kv.Options{})
	counter := NewCounter(host, testWindow, time.Now, inner.NewClient(), inner.NewServer(), func() *membership.View { return view })
	return &collector{
		counter:  counter,
		reporter: &Reporter{Store: client, Counts: counter, Sink: sink, Window: testWindow, Now: time.Now, Logger: hclog.NewNullLogger()},
		holder:   lease.New(client, "duties", host, hclog.NewNullLogger(), lease.Options{Elapsed: clocktest.New(1).Elapsed}),
	}
}

// run holds the lease and reports until the returned function is called.
func (c *collector) run(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { c.holder.Run(ctx, c.reporter.Run) })
	return func() { cancel(); running.Wait() }
}

// TestReportsStayTheSameOverRestore guards against two reports of one window with different counts, after the store has
// come back from a copy without the sum of the first report: the counts that a holder has collected change, and those of
// its successor are others.
func TestReportsStayTheSameOverRestore(t *testing.T) {
	for _, test := range []struct {
		name      string
		successor string // the host that reports after the restore
		sums      bool   // whether the successor has received the sums of the first holder
		lost      int64  // greatest number of windows that may stay without a report
	}{
		{name: "same host", successor: "a"},
		{name: "successor with the sums", successor: "b", sums: true},
		{name: "successor without the sums", successor: "b", lost: keptWindows},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvmem.New()
				store.Restore(store.Copy()) // so that the service counts its eras
				sink := &comparedReports{windows: windows{}}
				hosts := map[string]*collector{"a": newCollector("a", store, sink), "b": newCollector("b", store, sink)}
				counting, stopCounting := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { countRequests(counting, hosts, test.sums) })
				first := windowNumber(time.Now(), testWindow) + 1
				time.Sleep(testWindow - settleDelay + 100*time.Millisecond)
				stop := hosts["a"].run(t.Context())
				time.Sleep(6 * testWindow)
				older := store.Copy()
				time.Sleep(2*testWindow + 2*time.Second)
				stop()
				store.Restore(older)
				stop = hosts[test.successor].run(t.Context())
				time.Sleep(10 * testWindow)
				stop()
				stopCounting()
				running.Wait()
				if len(sink.differ) > 0 {
					t.Errorf("windows %v after the first were reported with different counts, want equal reports", sink.differ)
				}
				end := windowNumber(time.Now().Add(-settleDelay), testWindow) - 1
				if missing := sink.missing(first, end); missing > test.lost {
					t.Errorf("%d of %d windows were not reported, want at most %d", missing, end-first, test.lost)
				}
			})
		})
	}
}

// countRequests lets the counts of an account grow, those of past windows as well, as if the counts of some processes
// arrived late. Host b receives the counts of one process less.
func countRequests(ctx context.Context, hosts map[string]*collector, sums bool) {
	x, y := windows{}, windows{}
	for late := int64(1); ctx.Err() == nil; late++ {
		now := windowNumber(time.Now(), testWindow)
		for n := now - keptWindows; n <= now; n++ {
			x[n], y[n] = map[string]int64{"account": 100 + late}, map[string]int64{"account": 10}
		}
		for host, c := range hosts {
			c.counter.collect(countsMessage{Process: "x", Windows: maps.Clone(x)})
			if host == "a" {
				c.counter.collect(countsMessage{Process: "y", Windows: maps.Clone(y)})
			}
		}
		if sums {
			message, _ := hosts["a"].counter.snapshot()
			hosts["b"].counter.collect(message)
		}
		time.Sleep(sendInterval)
	}
}
