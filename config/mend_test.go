package config

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// TestMendingACorruptDocument follows docs/operating/configuration.md.
func TestMendingACorruptDocument(t *testing.T) {
	ctx := context.Background()
	store := kvmem.New()
	mustPublish(t, store, serviceChange("badges", "m1"))
	mustPublish(t, store, serviceChange("badges", "m2"))
	follower := NewFollower(store, quiet())
	if _, err := follower.read(ctx, callRead); err != nil {
		t.Fatal(err)
	}
	current, _ := store.Get(ctx, Key)
	version, err := store.CompareAndSwap(ctx, kv.Write{Key: Key, Value: []byte("{"), Expect: current.Version})
	if err != nil {
		t.Fatal(err)
	}
	_, err = publisher(store, "me").Publish(ctx, serviceChange("badges", "m3"))
	if failed := failureOf(t, err); failed.Reason != PublishCorrupt {
		t.Fatalf("got %v, want corrupt", failed)
	}

	mended, err := At(ctx, store, 1)
	if err != nil {
		t.Fatal(err)
	}
	mended.Revision = follower.State().Revision + 1
	value, err := json.Marshal(mended)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CompareAndSwap(ctx, kv.Write{Key: Key, Value: value, Expect: version}); err != nil {
		t.Fatal(err)
	}
	revision := mustPublish(t, store, serviceChange("badges", "m3"))
	if _, err := follower.read(ctx, callRead); err != nil {
		t.Fatal(err)
	}
	if got := follower.Current(); got.Revision != revision || got.Services["badges"].Model != "m3" {
		t.Fatalf("revision %d in force, want %d", got.Revision, revision)
	}
}
