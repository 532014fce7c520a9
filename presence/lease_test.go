package presence

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/replica"
)

// TestLeaseOfSuspendedHost guards against two hosts that decide about one limit: a host must not rely on
// its registration after a time in which the other hosts may have seen it expire, by a clock that counts
// suspensions and that a step of the wall clock does not set back.
func TestLeaseOfSuspendedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, clock := kvmem.New(), clocktest.New(1)
		p := New(store, membership.Member{ID: "a"}, replica.New(store, Prefix, time.Second, nil, hclog.NewNullLogger()),
			clock.Elapsed, hclog.NewNullLogger())
		if p.LeaseValid() {
			t.Error("the lease is valid before the host has registered")
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.Run(ctx)
		}()
		time.Sleep(10 * leaseTTL)
		if !p.LeaseValid() {
			t.Error("the lease of a registered host is not valid")
		}
		clock.Suspend(leaseTTL)
		if p.LeaseValid() {
			t.Errorf("the lease is valid after a suspension of %v, the time for which it lasts", leaseTTL)
		}
		time.Sleep(2 * renewInterval)
		if !p.LeaseValid() {
			t.Errorf("the lease is not valid %v after a suspension, want it renewed", 2*renewInterval)
		}
		stop()
		<-done
	})
}

// TestShareOfHostThatIsCutOff guards against hosts that together use more than a limit: the share of a host that can no
// longer renew its registration is used by the others as well, and a host that has not registered would share with none.
func TestShareOfHostThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const others = 6
		store, clock := kvmem.New(), clocktest.New(1)
		hosts := replica.New(store, Prefix, time.Second, nil, hclog.NewNullLogger())
		p := New(store, membership.Member{ID: "a", Address: "127.0.0.1:1", InnerAddress: "127.0.0.1:2"}, hosts, clock.Elapsed, hclog.NewNullLogger())
		if got := p.Sharers(); got != 0 {
			t.Errorf("a host that has not registered shares a limit among %d hosts, want no share", got)
		}
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { hosts.Run(ctx) })
		running.Go(func() { p.Run(ctx) })
		for i := range others {
			m := membership.Member{ID: "b" + strconv.Itoa(i), Address: "127.0.0.1:1", InnerAddress: "127.0.0.1:2"}
			value, err := json.Marshal(m)
			if err == nil {
				_, err = store.CompareAndSwap(ctx, kv.Write{Key: Prefix + m.ID, Value: value})
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * renewInterval)
		if got := p.Sharers(); got != others+1 {
			t.Errorf("a limit is shared among %d hosts, want %d", got, others+1)
		}
		store.SetFaults(kvmem.Faults{Outage: true})
		time.Sleep(leaseTTL)
		if got := p.Sharers(); got != others+1 {
			t.Errorf("in an outage of the store, a limit is shared among %d hosts, want %d", got, others+1)
		}
		time.Sleep(recentWindow) // the others have seen the registration expire a whole window ago
		if got := p.Sharers(); got != 0 {
			t.Errorf("a host that the others do not count any more shares a limit among %d hosts, want no share", got)
		}
		store.SetFaults(kvmem.Faults{})
		time.Sleep(2 * leaseTTL)
		if got := p.Sharers(); got != others+1 {
			t.Errorf("after the outage, a limit is shared among %d hosts, want %d", got, others+1)
		}
		stop()
		running.Wait()
	})
}

// unlistedStore is a store whose lists fail.
type unlistedStore struct{ kv.Store }

func (unlistedStore) List(context.Context, string) ([]kv.Entry, kv.Version, error) {
	return nil, 0, &kv.Error{Op: "list", Reason: kv.ReasonUnavailable}
}

// TestShareOfHostThatKnowsNoOther guards against a registered host that takes a whole limit for itself because it has not
// read the records of the other hosts.
func TestShareOfHostThatKnowsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := unlistedStore{kvmem.New()}
		hosts := replica.New(store, Prefix, time.Second, nil, hclog.NewNullLogger())
		p := New(store, membership.Member{ID: "a"}, hosts, clocktest.New(1).Elapsed, hclog.NewNullLogger())
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { hosts.Run(ctx) })
		running.Go(func() { p.Run(ctx) })
		time.Sleep(2 * renewInterval)
		if got := p.Sharers(); got != 0 || !p.LeaseValid() {
			t.Errorf("registered %v, shares a limit among %d hosts, want registered and no share", p.LeaseValid(), got)
		}
		stop()
		running.Wait()
	})
}
