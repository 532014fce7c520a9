package kv_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

func TestLostAnswerIsResolvedAsWon(t *testing.T) {
	store := kvmem.New()
	client := kv.NewClient(store, kv.Options{})
	store.SetFaults(kvmem.Faults{LoseNext: 1})
	version, err := client.CompareAndSwap(t.Context(), kv.Write{Key: "a", Value: []byte("mine")})
	if err != nil {
		t.Fatalf("a write that took effect failed: %v", err)
	}
	entry, err := store.Get(t.Context(), "a")
	if err != nil || entry.Version != version {
		t.Fatalf("version %d, stored %+v, %v", version, entry, err)
	}
	if swaps := store.Calls()["swap"]; swaps != 1 {
		t.Fatalf("%d swaps, want the one that took effect", swaps)
	}
}

func TestLateWriteCannotLandAfterReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		store.SetFaults(kvmem.Faults{DelayNext: 1, DelayBy: time.Minute})
		late := kv.Write{Key: "a", Value: []byte("mine")}
		result := kv.Swap(t.Context(), store, late, nil)
		if result.Outcome != kv.OutcomeWon {
			t.Fatalf("outcome %s", result.Outcome)
		}
		next := kv.Write{Key: "a", Value: []byte("next"), Expect: result.Version}
		if _, err := store.CompareAndSwap(t.Context(), next); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		entry, err := store.Get(t.Context(), "a")
		if err != nil || string(entry.Value) != "next" {
			t.Fatalf("the late write landed: %q, %v", entry.Value, err)
		}
	})
}

func TestUnknownStaysUnknownInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		store.SetFaults(kvmem.Faults{DelayNext: 1, DelayBy: time.Minute})
		w := kv.Write{Key: "a", Value: []byte("mine")}
		if _, err := store.CompareAndSwap(t.Context(), w); kv.ReasonOf(err) != kv.ReasonUnknown {
			t.Fatal(err)
		}
		store.SetFaults(kvmem.Faults{Outage: true})
		if result := kv.Resolve(t.Context(), store, w, nil); result.Outcome != kv.OutcomeUnknown {
			t.Fatalf("outcome %s without a read-back", result.Outcome)
		}
	})
}

func TestReadsDoNotStarveSafetyWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		client := kv.NewClient(store, kv.Options{CallsPerSecond: 50, Burst: 20})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		var readers sync.WaitGroup
		for range 200 {
			readers.Go(func() {
				for ctx.Err() == nil {
					_, _ = client.Get(ctx, "x")
				}
			})
		}
		safety := kv.WithPurpose(t.Context(), kv.PurposeOrder)
		for n := range 40 {
			time.Sleep(100 * time.Millisecond)
			started := time.Now()
			if _, err := client.CompareAndSwap(safety, kv.Write{Key: fmt.Sprint(n), Value: []byte("v")}); err != nil {
				t.Fatalf("write %d: %v", n, err)
			}
			if waited := time.Since(started); waited > 0 {
				t.Fatalf("write %d waited %s behind reads", n, waited)
			}
		}
		cancel()
		readers.Wait()
	})
}

func TestOutageIsRefusedFastAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		client := kv.NewClient(store, kv.Options{FailureThreshold: 3, ProbeInterval: time.Second})
		store.SetFaults(kvmem.Faults{Outage: true})
		for range 100 {
			_, err := client.CompareAndSwap(t.Context(), kv.Write{Key: "a", Value: []byte("v")})
			if kv.ReasonOf(err) != kv.ReasonUnavailable {
				t.Fatalf("reason %s", kv.ReasonOf(err))
			}
		}
		if calls := store.Calls()["swap"]; calls != 3 {
			t.Fatalf("%d calls reached a dead service, want 3", calls)
		}
		store.SetFaults(kvmem.Faults{})
		time.Sleep(time.Second)
		if _, err := client.CompareAndSwap(t.Context(), kv.Write{Key: "a", Value: []byte("v")}); err != nil {
			t.Fatalf("after the outage: %v", err)
		}
	})
}

func TestOnlyReadsAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		client := kv.NewClient(store, kv.Options{})
		store.SetFaults(kvmem.Faults{Outage: true})
		_ = client.Delete(t.Context(), "a", 1)
		_, _ = client.Get(t.Context(), "a")
		calls := store.Calls()
		if calls["delete"] != 1 || calls["get"] < 2 {
			t.Fatalf("calls %v", calls)
		}
	})
}

// TestOneWriterWins drives writers of one key through random faults. Each
// version has one writer, each write that was said to be won is in the
// history, and none that was said to be lost is.
func TestOneWriterWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := kvmem.Faults{
			LoseAnswers: rapid.Float64Range(0, 0.5).Draw(t, "lose"), DelayWrites: rapid.Float64Range(0, 0.3).Draw(t, "delay"),
			StaleReads: rapid.Float64Range(0, 0.3).Draw(t, "stale"), Seed: rapid.Uint64().Draw(t, "seed"),
			DelayBy: time.Duration(rapid.IntRange(0, 5).Draw(t, "by")) * time.Millisecond,
		}
		history := map[string]bool{}
		outcomes := raceWriters(faults, history)
		for value, outcome := range outcomes {
			if outcome == kv.OutcomeWon && !history[value] {
				t.Fatalf("%s was said to be won and is not in the history", value)
			}
			if outcome == kv.OutcomeLost && history[value] {
				t.Fatalf("%s was said to be lost and is in the history", value)
			}
		}
	})
}

// raceWriters runs writers over one key, and fills history with the values
// that the key had.
func raceWriters(faults kvmem.Faults, history map[string]bool) map[string]kv.Outcome {
	store := kvmem.New()
	ctx := context.Background()
	store.SetFaults(faults)
	var mu sync.Mutex
	var nonce atomic.Int64
	outcomes := map[string]kv.Outcome{}
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 5 {
				entry, _ := store.Get(ctx, "k")
				value := fmt.Sprintf("v%d", nonce.Add(1))
				result := kv.Swap(ctx, store, kv.Write{Key: "k", Value: []byte(value), Expect: entry.Version}, nil)
				mu.Lock()
				outcomes[value] = result.Outcome
				mu.Unlock()
			}
		})
	}
	writers.Wait()
	time.Sleep(faults.DelayBy + 5*time.Millisecond)
	for _, event := range store.History() {
		history[string(event.Value)] = true
	}
	return outcomes
}
