package usage

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/membership"
)

const testWindow = 5 * time.Second

// recordedReports is a cloud.UsageSink that records when each window was reported first.
type recordedReports struct {
	mu sync.Mutex
	at map[int64]time.Time
}

func (r *recordedReports) Report(_ context.Context, _ uint64, window int64, _ map[string]int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.at[window]; !known {
		r.at[window] = time.Now()
	}
	return nil
}

// TestUnreadableWindowDoesNotDelayOthers guards against an odd value that another writer left in place of the
// counts of one window: the reports of the windows after it are due in time all the same.
func TestUnreadableWindowDoesNotDelayOthers(t *testing.T) {
	for name, value := range map[string]string{
		"no record": "\xff\xfe", "deeply nested": strings.Repeat("[", 60000), "count without end": `{"a":1e400}`,
		"other type": `{"a":"1"}`, "negative count": `{"a":-1}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const odd = 3 // windows after the first one
				store := kvmem.New()
				view := &membership.View{Members: []membership.Member{{ID: "a"}}}
				counter := NewCounter("a", testWindow, time.Now, inner.NewClient(), inner.NewServer(), func() *membership.View { return view })
				sink := &recordedReports{at: map[int64]time.Time{}}
				reporter := &Reporter{Store: store, Counts: counter, Sink: sink, Window: testWindow, Now: time.Now, Logger: hclog.NewNullLogger()}
				first := windowNumber(time.Now(), testWindow) + 1
				if _, err := store.CompareAndSwap(t.Context(), kv.Write{Key: settledPrefix + strconv.FormatInt(first+odd, 10), Value: []byte(value)}); err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(t.Context())
				clock := clocktest.New(1)
				holder := lease.New(kv.NewClient(store, kv.Options{}), "duties", "a", hclog.NewNullLogger(), lease.Options{Elapsed: clock.Elapsed})
				var running sync.WaitGroup
				running.Go(func() { counter.Run(ctx) })
				running.Go(func() { holder.Run(ctx, reporter.Run) })
				running.Go(func() {
					for ctx.Err() == nil {
						counter.Started("account")
						time.Sleep(100 * time.Millisecond)
					}
				})
				const windows = 10
				time.Sleep((windows + 4) * testWindow)
				stop()
				running.Wait()
				for n := first; n < first+windows; n++ {
					// A report is due two windows after the end of its window.
					due := time.UnixMilli((n + 3) * testWindow.Milliseconds())
					if at, reported := sink.at[n]; n != first+odd && (!reported || at.After(due)) {
						t.Errorf("window %d was reported at %v, want it by %v; reported: %v", n-first, at, due, slices.Sorted(maps.Keys(sink.at)))
					}
				}
			})
		})
	}
}

// TestNoReportThatOutlivesItsTerm guards against a report that is sent just before its term ends and arrives behind
// the next holder's, and against a window that is then left out of the term's reports.
func TestNoReportThatOutlivesItsTerm(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	clock, store := clocktest.New(1), kvmem.New()
	sink := &recordedReports{at: map[int64]time.Time{}}
	view := &membership.View{Members: []membership.Member{{ID: "a"}}}
	counter := NewCounter("a", testWindow, time.Now, inner.NewClient(), inner.NewServer(), func() *membership.View { return view })
	reporter := &Reporter{Store: store, Counts: counter, Sink: sink, Window: testWindow, Now: time.Now, Logger: hclog.NewNullLogger()}
	window := windowNumber(time.Now(), testWindow)
	counter.recordSettled(window, map[string]int64{"account": 1})
	holder := lease.New(store, "duties", "a", hclog.NewNullLogger(), lease.Options{Elapsed: clock.Elapsed})
	holder.Run(ctx, func(ctx context.Context, term *lease.Term) {
		defer cancel()
		clock.Suspend(term.Remaining() - cloud.CallLifetime + time.Millisecond)
		err := reporter.report(ctx, term, window, window)
		if !term.Valid() || cloud.ReasonOf(err) != cloud.ReasonUnavailable || len(sink.at) != 0 {
			t.Errorf("%v before the end of the term: error %v, %d reports, want an error and none", term.Remaining(), err, len(sink.at))
		}
	})
	if ctx.Err() != context.Canceled {
		t.Error("the lease was not acquired")
	}
}
