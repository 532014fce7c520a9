package genlog_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamompier/cardamompier/genlog"
)

func newLog(tokens int) *genlog.Log {
	log := genlog.NewLog(genlog.Record{RequestID: "r"})
	number := log.BeginAttempt("e", "address", "s")
	for i := range tokens {
		log.Append(number, i, "token ")
	}
	return log
}

func TestOnlyTheCurrentAttemptWrites(t *testing.T) {
	log := newLog(2)
	first := log.Attempt().Number
	second := log.BeginAttempt("e2", "address", "s2")
	if log.Append(first, 2, "late ") {
		t.Fatal("a token of an old attempt was taken")
	}
	if !log.Append(second, 2, "new ") || log.Append(second, 2, "twice ") || log.Append(second, 4, "gap ") {
		t.Fatal("the order of tokens was not kept")
	}
	log.Move()
	if text, _ := log.Prior(); log.Append(second, 3, "moved ") || strings.Contains(text, "late") {
		t.Fatalf("text %q", text)
	}
}

// TestTokensAreShownUnderALease is the rule that makes a paused owner harmless.
func TestTokensAreShownUnderALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(0)
		log.Copied(time.Now().Add(time.Second))
		visible := func() int {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			chunk, _ := log.Read(ctx, 0)
			return chunk.Len()
		}
		log.Append(1, 0, "a")
		if visible() != 0 {
			t.Fatal("shown before the holder knew the attempt")
		}
		log.Acknowledge(genlog.Ack{Attempt: 1}, time.Now().Add(time.Second))
		log.Append(1, 1, "b")
		if visible() != 2 {
			t.Fatal("not shown under the lease")
		}
		time.Sleep(2 * time.Second)
		log.Append(1, 2, "c")
		if visible() != 2 {
			t.Fatal("shown after the lease")
		}
		log.Acknowledge(genlog.Ack{Attempt: 1, Count: 3}, time.Now().Add(time.Second))
		log.CopyFirst()
		log.Append(1, 3, "d")
		if visible() != 3 {
			t.Fatal("shown before it was copied")
		}
		log.Acknowledge(genlog.Ack{Attempt: 1, Count: 4}, time.Now().Add(time.Second))
		if visible() != 4 {
			t.Fatal("not shown after it was copied")
		}
	})
}
