package order

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

func requestFor(key string) Request {
	return Request{ID: ID{Account: "a", Key: key}, Digest: Digest{1}, Created: time.Now()}
}

func mustClaim(t *testing.T, l Ledger, request Request) *Claim {
	t.Helper()
	claim, record, err := l.Claim(t.Context(), request)
	if err != nil || claim == nil {
		t.Fatalf("claim of %s: %+v, %v", request.ID.Key, record, err)
	}
	return claim
}

// keyLike returns another key of a key's partition.
func keyLike(l *Partitioned, key string) string {
	partition := l.Partition(ID{Account: "a", Key: key})
	for n := 0; ; n++ {
		if other := fmt.Sprintf("other-%d", n); l.Partition(ID{Account: "a", Key: other}) == partition {
			return other
		}
	}
}

// TestPausedOwnersCommitIsRefused pauses an owner that has decided on a claim
// before its commit leaves. Its successor grants the key to another.
func TestPausedOwnersCommitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2, "partitioned")
		request := requestFor("k")
		old, next := w.hosts["h0"], w.hosts["h1"]
		if old.owner.Owner(request.ID) != old.name {
			old, next = next, old
		}
		mustClaim(t, old.ledger, requestFor(keyLike(old.owner, "k")))
		refused := Commits.Value(commitDeposed)
		old.gate.pause()
		claims := make(chan *Claim, 1)
		go func() {
			claim, _, _ := old.ledger.Claim(context.Background(), request)
			claims <- claim
		}()
		time.Sleep(2 * tenureTTL)
		w.show(next, []string{next.name})
		mustClaim(t, next.ledger, request)
		old.gate.resume()
		if claim := <-claims; claim != nil {
			t.Fatal("the key was granted twice")
		}
		time.Sleep(time.Second)
		if Commits.Value(commitDeposed) != refused+1 {
			t.Fatal("the commit of the replaced owner was not refused by its epoch")
		}
		w.show(old, []string{next.name})
		time.Sleep(4 * tenureIdle) // until the claim is released and no tenure is renewed
	})
}

func TestNotRunMayBeClaimedAgain(t *testing.T) {
	l := NewDirect(kvmem.New(), "w")
	request := requestFor("k")
	first := mustClaim(t, l, request)
	if err := l.Finish(t.Context(), first, StateNotRun, nil); err != nil {
		t.Fatal(err)
	}
	second := mustClaim(t, l, request)
	if err := l.Finish(t.Context(), first, StateDone, &Outcome{Status: 200}); err == nil {
		t.Fatal("a claim that was given up recorded an outcome")
	}
	if err := l.Finish(t.Context(), second, StateDone, &Outcome{Status: 200}); err != nil {
		t.Fatal(err)
	}
	other := request
	other.Digest = Digest{2}
	_, _, err := l.Claim(t.Context(), other)
	if failed, ok := err.(*Error); !ok || failed.Reason != ReasonConflict { //nolint:errorlint // the ledger's own type
		t.Fatalf("another body under the same key: %v", err)
	}
}

// TestOutcomeIsRecordedPastTheDeadline ends an outage long after the request.
func TestOutcomeIsRecordedPastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvmem.New()
		client := kv.NewClient(store, kv.Options{})
		l := NewRecorder(NewDirect(client, "w"), client, hclog.NewNullLogger())
		claim := mustClaim(t, l, requestFor("k"))
		store.SetFaults(kvmem.Faults{Outage: true})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := l.Finish(ctx, claim, StateDone, &Outcome{Status: 200, Body: []byte("job-1")}); err == nil {
			t.Fatal("recorded in an outage")
		}
		time.Sleep(time.Minute)
		store.SetFaults(kvmem.Faults{})
		time.Sleep(time.Minute)
		record, err := l.Get(t.Context(), claim.ID)
		if err != nil || record.State != StateDone || string(record.Outcome.Body) != "job-1" {
			t.Fatalf("%+v, %v", record, err)
		}
	})
}

func TestLargeAnswerIsGivenAgain(t *testing.T) {
	store := kvmem.New()
	l := NewRecorder(NewShared(store, "w", Options{}), store, hclog.NewNullLogger())
	claim := mustClaim(t, l, requestFor("k"))
	body := bytes.Repeat([]byte("0123456789abcdef"), 200_000)
	if err := l.Finish(t.Context(), claim, StateDone, &Outcome{Status: 200, Body: body}); err != nil {
		t.Fatal(err)
	}
	_, record, err := l.Claim(t.Context(), claim.Request)
	if err != nil || !bytes.Equal(record.Outcome.Body, body) {
		t.Fatalf("the repeat got another answer: %v", err)
	}
}

// TestRecordsAreDroppedAfterTheRetention fills segments, and looks at what is
// left of them after the retention, for keys that are refused by their age.
func TestRecordsAreDroppedAfterTheRetention(t *testing.T) {
	store := kvmem.New()
	now := time.Now()
	clock := func() time.Time { return now }
	l := NewShared(store, "w", Options{Partitions: 1, Interval: time.Microsecond, Clock: clock})
	sealEarly(l.committers)
	old := Request{ID: ID{Account: "a", Key: "old"}, Digest: Digest{1}, Created: now}
	mustClaim(t, l, old)
	fill := func(round string) {
		for n := range 10 {
			mustClaim(t, l, Request{ID: ID{Account: "a", Key: fmt.Sprint(round, n)}, Digest: Digest{1}, Created: now})
		}
	}
	fill("a")
	before, _, err := store.List(t.Context(), "order/")
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(Retention + time.Minute)
	fill("b")
	fill("c")
	after, _, err := store.List(t.Context(), "order/")
	if err != nil || len(after) > 2*len(before) {
		t.Fatalf("%d values, %d before, %v", len(after), len(before), err)
	}
	if _, err := l.Get(t.Context(), old.ID); err == nil {
		t.Fatal("the record is still there")
	}
	if AgeOf(old.Created, now) != AgeTooOld {
		t.Fatal("a key whose record was dropped is accepted")
	}
}

func TestCreatedOf(t *testing.T) {
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	if at, ok := CreatedOf(id.String(), ""); !ok || time.Since(at).Abs() > time.Minute {
		t.Errorf("UUIDv7: %s, %t", at, ok)
	}
	if _, ok := CreatedOf(uuid.NewString(), ""); ok {
		t.Error("a random UUID has no time")
	}
	if at, ok := CreatedOf("k", "2026-12-04T05:00:00Z"); !ok || at.Hour() != 5 {
		t.Errorf("header: %s, %t", at, ok)
	}
}
