package presence

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/replica"
)

// TestRegistrationAfterARestore guards against a host whose record the key-value service lost by coming back from an
// older copy, and that writes it again only when its next renewal is due: until then, hosts that start do not list
// it.
func TestRegistrationAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const watchTimeout = 800 * time.Millisecond
		store := kvmem.New()
		older := store.Copy()
		hosts := replica.New(store, Prefix, watchTimeout, nil, hclog.NewNullLogger())
		self := membership.Member{ID: "a", Address: "10.0.0.1:80", InnerAddress: "10.0.0.1:81"}
		p := New(store, self, hosts, clocktest.New(1).Elapsed, hclog.NewNullLogger())
		ctx, stop := context.WithCancel(t.Context())
		for _, run := range []func(context.Context){hosts.Run, p.Run} {
			go run(ctx)
		}
		time.Sleep(3*renewInterval + renewInterval/10)
		store.Restore(older)
		time.Sleep(renewInterval / 2)
		if _, err := store.Get(t.Context(), Prefix+"a"); err != nil {
			t.Errorf("%v after the restore, the host's record is missing: %v", renewInterval/2, err)
		}
		if !p.LeaseValid() || len(p.View().Members) != 1 {
			t.Errorf("the host does not list itself, or its lease is not valid: %v", p.View().Members)
		}
		stop()
		time.Sleep(time.Minute)
	})
}

// TestRegistrationsAfterARestoreAreSpread guards against registrations of a large fleet that exceed the writes per second of
// the key-value service, because all hosts learn of its return at the same moment.
func TestRegistrationsAfterARestoreAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, watchTimeout, step = 300, 800 * time.Millisecond, 100 * time.Millisecond
		store := kvmem.New()
		older := store.Copy()
		ctx, stop := context.WithCancel(t.Context())
		for i := range fleet {
			hosts := replica.New(store, Prefix, watchTimeout, nil, hclog.NewNullLogger())
			self := membership.Member{ID: strconv.Itoa(i), Address: "10.0.0.1:80", InnerAddress: "10.0.0.1:81"}
			p := New(store, self, hosts, clocktest.New(1).Elapsed, hclog.NewNullLogger())
			for _, run := range []func(context.Context){hosts.Run, p.Run} {
				go run(ctx)
			}
		}
		time.Sleep(3*renewInterval + renewInterval/10)
		store.Restore(older)
		granted, most := store.Calls()["grant"], uint64(0)
		for range reregistrationGrace / step {
			time.Sleep(step)
			most, granted = max(most, store.Calls()["grant"]-granted), store.Calls()["grant"]
		}
		if bound := 5 * uint64(step/registrationGap) / 2; most > bound {
			t.Errorf("up to %d of %d hosts register within %v, bound %d", most, fleet, step, bound)
		}
		if entries, _, err := store.List(t.Context(), Prefix); err != nil || len(entries) != fleet {
			t.Errorf("%d of %d hosts are registered %v after the restore, error %v", len(entries), fleet, reregistrationGrace, err)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
