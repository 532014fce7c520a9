package loadshare

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/membership"
)

// fleet is a number of hosts that share their loads, each with one request at
// each of some upstreams.
type fleet struct {
	view   *membership.View
	others []atomic.Pointer[[]Load]
}

const fleetUpstreams = 40

func newFleet(ctx context.Context, n int) *fleet {
	f := &fleet{view: &membership.View{}, others: make([]atomic.Pointer[[]Load], n)}
	network := innermem.New(1)
	network.SetDelay(2 * time.Millisecond)
	for i := range n {
		id := fmt.Sprintf("front-%03d", i)
		f.view.Members = append(f.view.Members, membership.Member{ID: id, InnerAddress: id})
	}
	var own []Load
	for u := range fleetUpstreams {
		own = append(own, Load{Upstream: Key(fmt.Sprintf("u-%d", u)), InFlight: 1})
	}
	for i, m := range f.view.Members {
		server := inner.NewServer()
		network.Serve(m.InnerAddress, server)
		s := New(m.ID, network.Client(m.InnerAddress), server, func() *membership.View { return f.view },
			func() []Load { return own }, func(others []Load) { f.others[i].Store(&others) })
		go s.Run(ctx)
	}
	return f
}

// worst returns the largest part of the other hosts' load that a host does not
// see now.
func (f *fleet) worst() float64 {
	want := float64(fleetUpstreams * (len(f.others) - 1))
	worst := 0.0
	for i := range f.others {
		sum := 0.0
		if others := f.others[i].Load(); others != nil {
			for _, l := range *others {
				sum += float64(l.InFlight)
			}
		}
		worst = max(worst, (want-sum)/want)
	}
	return worst
}

// Hundreds of hosts under a steady load: what each sees of the others' load is
// whole at all times. With one center and 4 ms a host between digests, those of
// 295 hosts were forgotten before they came again.
func TestSumsOfLargeFleetsAreWhole(t *testing.T) {
	for _, n := range []int{9, 66, 295} {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, n)
				time.Sleep(2 * time.Second)
				for range 40 {
					time.Sleep(50 * time.Millisecond)
					if missing := f.worst(); missing > 0.01 {
						t.Fatalf("a host misses %.2f of the others' load", missing)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
