package quarantine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/quarantine"
)

// startPersister starts a host that no other host reaches, with its own evidence.
func startPersister(ctx context.Context, client *kv.Client) *quarantine.Tracker {
	tracker := quarantine.NewTracker(func(quarantine.Key) bool { return false }, func(string, quarantine.Set) {})
	persister := &quarantine.Persister{Tracker: tracker, Store: client, Logger: hclog.NewNullLogger(), Alone: func() bool { return true }}
	go persister.Run(ctx)
	return tracker
}

// storedSets returns the number of sets in the store, as another part of the host that reads the store through the
// same client.
func storedSets(t *testing.T, client *kv.Client) int {
	t.Helper()
	entries, _, err := client.List(t.Context(), quarantine.Prefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// playRestore runs a test with one host and its store in a bubble of its own.
func playRestore(t *testing.T, play func(t *testing.T, store *kvmem.Store, client *kv.Client, tracker *quarantine.Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := kvmem.New()
		client := kv.NewClient(store, kv.Options{})
		play(t, store, client, startPersister(ctx, client))
		stop()
		time.Sleep(time.Second) // until the host has ended
	})
}

// restoreTime is the time after which the store must agree with the hosts again.
const restoreTime = 2 * time.Second

func quarantinePoison(tracker *quarantine.Tracker) {
	for upstream := range uint64(3) {
		tracker.Add(quarantine.Crash{Upstream: upstream, At: time.Now(), Begun: true, Keys: []quarantine.Key{poison}})
		time.Sleep(2 * time.Second)
	}
}

// TestSetIsStoredAgainAfterRestore guards against requests that crash upstreams again after all hosts have been restarted,
// because the store came back from a copy without the quarantined set and nobody wrote it again.
func TestSetIsStoredAgainAfterRestore(t *testing.T) {
	playRestore(t, func(t *testing.T, store *kvmem.Store, client *kv.Client, tracker *quarantine.Tracker) {
		older := store.Copy()
		quarantinePoison(tracker)
		if stored := storedSets(t, client); stored != 1 {
			t.Fatalf("%d sets are stored before the restore, want 1", stored)
		}
		store.Restore(older)
		storedSets(t, client)
		time.Sleep(restoreTime)
		if stored := storedSets(t, client); stored != 1 {
			t.Errorf("%d sets are stored %v after the restore, want 1", stored, restoreTime)
		}
	})
}

// TestLiftedSetDoesNotReturnWithRestore guards against sound requests that are refused for minutes by hosts that start
// after the store came back from a copy with a set that was lifted meanwhile.
func TestLiftedSetDoesNotReturnWithRestore(t *testing.T) {
	playRestore(t, func(t *testing.T, store *kvmem.Store, client *kv.Client, tracker *quarantine.Tracker) {
		quarantinePoison(tracker)
		older := store.Copy()
		tracker.Answered([]quarantine.Key{poison}, time.Now())
		time.Sleep(restoreTime)
		if stored := storedSets(t, client); stored != 0 {
			t.Fatalf("%d sets are stored before the restore, want 0", stored)
		}
		store.Restore(older)
		storedSets(t, client)
		time.Sleep(restoreTime)
		if stored := storedSets(t, client); stored != 0 {
			t.Errorf("%d sets are stored %v after the restore, want 0", stored, restoreTime)
		}
	})
}
