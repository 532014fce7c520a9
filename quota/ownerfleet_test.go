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

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/quota"
)

const (
	limitedAccount = "account"
	limitWindow    = 8 * time.Second
	limitExcess    = 0.1 // tolerated share above rate and burst
	floodCost      = 10_000
	floodPause     = 20 * time.Millisecond // between two attempts of one host that are refused or admitted
	ownerFleetSize = 8
)

var floodedLimit = admission.AccountLimit{Rate: 348_000, Burst: 348_000, Slack: 190_000}

// admittedCost is the cost that a host admitted at a time.
type admittedCost struct {
	at   time.Time
	cost float64
}

// ownerFleet is a set of hosts that each try to admit more than the whole limit of one client account, once the flood
// has begun.
type ownerFleet struct {
	ctx     context.Context
	network *innermem.Network
	views   map[string]*atomic.Pointer[membership.View] // by host
	stops   map[string]context.CancelFunc

	flood    atomic.Bool
	mu       sync.Mutex
	admitted []admittedCost
}

// playOwnerFleet runs a test in a bubble of its own with a fleet whose hosts have been in service for long enough to
// admit the whole limit with its burst, begins the flood, and stops the fleet.
func playOwnerFleet(t *testing.T, play func(*testing.T, *ownerFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &ownerFleet{
			ctx: ctx, network: innermem.New(1), views: map[string]*atomic.Pointer[membership.View]{}, stops: map[string]context.CancelFunc{},
		}
		f.network.SetDelay(2 * time.Millisecond)
		var ids []string
		for i := range ownerFleetSize {
			ids = append(ids, fmt.Sprintf("h%d", i))
		}
		for _, id := range ids {
			f.start(id, ids)
		}
		time.Sleep(2 * limitWindow)
		f.flood.Store(true)
		play(t, f)
		cancel()
		time.Sleep(3 * time.Second) // until the requests under way are answered
	})
}

// start starts a host that knows the given hosts and counts as registered at once.
func (f *ownerFleet) start(id string, knows []string) {
	view := &atomic.Pointer[membership.View]{}
	view.Store(viewOf(knows))
	server := inner.NewServer()
	f.network.Serve(id, server)
	owners := quota.NewOwners(id, f.network.Client(id), server, view.Load, func() int { return len(view.Load().Members) }, func() bool { return true })
	owners.SetAccounts(func() []string { return []string{limitedAccount} })
	ctx, stop := context.WithCancel(f.ctx)
	f.views[id], f.stops[id] = view, stop
	go owners.Run(ctx)
	go func() {
		for ; ctx.Err() == nil; time.Sleep(floodPause) {
			if !f.flood.Load() {
				continue
			}
			if _, _, ok := owners.Take(ctx, limitedAccount, floodedLimit, floodCost); ok {
				f.mu.Lock()
				f.admitted = append(f.admitted, admittedCost{time.Now(), floodCost})
				f.mu.Unlock()
			}
		}
	}()
}

// kill stops a host. The others keep it in their views.
func (f *ownerFleet) kill(id string) {
	f.stops[id]()
	f.network.Serve(id, nil)
}

func (f *ownerFleet) ids() []string {
	var ids []string
	for id := range f.views {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ownerOf returns the owner of the account among the given hosts.
func ownerOf(ids []string) string {
	return viewOf(ids).Chosen("quota/"+limitedAccount, 1)[0].ID
}

// largestWindow returns the largest cost that was admitted in a window.
func (f *ownerFleet) largestWindow() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	largest, sum, from := 0.0, 0.0, 0
	for _, a := range f.admitted {
		sum += a.cost
		for ; !a.at.Before(f.admitted[from].at.Add(limitWindow)); from++ {
			sum -= f.admitted[from].cost
		}
		largest = max(largest, sum)
	}
	return largest
}

// check checks that no window of the play has more than the rule on limits allows.
func (f *ownerFleet) check(t *testing.T) {
	t.Helper()
	allowed := (floodedLimit.Rate*limitWindow.Seconds()+floodedLimit.Burst)*(1+limitExcess) + floodedLimit.Slack
	largest := f.largestWindow()
	t.Logf("at most %.0f admitted in %v, allowed %.0f", largest, limitWindow, allowed)
	if largest > allowed {
		t.Errorf("%.0f admitted in %v by all hosts, at most %.0f allowed", largest, limitWindow, allowed)
	}
}

// TestLimitWhileItsOwnerIsRestartedAgainAndAgain guards against limits that start anew with each process: the owner of
// an account is killed and is back 200 ms later, several times in a window.
func TestLimitWhileItsOwnerIsRestartedAgainAndAgain(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 1800 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(every.String(), func(t *testing.T) {
			playOwnerFleet(t, func(t *testing.T, f *ownerFleet) {
				all := f.ids()
				for range 10 {
					f.kill(ownerOf(all))
					time.Sleep(200 * time.Millisecond)
					f.start(ownerOf(all), all)
					time.Sleep(every - 200*time.Millisecond)
				}
				f.check(t)
			})
		})
	}
}

// TestLimitWhileOwnersLeaveInTurn guards against limits that start anew with each owner: one owner after the other
// leaves, and the views of the hosts change one after the other.
func TestLimitWhileOwnersLeaveInTurn(t *testing.T) {
	playOwnerFleet(t, func(t *testing.T, f *ownerFleet) {
		rest := f.ids()
		for range ownerFleetSize - 2 {
			leaves := ownerOf(rest)
			rest = slices.DeleteFunc(rest, func(id string) bool { return id == leaves })
			for _, id := range f.ids() { // a host that leaves goes on until it is killed
				f.views[id].Store(viewOf(rest))
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
			f.kill(leaves)
		}
		time.Sleep(limitWindow)
		f.check(t)
	})
}

// TestLimitWhileAllHostsAreRestarted guards against limits that start anew with each process: all hosts are killed at
// once and are back 200 ms later, several times in a window.
func TestLimitWhileAllHostsAreRestarted(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 2500 * time.Millisecond} {
		t.Run(every.String(), func(t *testing.T) {
			playOwnerFleet(t, func(t *testing.T, f *ownerFleet) {
				all := f.ids()
				for range 10 {
					for _, id := range all {
						f.kill(id)
					}
					time.Sleep(200 * time.Millisecond)
					for _, id := range all {
						f.start(id, all)
					}
					time.Sleep(every - 200*time.Millisecond)
				}
				f.check(t)
			})
		})
	}
}

// TestLimitWhileItsOwnerIsCutOffBriefly guards against shares that accrue while they are not used: the links of the owner
// fail for 200 ms, several times in a window.
func TestLimitWhileItsOwnerIsCutOffBriefly(t *testing.T) {
	playOwnerFleet(t, func(t *testing.T, f *ownerFleet) {
		for range 10 {
			f.cutFirst(1, true)
			time.Sleep(200 * time.Millisecond)
			f.cutFirst(1, false)
			time.Sleep(1800 * time.Millisecond)
		}
		f.check(t)
	})
}

// TestLimitWhileItsOwnerIsCutOff guards against shares that add up to more than the limit: the owner, or the owner with
// its deputy, is cut off from the other hosts, but stays registered and admits requests of its own callers.
func TestLimitWhileItsOwnerIsCutOff(t *testing.T) {
	for _, apart := range []int{1, 2} {
		t.Run(fmt.Sprintf("hosts=%d", apart), func(t *testing.T) {
			playOwnerFleet(t, func(t *testing.T, f *ownerFleet) {
				time.Sleep(time.Second)
				f.cutFirst(apart, true)
				time.Sleep(2 * limitWindow)
				f.check(t)
			})
		})
	}
}

// TestLimitOfHostsThatDoNotKnowEachOther guards against hosts that each admit a whole limit or a large share of it before
// they know the others: no host knows any for a second after its start.
func TestLimitOfHostsThatDoNotKnowEachOther(t *testing.T) {
	playOwnerFleet(t, func(t *testing.T, f *ownerFleet) {
		all := f.ids()
		for _, id := range all {
			f.kill(id)
		}
		for _, id := range all {
			f.start(id, nil)
		}
		time.Sleep(time.Second)
		for _, id := range all {
			f.views[id].Store(viewOf(all))
		}
		time.Sleep(limitWindow)
		f.check(t)
	})
}

// cutFirst cuts the links between the first hosts in the order of the account's owners and all others, or restores them.
func (f *ownerFleet) cutFirst(count int, cut bool) {
	ranked := viewOf(f.ids()).Chosen("quota/"+limitedAccount, ownerFleetSize)
	for _, a := range ranked[:count] {
		for _, b := range ranked[count:] {
			f.network.Cut(a.ID, b.ID, cut)
		}
	}
}

// TestBurstOfAnIdleAccount guards against an account that was idle and gets a part of its burst only, because its owner does
// not hold the deputy's part before the first request.
func TestBurstOfAnIdleAccount(t *testing.T) {
	playOwnerFleet(t, func(t *testing.T, f *ownerFleet) {
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		sum := 0.0
		for _, a := range f.admitted {
			sum += a.cost
		}
		if want := 0.9 * floodedLimit.Burst; sum < want {
			t.Errorf("%.0f admitted at once after an idle time, want %.0f or more", sum, want)
		}
	})
}
