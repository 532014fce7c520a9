package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cardamompier/cardamompier/kv"
)

// historyPrefix is the key prefix under which replaced revisions are stored.
const historyPrefix = "config/history/"

func historyKey(revision uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, revision) }

// archive stores a published document in the history. Every publisher archives
// the current document before replacing it; all of them write the same value,
// so an existing copy counts as success.
func archive(ctx context.Context, store kv.Store, doc Document) error {
	if doc.Revision == 0 {
		return nil
	}
	value, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	for attempt := range maxStoreAttempts {
		_, err = store.CompareAndSwap(ctx, kv.Write{Key: historyKey(doc.Revision), Value: value})
		switch kv.ReasonOf(err) {
		case "", kv.ReasonConflict:
			return nil
		case kv.ReasonUnknown, kv.ReasonRateLimited:
			backOff(ctx, attempt)
		default:
			return err
		}
	}
	return err
}

// pruneHistory deletes the revision that exceeds the history's size once newest
// is published. A failed deletion is not retried: the leftover key is harmless.
func pruneHistory(ctx context.Context, store kv.Store, newest uint64) {
	if newest <= maxRecentRevisions {
		return
	}
	key := historyKey(newest - maxRecentRevisions)
	if entry, err := store.Get(ctx, key); err == nil {
		_ = store.Delete(ctx, key, entry.Version)
	}
}

// ReadRevision returns the document of a revision from the history or, for the current
// revision, from the current key. Revision zero is the empty document. When the
// revision is in neither place, ReadRevision returns a *PublishError with reason
// PublishNoRevision.
func ReadRevision(ctx context.Context, store kv.Store, revision uint64) (Document, error) {
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

// Outcome is the result of a publish, as determined by Resolve.
type Outcome string

// These constants are the outcomes of a publish.
const (
	OutcomeWon  Outcome = "won"
	OutcomeLost Outcome = "lost"
	// OutcomeUnknown means that the write may still take effect, or that the
	// document no longer records which publish wrote the revision.
	OutcomeUnknown Outcome = "unknown"
)

// Resolve returns the outcome of the publish with the given revision and nonce.
// Exactly one publish writes each revision, so a stored document that has
// reached the revision determines the outcome, even after later publishes.
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
