package quota_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/quota"
)

// pacedUpstream is the upstream that the hosts of a paceFleet want to send to.
const pacedUpstream = "u1/1"

// paceFleet is a set of hosts that ask for permits as often as they may.
type paceFleet struct {
	ctx     context.Context
	network *innermem.Network
	rate    float64
	views   map[string]*atomic.Pointer[membership.View] // by host
	stops   map[string]context.CancelFunc

	mu     sync.Mutex
	grants []time.Time
}

// playPaceFleet runs a test in a bubble of its own with a fleet and stops the fleet.
func playPaceFleet(t *testing.T, hosts int, rate float64, play func(*testing.T, *paceFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &paceFleet{
			ctx: ctx, network: innermem.New(1), rate: rate, views: map[string]*atomic.Pointer[membership.View]{}, stops: map[string]context.CancelFunc{},
		}
		f.network.SetDelay(2 * time.Millisecond)
		var ids []string
		for i := range hosts {
			ids = append(ids, fmt.Sprintf("h%03d", i))
		}
		for _, id := range ids {
			f.start(id, ids)
		}
		play(t, f)
		cancel()
		time.Sleep(3 * time.Second) // until the requests under way are answered
	})
}

// view returns the view of the hosts with the given ids.
func viewOf(ids []string) *membership.View {
	view := &membership.View{}
	for _, id := range slices.Sorted(slices.Values(ids)) {
		view.Members = append(view.Members, membership.Member{ID: id, InnerAddress: id})
	}
	return view
}

// start starts a host that knows the given hosts.
func (f *paceFleet) start(id string, knows []string) {
	view := &atomic.Pointer[membership.View]{}
	view.Store(viewOf(knows))
	server := inner.NewServer()
	f.network.Serve(id, server)
	pacer := quota.NewPacer(id, f.network.Client(id), server, view.Load)
	ctx, stop := context.WithCancel(f.ctx)
	f.views[id], f.stops[id] = view, stop
	go pacer.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			wait, ok := pacer.Permit(ctx, pacedUpstream, f.rate)
			if ok {
				f.mu.Lock()
				f.grants = append(f.grants, time.Now())
				f.mu.Unlock()
			}
			time.Sleep(max(wait, 5*time.Millisecond))
		}
	}()
}

// owner returns the first host for the upstream among the given hosts.
func owner(ids []string) string {
	return viewOf(ids).Chosen("pace/"+pacedUpstream, 1)[0].ID
}

func (f *paceFleet) ids() []string {
	var ids []string
	for id := range f.views {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// kill stops a host. The others keep it in their views.
func (f *paceFleet) kill(id string) {
	f.stops[id]()
	f.network.Serve(id, nil)
	delete(f.views, id)
}

// setViews sets the views of all hosts one after the other, as a change of the hosts spreads.
func (f *paceFleet) setViews(ids []string) {
	for _, id := range f.ids() {
		f.views[id].Store(viewOf(ids))
		time.Sleep(500 * time.Millisecond / time.Duration(len(ids)))
	}
}

// windows returns the smallest and the largest number of permits in a window of 4 s after a time.
func (f *paceFleet) windows(since time.Time) (smallest, largest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	smallest = len(f.grants)
	for from := since; from.Add(paceWindow).Before(time.Now()); from = from.Add(50 * time.Millisecond) {
		n := 0
		for _, at := range f.grants {
			if !at.Before(from) && at.Before(from.Add(paceWindow)) {
				n++
			}
		}
		smallest, largest = min(smallest, n), max(largest, n)
	}
	return smallest, largest
}

const (
	paceWindow = 4 * time.Second
	paceSettle = 3 * time.Second
)

// checkWindows checks that no window has more permits than the limit allows, and, if used is set, that each has
// at least 0.7 of what the limit allows.
func (f *paceFleet) checkWindows(t *testing.T, since time.Time, used bool) {
	t.Helper()
	bound := int(1.5*f.rate*paceWindow.Seconds()) + 5
	smallest, largest := f.windows(since)
	if largest > bound {
		t.Errorf("%d permits in %v, want at most %d", largest, paceWindow, bound)
	}
	if least := int(0.7 * f.rate * paceWindow.Seconds()); used && smallest < least {
		t.Errorf("%d permits in %v, want at least %d", smallest, paceWindow, least)
	}
}

var (
	paceFleetSizes = []int{1, 4, 30}
	pacedRates     = []float64{1, 10, 100}
)

// TestHostsTogetherKeepTheLimitOfAnUpstream guards against hosts that each keep a limit of their own: all hosts
// together use a limit and do not exceed it.
func TestHostsTogetherKeepTheLimitOfAnUpstream(t *testing.T) {
	for _, hosts := range paceFleetSizes {
		for _, rate := range pacedRates {
			playPaceFleet(t, hosts, rate, func(t *testing.T, f *paceFleet) {
				began := time.Now()
				time.Sleep(15 * time.Second)
				f.checkWindows(t, began, false)
				f.checkWindows(t, began.Add(paceSettle), true)
			})
		}
	}
}

// TestHundredsOfHostsUseALimit is TestHostsTogetherKeepTheLimitOfAnUpstream with 300 hosts.
func TestHundredsOfHostsUseALimit(t *testing.T) {
	playPaceFleet(t, 300, 10, func(t *testing.T, f *paceFleet) {
		began := time.Now()
		time.Sleep(10 * time.Second)
		f.checkWindows(t, began, false)
		f.checkWindows(t, began.Add(paceSettle), true)
	})
}

// TestLimitOfAnUpstreamWhileItsPacerIsLost kills the host that grants the permits; the others learn of it only when its
// registration ends. Then it joins again.
func TestLimitOfAnUpstreamWhileItsPacerIsLost(t *testing.T) {
	for _, hosts := range paceFleetSizes[1:] {
		for _, rate := range pacedRates {
			playPaceFleet(t, hosts, rate, func(t *testing.T, f *paceFleet) {
				began := time.Now()
				all := f.ids()
				time.Sleep(6 * time.Second)
				lost := owner(all)
				f.kill(lost)
				time.Sleep(4500 * time.Millisecond)
				f.setViews(f.ids())
				time.Sleep(4 * time.Second)
				f.start(lost, all)
				f.setViews(all)
				time.Sleep(8 * time.Second)
				f.checkWindows(t, began, false)
				f.checkWindows(t, time.Now().Add(-paceWindow-time.Second), true)
				if smallest, _ := f.windows(began.Add(paceSettle)); smallest == 0 && rate > 1 {
					t.Errorf("%d hosts, limit %v: no permit in some window of %v", hosts, rate, paceWindow)
				}
			})
		}
	}
}

// TestLimitOfAnUpstreamWhilePacersChange replaces the host that grants the permits several times in a row, with views that
// lag behind each other.
func TestLimitOfAnUpstreamWhilePacersChange(t *testing.T) {
	for _, rate := range pacedRates {
		playPaceFleet(t, 12, rate, func(t *testing.T, f *paceFleet) {
			began := time.Now()
			all := f.ids()
			time.Sleep(3 * time.Second)
			rest := slices.Clone(all)
			for range 5 {
				leaves := owner(rest)
				rest = slices.DeleteFunc(rest, func(id string) bool { return id == leaves })
				f.setViews(rest) // the host goes on, as one that drains does
			}
			f.setViews(all)
			time.Sleep(5 * time.Second)
			f.checkWindows(t, began, false)
		})
	}
}

// TestHostWithoutAPacerGetsNoPermit cuts all links: no host may use a limit that it cannot share, unless it is the one
// that grants the permits.
func TestHostWithoutAPacerGetsNoPermit(t *testing.T) {
	playPaceFleet(t, 30, 1, func(t *testing.T, f *paceFleet) {
		time.Sleep(3 * time.Second)
		ids := f.ids()
		for _, a := range ids {
			for _, b := range ids {
				if a != b {
					f.network.Cut(a, b, true)
				}
			}
		}
		cutAt := time.Now()
		time.Sleep(10 * time.Second)
		f.checkWindows(t, cutAt, false)
	})
}

// TestLimitOfAnUpstreamWhileHostsAreRestarted guards against permits that start anew with each process: the host that
// grants them, or all hosts at once, are killed and are back 200 ms later, several times in a window.
func TestLimitOfAnUpstreamWhileHostsAreRestarted(t *testing.T) {
	for _, rate := range pacedRates {
		for name, all := range map[string]bool{"pacer": false, "all": true} {
			for _, every := range []time.Duration{time.Second, 1800 * time.Millisecond, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("rate=%v/%s/%v", rate, name, every), func(t *testing.T) {
					playPaceFleet(t, 8, rate, func(t *testing.T, f *paceFleet) {
						began, ids := time.Now(), f.ids()
						killed := []string{owner(ids)}
						if all {
							killed = ids
						}
						time.Sleep(paceSettle)
						for range 8 {
							for _, id := range killed {
								f.kill(id)
							}
							time.Sleep(200 * time.Millisecond)
							for _, id := range killed {
								f.start(id, ids)
							}
							time.Sleep(every - 200*time.Millisecond)
						}
						f.checkWindows(t, began, false)
						_, largest := f.windows(began)
						t.Logf("at most %d permits in %v", largest, paceWindow)
					})
				})
			}
		}
	}
}
