package lease_test

import (
	"context"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// TestLeaseOfAnotherWriterIsTakenOver guards against a duty that no host does any more because another writer
// left an odd value in place of its lease: the value is waited out like the lease of an ended host, and
// fencing numbers still grow.
func TestLeaseOfAnotherWriterIsTakenOver(t *testing.T) {
	stored := func(fence uint64, ttlMS int64) []byte {
		value, err := cbor.Marshal(map[int]any{1: "x", 2: fence, 3: uuid.New(), 4: ttlMS})
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	for name, value := range map[string][]byte{
		"empty":             {},
		"no record":         []byte("\xff\xfe\x00"),
		"deeply nested":     []byte(strings.Repeat("\x81", 60000) + "\x00"),
		"text":              []byte(`{"holder":"x"}`),
		"largest number":    stored(math.MaxUint64, testTTL.Milliseconds()),
		"no number":         stored(0, testTTL.Milliseconds()),
		"lease without end": stored(1, math.MaxInt64),
		"negative lease":    stored(1, -1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvmem.New()
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				terms := lead(ctx, kv.NewClient(store, kv.Options{}), "a", clocktest.New(1))
				first := next(t, terms).term
				time.Sleep(testTTL)
				overwrite(t, store, "lease/orders", value)
				second := next(t, terms).term
				if first.Valid() {
					t.Error("the term before the odd value is still valid")
				}
				if second.Fence <= first.Fence || second.Fence == math.MaxUint64 {
					t.Errorf("fencing numbers are %d and %d, want the second greater and not the largest", first.Fence, second.Fence)
				}
			})
		})
	}
}

// overwrite replaces the value of a key, whatever its version.
func overwrite(t *testing.T, store kv.Store, key string, value []byte) {
	t.Helper()
	for {
		entry, err := store.Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		_, err = store.CompareAndSwap(t.Context(), kv.Write{Key: key, Value: value, Expect: entry.Version})
		if err == nil {
			return
		}
		if kv.ReasonOf(err) != kv.ReasonConflict { // the holder may renew its lease at the same moment
			t.Fatal(err)
		}
	}
}
