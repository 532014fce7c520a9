package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// TestVersionsOverEras guards against an entry of an older copy that counts as newer than what the service had before.
func TestVersionsOverEras(t *testing.T) {
	old, restored := kv.VersionOf(1, 900), kv.VersionOf(2, 7)
	if old >= restored || restored.Era() != 2 || restored.Revision() != 7 || kv.VersionOf(0, 7) != 7 {
		t.Errorf("version %d of era 2 is not above %d of era 1", restored, old)
	}
	if id := kv.LeaseIDOf(3, 9); !id.IsOf(3) || id.IsOf(2) || id.Number() != 9 || id == kv.LeaseIDOf(2, 9) || kv.LeaseIDOf(3, 0) != 0 {
		t.Errorf("lease 9 of era 3 is %d", id)
	}
}

// restoringStore is restored from a copy between a write that took effect, whose response is lost, and its read-back.
type restoringStore struct {
	*kvmem.Store
	copied *kvmem.Copy
}

func (s *restoringStore) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	version, err := s.Store.CompareAndSwap(ctx, w)
	if s.copied == nil || err != nil {
		return version, err
	}
	s.Restore(s.copied)
	s.copied = nil
	return 0, &kv.Error{Reason: kv.ReasonUnknown}
}

// TestLostResponseOverEras guards against a write whose response was lost and that is taken for applied or for
// refused, although the service came back from an older copy meanwhile and the condition of the write has lost its
// meaning.
func TestLostResponseOverEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		matchOther := func(kv.Entry) kv.Match { return kv.MatchOther }
		for name, match := range map[string]kv.MatchFunc{"own value": nil, "value of another writer": matchOther} {
			store := &restoringStore{Store: kvmem.New()}
			first, err := store.CompareAndSwap(t.Context(), kv.Write{Key: "k", Value: []byte("a")})
			if err != nil {
				t.Fatal(err)
			}
			store.copied = store.Copy()
			if match == nil { // the value in the copy equals the one that is written
				store.copied = copyWith(t, "k", "b")
			}
			result := kv.Swap(t.Context(), store, kv.Write{Key: "k", Value: []byte("b"), Expect: first}, match)
			if result.Outcome != kv.OutcomeUnknown {
				t.Errorf("%s: the outcome is %q, want unknown", name, result.Outcome)
			}
			if _, err := store.CompareAndSwap(t.Context(), kv.Write{Key: "k", Value: []byte("c"), Expect: first}); kv.ReasonOf(err) != kv.ReasonConflict {
				t.Errorf("%s: a write that expects a version of the era before returned %v, want a conflict", name, err)
			}
		}
	})
}

// copyWith returns the copy of a store with one key.
func copyWith(t *testing.T, key, value string) *kvmem.Copy {
	t.Helper()
	store := kvmem.New()
	if _, err := store.CompareAndSwap(t.Context(), kv.Write{Key: key, Value: []byte(value)}); err != nil {
		t.Fatal(err)
	}
	return store.Copy()
}

// TestAppliedInAnotherEra guards against a write that is read back and taken for a success, although the service
// applied it in a newer era than that of its condition.
func TestAppliedInAnotherEra(t *testing.T) {
	store := appliedInAnotherEra{kvmem.New()}
	w := kv.Write{Key: "k", Value: []byte("a")}
	if result := kv.Swap(t.Context(), store, w, nil); result.Outcome != kv.OutcomeUnknown {
		t.Errorf("Swap: the outcome is %q, want unknown", result.Outcome)
	}
	client := kv.NewClient(appliedInAnotherEra{kvmem.New()}, kv.Options{})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := client.CompareAndSwap(ctx, w); kv.ReasonOf(err) != kv.ReasonUnknown {
		t.Errorf("Client: a write that was applied in another era returned %v, want an unknown outcome", err)
	}
}

// appliedInAnotherEra is a store that reports for each write that it was applied in a newer era.
type appliedInAnotherEra struct{ *kvmem.Store }

func (s appliedInAnotherEra) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	if _, err := s.Store.CompareAndSwap(ctx, w); err != nil {
		return 0, err
	}
	return 0, &kv.Error{Reason: kv.ReasonUnknown, Cause: &kv.EraError{Present: 1}}
}
