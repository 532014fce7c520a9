package presence

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
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
