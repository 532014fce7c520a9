package config

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// racingStore runs another publish just before the first write of the configuration.
type racingStore struct {
	kv.Store
	once  sync.Once
	other func()
}

func (s *racingStore) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	if w.Key == Key {
		s.once.Do(s.other)
	}
	return s.Store.CompareAndSwap(ctx, w)
}

func racing(t *testing.T, store kv.Store, other Change) kv.Store {
	t.Helper()
	return &racingStore{Store: store, other: func() { mustPublish(t, store, other) }}
}

func failureOf(t *testing.T, err error) *PublishError {
	t.Helper()
	var failed *PublishError
	if !errors.As(err, &failed) {
		t.Fatalf("got %v, want *PublishError", err)
	}
	return failed
}

func TestPublishersOfDifferentItemsBothGetThrough(t *testing.T) {
	store := kvmem.New()
	mustPublish(t, store, serviceChange("badges", "m1"))
	revision := mustPublish(t, racing(t, store, serviceChange("proofs", "m1")), serviceChange("badges", "m2"))
	doc, _, _ := Read(context.Background(), store)
	if revision != 3 || doc.Services["badges"].Model != "m2" || doc.Services["proofs"].Model != "m1" {
		t.Fatalf("revision %d holds %+v", revision, doc.Services)
	}
}

func TestConflictNamesTheItemAndBothRevisions(t *testing.T) {
	badges := Item{Kind: ItemService, Name: "badges"}
	removal := Change{Remove: []Item{badges}}
	tests := map[string]struct{ other, mine Change }{
		"both change":          {serviceChange("badges", "m2"), serviceChange("badges", "m3")},
		"removed meanwhile":    {removal, serviceChange("badges", "m3")},
		"removal of a changed": {serviceChange("badges", "m2"), removal},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := kvmem.New()
			mustPublish(t, store, serviceChange("badges", "m1"))
			_, err := publisher(racing(t, store, test.other), "me").Publish(context.Background(), test.mine)
			failed := failureOf(t, err)
			if failed.Reason != PublishConflict || failed.Item != badges || failed.Base != 1 || failed.Current != 2 {
				t.Fatalf("got %+v", failed)
			}
			if doc, _, _ := Read(context.Background(), store); doc.Revision != 2 {
				t.Fatalf("revision %d after a refused publish, want 2", doc.Revision)
			}
		})
	}
}

func TestPublishFromAnOlderRevisionClashes(t *testing.T) {
	store := kvmem.New()
	for _, model := range []string{"m1", "m2"} {
		mustPublish(t, store, serviceChange("badges", model))
	}
	p := publisher(store, "me")
	_, err := p.PublishFrom(context.Background(), serviceChange("badges", "m3"), 1)
	if failed := failureOf(t, err); failed.Base != 1 || failed.Current != 2 {
		t.Fatalf("got %+v", failed)
	}
	if _, err := p.PublishFrom(context.Background(), serviceChange("proofs", "m3"), 1); err != nil {
		t.Fatal(err)
	}
}

func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		store.SetFaults(kvmem.Faults{LoseNext: 1})
		if got := mustPublish(t, store, serviceChange("badges", "m1")); got != 1 {
			t.Fatalf("won as revision %d, want 1", got)
		}
		store.SetFaults(kvmem.Faults{LoseNext: 2}) // the archive's write, and the document's
		if got := mustPublish(t, store, serviceChange("badges", "m2")); got != 2 {
			t.Fatalf("won as revision %d, want 2", got)
		}
		if doc, _, _ := Read(context.Background(), store); doc.Revision != 2 {
			t.Fatalf("revision %d, want 2: a lost answer was retried blindly", doc.Revision)
		}
	})
}

// TestUnknownPublishIsResolvedAfterLaterOnes delays each write past its lost
// answer, for as long as the publisher asks; in an outage none of them lands.
func TestUnknownPublishIsResolvedAfterLaterOnes(t *testing.T) {
	for _, lands := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			store := kvmem.New()
			late := newLateStore(store, 1)
			late.late = 1
			if !lands {
				time.AfterFunc(time.Millisecond, func() { store.SetFaults(kvmem.Faults{Outage: true}) })
			}
			_, err := publisher(late, "me").Publish(ctx, serviceChange("badges", "m1"))
			failed := failureOf(t, err)
			if failed.Reason != PublishUnknown {
				t.Fatalf("got %v, want unknown", err)
			}
			store.SetFaults(kvmem.Faults{})
			time.Sleep(latestWrite)
			mustPublish(t, store, serviceChange("proofs", "m1"))
			mustPublish(t, store, serviceChange("proofs", "m2"))
			want := OutcomeLost
			if lands {
				want = OutcomeWon
			}
			if got, err := Resolve(ctx, store, failed.Revision, failed.Nonce); got != want || err != nil {
				t.Fatalf("resolved as %s (%v), want %s", got, err, want)
			}
		})
	}
}

func TestUnchangedPublishIsNotBelievedToAStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		mustPublish(t, store, serviceChange("badges", "m1"))
		mustPublish(t, store, serviceChange("badges", "m2"))
		store.SetFaults(kvmem.Faults{StaleReads: 1})
		published, err := publisher(store, "me").Publish(context.Background(), serviceChange("badges", "m1"))
		if err == nil {
			t.Fatalf("told that revision %d is current, which is not", published.Revision)
		}
	})
}

func TestRollbackIsANewRevision(t *testing.T) {
	ctx := context.Background()
	store := kvmem.New()
	mustPublish(t, store, serviceChange("badges", "m1"))
	mustPublish(t, store, serviceChange("badges", "m2"))
	mustPublish(t, store, serviceChange("proofs", "m1"))
	published, err := publisher(store, "me").Rollback(ctx, 1)
	if err != nil || published.Revision != 4 {
		t.Fatalf("got %+v, %v", published, err)
	}
	doc, _, _ := Read(ctx, store)
	first, _ := At(ctx, store, 1)
	if differences := Diff(first, doc); len(differences) > 0 {
		t.Fatalf("revision 4 differs from revision 1: %+v", differences)
	}
}

func TestHistoryAndMarksAreBounded(t *testing.T) {
	ctx := context.Background()
	store := kvmem.New()
	for i := range maxMarks + 20 {
		mustPublish(t, store, serviceChange("badges", "m"+itoa(uint64(i))))
	}
	doc, _, _ := Read(ctx, store)
	kept, _, _ := store.List(ctx, historyPrefix)
	if len(doc.Recent) != maxMarks || len(kept) > maxMarks {
		t.Fatalf("%d marks and %d revisions kept, want at most %d", len(doc.Recent), len(kept), maxMarks)
	}
}

func TestTooLargeConfigurationIsRefused(t *testing.T) {
	store := kvmem.New()
	mustPublish(t, store, serviceChange("badges", "m1"))
	change := serviceChange("proofs", "m1")
	proofs := change.Files.Services["proofs"]
	proofs.Model = strings.Repeat("m", kv.MaxValueSize)
	change.Files.Services["proofs"] = proofs
	_, err := publisher(store, "me").Publish(context.Background(), change)
	if failed := failureOf(t, err); failed.Reason != PublishTooLarge {
		t.Fatalf("got %v", failed)
	}
	if doc, _, _ := Read(context.Background(), store); doc.Revision != 1 {
		t.Fatalf("revision %d after a refused publish, want 1", doc.Revision)
	}
}
