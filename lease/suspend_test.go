package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/lease"
)

const (
	// suspension is longer than a lease, so that another host may have taken the lease over.
	suspension = 2 * testTTL
	// wakeBound is the time after a suspension in which the holder must have stopped all that it does
	// for its term.
	wakeBound = 300 * time.Millisecond
)

// TestSuspendedHolderDoesNotAct guards against a holder that acts after another host has taken its lease
// over: while a host is suspended its monotonic clock and its timers stand still.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clocktest.New(1)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		terms := lead(ctx, kv.NewClient(kvmem.New(), kv.Options{}), "a", clock)
		first := next(t, terms)
		time.Sleep(3 * testTTL) // so that the term has been renewed
		if !first.term.Valid() {
			t.Fatal("the term has ended before the suspension, want it renewed")
		}
		clock.Suspend(suspension)
		if first.term.Valid() {
			t.Errorf("the term is valid %v after its last renewal, want it expired after less than %v", first.term.Age(), testTTL)
		}
		time.Sleep(wakeBound)
		if first.ctx.Err() == nil {
			t.Errorf("the context of the expired term lasts %v after the suspension, want it cancelled", wakeBound)
		}
		second := next(t, terms)
		if second.term.Fence <= first.term.Fence {
			t.Errorf("the next term has fencing number %d, want more than %d", second.term.Fence, first.term.Fence)
		}
	})
}

// TestContenderCountsItsSuspension guards against a duty that stays without a holder because a contender
// waits out the lease of an ended host once more after its own suspension.
func TestContenderCountsItsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewClient(kvmem.New(), kv.Options{})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		firstCtx, stopFirst := context.WithCancel(ctx)
		first := next(t, lead(firstCtx, silentStore{store, firstCtx}, "a", clocktest.New(1))).term
		contender := clocktest.New(1)
		taken := lead(ctx, store, "b", contender)
		time.Sleep(2 * testTTL) // so that the contender has read the lease
		stopFirst()             // without a release
		time.Sleep(testTTL / 2)
		contender.Suspend(suspension)
		ended := time.Now()
		second := next(t, taken).term
		// A contender reads the lease at least once in half of a lease.
		if waited := time.Since(ended); waited > testTTL/2 || second.Fence != first.Fence+1 {
			t.Errorf("the contender took the lease %v after its suspension with fencing number %d, want at most %v and %d",
				waited, second.Fence, testTTL/2, first.Fence+1)
		}
	})
}

// led is a term of a holder, with its context.
type led struct {
	ctx  context.Context
	term *lease.Term
}

// lead runs a holder until ctx ends and returns its terms, each of which lasts until it is ended.
func lead(ctx context.Context, store kv.Store, host string, clock *clocktest.Clock) <-chan led {
	holder := lease.New(store, "orders", host, hclog.NewNullLogger(), lease.Options{TTL: testTTL, Elapsed: clock.Elapsed})
	terms := make(chan led, 8)
	go holder.Run(ctx, func(ctx context.Context, term *lease.Term) {
		terms <- led{ctx, term}
		<-ctx.Done()
	})
	return terms
}

// next returns the next term, which must begin within some leases.
func next(t *testing.T, terms <-chan led) led {
	t.Helper()
	select {
	case term := <-terms:
		return term
	case <-time.After(10 * testTTL):
		t.Fatalf("no term has begun within %v", 10*testTTL)
		panic("unreachable")
	}
}

// silentStore drops all writes after its context has ended, as if its host had lost power.
type silentStore struct {
	kv.Store
	ctx context.Context
}

func (s silentStore) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	if s.ctx.Err() != nil {
		return 0, &kv.Error{Op: "swap", Key: w.Key, Reason: kv.ReasonUnavailable, Cause: s.ctx.Err()}
	}
	return s.Store.CompareAndSwap(ctx, w)
}
