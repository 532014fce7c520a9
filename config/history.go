package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cardamompier/cardamompier/kv"
)

// historyPrefix is where replaced revisions are kept.
const historyPrefix = "config/history/"

func historyKey(revision uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

// archive keeps a published document. A document is archived by each publisher
// that is about to replace it; all write the same value.
func archive(ctx context.Context, store kv.Store, doc Document) error {
	if doc.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	for attempt := range maxSettleAttempts {
		_, err = store.CompareAndSwap(ctx, kv.Write{Key: historyKey(doc.Revision), Value: value})
		switch kv.ReasonOf(err) {
		case "", kv.ReasonConflict:
			return nil
		case kv.ReasonUnknown, kv.ReasonRateLimited:
			pause(ctx, attempt)
		default:
			return err
		}
	}
	return err
}

// forget drops the revision that falls out of the history. It is not repeated
// when it fails: the key left behind does no harm.
func forget(ctx context.Context, store kv.Store, newest uint64) {
	if newest <= maxMarks {
		return
	}
	key := historyKey(newest - maxMarks)
	if entry, err := store.Get(ctx, key); err == nil {
		_ = store.Delete(ctx, key, entry.Version)
	}
}

// At returns a revision that is stored or kept in the history. It returns
// *PublishError with PublishNoRevision when it is neither.
func At(ctx context.Context, store kv.Store, revision uint64) (Document, error) {
	if revision == 0 {
		return emptyDocument(), nil
	}
	entry, err := store.Get(ctx, historyKey(revision))
	if err == nil {
		return Decode(entry.Value)
	}
	if kv.ReasonOf(err) != kv.ReasonNotFound {
		return Document{}, &PublishError{Reason: PublishUnavailable, Cause: err}
	}
	doc, _, err := Read(ctx, store)
	if err == nil && doc.Revision == revision {
		return doc, nil
	}
	return Document{}, &PublishError{Reason: PublishNoRevision, Revision: revision, Cause: err}
}

// Outcome is what became of a publish.
type Outcome string

// The outcomes of a publish.
const (
	OutcomeWon  Outcome = "won"
	OutcomeLost Outcome = "lost"
	// OutcomeUnknown: the write may still land, or its revision is no longer kept.
	OutcomeUnknown Outcome = "unknown"
)

// Resolve tells what became of a publish of the given revision and nonce.
// Each revision has one winner, so a stored document that has reached the
// revision settles it, also after later publishes.
func Resolve(ctx context.Context, store kv.Store, revision uint64, nonce string) (Outcome, error) {
	doc, _, err := Read(ctx, store)
	if err != nil {
		return OutcomeUnknown, &PublishError{Reason: PublishUnavailable, Cause: err}
	}
	mark, kept := doc.markOf(revision)
	switch {
	case !kept:
		return OutcomeUnknown, nil
	case mark.Nonce == nonce:
		return OutcomeWon, nil
	default:
		return OutcomeLost, nil
	}
}
