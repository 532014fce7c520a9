package lease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// copies are the stored leases that a copy may show while host "a" holds the lease.
var copies = map[string]func(t *testing.T, store *kvmem.Store){
	"missing":  func(*testing.T, *kvmem.Store) {},
	"released": func(t *testing.T, store *kvmem.Store) { holdOnce(t, store, "z", true) },
	"earlier":  func(t *testing.T, store *kvmem.Store) { holdOnce(t, store, "z", false) },
}

// holdOnce lets a host hold the lease for a moment, and then end with or without a release.
func holdOnce(t *testing.T, store *kvmem.Store, host string, release bool) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	client := kv.Store(kv.NewClient(store, kv.Options{}))
	if !release {
		client = silentStore{client, ctx}
	}
	next(t, lead(ctx, client, host, clocktest.New(1)))
	stop()
	synctest.Wait()
}

// forEachCopy runs a test for each stored lease that a copy may show, with a service that compares the era of a write
// and counts from 1, and one that does not and counts from 0.
func forEachCopy(t *testing.T, test func(t *testing.T, store *kvmem.Store, older *kvmem.Copy)) {
	for name, prepare := range copies {
		for _, ignoreEras := range []bool{false, true} {
			if ignoreEras {
				name += ", service ignores eras of writes"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := kvmem.New()
					store.SetFaults(kvmem.Faults{IgnoreEras: ignoreEras})
					if !ignoreEras {
						store.Restore(store.Copy())
					}
					prepare(t, store)
					test(t, store, store.Copy())
				})
			})
		}
	}
}

// TestTermLastsThroughRestore guards against two holders at a time after the store has come back from a copy without
// the present holder's lease: a contender, also one that has started since, takes a lease that looks free. It also
// guards against a holder that loses its term although no other term has begun.
func TestTermLastsThroughRestore(t *testing.T) {
	forEachCopy(t, func(t *testing.T, store *kvmem.Store, older *kvmem.Copy) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		client := kv.NewClient(store, kv.Options{})
		holder := next(t, lead(ctx, client, "a", clocktest.New(1))).term
		contender := lead(ctx, client, "b", clocktest.New(1))
		time.Sleep(2 * testTTL)
		store.Restore(older)
		late := lead(ctx, kv.NewClient(store, kv.Options{}), "c", clocktest.New(1))
		time.Sleep(3 * testTTL)
		if !holder.Valid() {
			t.Error("the holder's term has ended, want it renewed in the new era")
		}
		select {
		case term := <-contender:
			t.Errorf("the contender has begun term %d beside the holder's term %d", term.term.Fence, holder.Fence)
		case term := <-late:
			t.Errorf("the contender that started after the restore has begun term %d beside the holder's term %d", term.term.Fence, holder.Fence)
		default:
		}
	})
}

// TestCutOffTermEndsBeforeTheNext guards against a second holder while the first one, which has lost its contact as the
// store came back from a copy without its lease, still acts on its own clock; and against a duty without a holder, or a
// fencing number that is given out twice, afterwards.
func TestCutOffTermEndsBeforeTheNext(t *testing.T) {
	forEachCopy(t, func(t *testing.T, store *kvmem.Store, older *kvmem.Copy) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cut, cutOff := context.WithCancel(ctx)
		holder := next(t, lead(ctx, silentStore{kv.NewClient(store, kv.Options{}), cut}, "a", clocktest.New(1))).term
		contender := lead(ctx, kv.NewClient(store, kv.Options{}), "b", clocktest.New(1))
		time.Sleep(2 * testTTL)
		cutOff()
		store.Restore(older)
		late := lead(ctx, kv.NewClient(store, kv.Options{}), "c", clocktest.New(1))
		var second led
		select {
		case second = <-contender:
		case second = <-late:
		case <-time.After(4 * testTTL):
			t.Fatalf("no term has begun within %v of the restore", 4*testTTL)
		}
		if holder.Valid() {
			t.Errorf("term %d has begun while the holder's term has %v left", second.term.Fence, holder.Remaining())
		}
		if second.term.Fence <= holder.Fence {
			t.Errorf("fencing numbers are %d and then %d, want the second greater", holder.Fence, second.term.Fence)
		}
	})
}

// TestFencesGrowOverRestores guards against a fencing number that a later holder sends again because the copy has no
// trace of the terms that had it, and all hosts have been restarted since.
func TestFencesGrowOverRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		older := store.Copy()
		greatest := uint64(0)
		for era := range 4 {
			for range 3 {
				ctx, stop := context.WithCancel(t.Context())
				fence := next(t, lead(ctx, kv.NewClient(store, kv.Options{}), "a", clocktest.New(1))).term.Fence
				if fence <= greatest {
					t.Errorf("fencing number %d in era %d after %d, want a greater number", fence, era, greatest)
				}
				// Fencing numbers are sent in JSON, whose numbers are exact up to 2^53.
				if fence >= 1<<53 {
					t.Errorf("fencing number %d in era %d, want less than 2^53", fence, era)
				}
				greatest = max(greatest, fence)
				stop()
				synctest.Wait()
			}
			store.Restore(older)
		}
	})
}

// TestDelayedWriteOfAnEarlierEra guards against a fencing number that is given out twice: a renewal that was under way
// as the store came back replaces the lease of a holder of the new era, because its revision has been given out again.
func TestDelayedWriteOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		store.Restore(store.Copy())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		firstCtx, stopFirst := context.WithCancel(ctx)
		first := next(t, lead(firstCtx, silentStore{kv.NewClient(store, kv.Options{}), firstCtx}, "a", clocktest.New(1))).term
		stale, err := store.Get(ctx, "lease/orders")
		if err != nil {
			t.Fatal(err)
		}
		stopFirst()
		store.Restore(store.Copy())
		secondCtx, stopSecond := context.WithCancel(ctx)
		second := next(t, lead(secondCtx, silentStore{kv.NewClient(store, kv.Options{}), secondCtx}, "b", clocktest.New(1))).term
		overwrite(t, store, stale.Key, stale.Value)
		stopSecond()
		third := next(t, lead(ctx, kv.NewClient(store, kv.Options{}), "c", clocktest.New(1))).term
		if second.Valid() {
			t.Errorf("term %d has begun while term %d has %v left", third.Fence, second.Fence, second.Remaining())
		}
		if first.Fence >= second.Fence || second.Fence >= third.Fence {
			t.Errorf("fencing numbers are %d, %d and %d, want them to grow", first.Fence, second.Fence, third.Fence)
		}
	})
}

// restoringStore restores an older copy before a write of a host.
type restoringStore struct {
	kv.Store
	restore func()
	due     *atomic.Bool
}

func (s restoringStore) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	if s.due.CompareAndSwap(true, false) {
		s.restore()
	}
	return s.Store.CompareAndSwap(ctx, w)
}

// TestWriteAppliedToTheCopy guards against two holders after the write that acquires a lease was applied to the copy
// because its revision is that of another value there: the host has not waited for the term that the copy lacks.
func TestWriteAppliedToTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		store.SetFaults(kvmem.Faults{IgnoreEras: true})
		store.Restore(store.Copy())
		holdOnce(t, store, "z", true)
		older := store.Copy()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var holder *led
		due := &atomic.Bool{}
		due.Store(true)
		acquiring := restoringStore{kv.NewClient(store, kv.Options{}), func() {
			// Between the read and the write of the contender another host acquires the lease, and the store loses that.
			cut, cutOff := context.WithCancel(ctx)
			first := next(t, lead(ctx, silentStore{kv.NewClient(store, kv.Options{}), cut}, "a", clocktest.New(1)))
			holder = &first
			cutOff()
			store.Restore(older)
		}, due}
		second := next(t, lead(ctx, acquiring, "b", clocktest.New(1))).term
		if holder == nil {
			t.Fatal("the store was not restored")
		}
		if holder.term.Valid() {
			t.Errorf("term %d has begun while term %d has %v left", second.Fence, holder.term.Fence, holder.term.Remaining())
		}
	})
}
