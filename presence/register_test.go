package presence

import (
	"context"
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

// countedStore counts the Get and CompareAndSwap calls to a store.
type countedStore struct {
	kv.Store
	calls map[string]int
}

func (s *countedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.calls["get"]++
	return s.Store.Get(ctx, key)
}

func (s *countedStore) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	s.calls["swap"]++
	return s.Store.CompareAndSwap(ctx, w)
}

// TestRegistrationCallsAtStart checks that a starting host registers with one write, as
// hundreds of hosts may start at once. A host replaces the record of its previous
// process, whether or not the replica already lists that record.
func TestRegistrationCallsAtStart(t *testing.T) {
	for name, c := range map[string]struct {
		oldRecord, listed bool
		gets, swaps       int
	}{
		"first start":               {false, false, 0, 1},
		"old record listed":         {true, true, 0, 1},
		"old record not yet listed": {true, false, 1, 2},
		"empty list":                {false, true, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countedStore{Store: kvmem.New(), calls: map[string]int{}}
				self := membership.Member{ID: "a"}
				var entries map[string]kv.Entry
				if c.oldRecord {
					version, err := store.Store.CompareAndSwap(t.Context(), kv.Write{Key: Prefix + "a", Value: []byte(`{"id":"a"}`)})
					if err != nil {
						t.Fatal(err)
					}
					entries = map[string]kv.Entry{Prefix + "a": {Key: Prefix + "a", Value: []byte(`{"id":"a"}`), Version: version}}
				}
				p := New(store, self, replica.New(store, Prefix, time.Second, nil, hclog.NewNullLogger()), clocktest.New(1).Elapsed, hclog.NewNullLogger())
				if c.listed {
					p.update(&replica.View{Entries: entries})
				}
				if lease, version := p.register(t.Context(), 0, 0, false); lease == 0 || version == 0 {
					t.Errorf("registration failed: lease %d, version %d", lease, version)
				}
				if store.calls["get"] != c.gets || store.calls["swap"] != c.swaps {
					t.Errorf("calls %v, want %d gets and %d swaps", store.calls, c.gets, c.swaps)
				}
			})
		})
	}
}
