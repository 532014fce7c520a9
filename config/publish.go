package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	maxPublishAttempts = 16
	maxStoreAttempts   = 10
	minPublishBackoff  = 20 * time.Millisecond
	maxPublishBackoff  = time.Second
)

// Publisher publishes configuration changes, each as a new revision.
type Publisher struct {
	Store  kv.Store
	Writer string
	Now    func() time.Time
}

// PublishResult describes an accepted publish.
type PublishResult struct {
	// Revision is the revision that contains the change.
	Revision uint64 `json:"revision"`
	// Changed is false when the stored configuration already contained the change.
	Changed bool `json:"changed"`
	// Nonce identifies the publish; empty when nothing changed.
	Nonce string `json:"nonce,omitempty"`
}

// Publish merges a change into the stored configuration. Concurrent publishes of
// different items all succeed. Publish fails with a conflict if, since the start
// of the call, another publish changed an item of the change to a different
// value. Errors are of type *PublishError.
func (p *Publisher) Publish(ctx context.Context, change Change) (PublishResult, error) {
	base, version, err := p.read(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	return p.publish(ctx, change, base, base, version)
}

// PublishFrom is like Publish, for a change that was prepared from an older
// revision: conflicts are detected from that revision on.
func (p *Publisher) PublishFrom(ctx context.Context, change Change, revision uint64) (PublishResult, error) {
	base, err := ReadRevision(ctx, p.Store, revision)
	if err != nil {
		return PublishResult{}, err
	}
	current, version, err := p.read(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	return p.publish(ctx, change, base, current, version)
}

// Rollback publishes the services and client accounts of an older revision as a
// new revision.
func (p *Publisher) Rollback(ctx context.Context, revision uint64) (PublishResult, error) {
	old, err := ReadRevision(ctx, p.Store, revision)
	if err != nil {
		return PublishResult{}, err
	}
	current, version, err := p.read(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	return p.publish(ctx, changeBetween(current, old), current, current, version)
}

func (p *Publisher) publish(ctx context.Context, change Change, base, current Document, version kv.Version) (PublishResult, error) {
	nonce := uuid.NewString()
	for attempt := range maxPublishAttempts {
		if conflict := conflictOf(base, current, change); conflict != nil {
			return PublishResult{}, withNonce(conflict, nonce)
		}
		next, changed := merge(current, change)
		changed = changed || current.Revision == 0
		if changed {
			next.setRevision(RevisionMark{Revision: current.Revision + 1, Writer: p.Writer, Nonce: nonce, PublishedAt: p.Now().UTC()})
			next.Era = max(current.Era, p.era(version))
		}
		won, err := p.commit(ctx, replacement{current: current, next: next, version: version, changed: changed})
		if err != nil {
			return PublishResult{}, withNonce(err, nonce)
		}
		if won && !changed {
			return PublishResult{Revision: current.Revision}, nil
		}
		if won {
			pruneHistory(ctx, p.Store, next.Revision)
			return PublishResult{Revision: next.Revision, Changed: true, Nonce: nonce}, nil
		}
		backOff(ctx, attempt)
		if current, version, err = p.readSince(ctx, next.Revision, version); err != nil {
			return PublishResult{}, withNonce(err, nonce)
		}
	}
	return PublishResult{}, &PublishError{Reason: PublishUnavailable, Nonce: nonce}
}

// era returns the era of the store, given the version at which the document was read; zero if there is none.
func (p *Publisher) era(version kv.Version) kv.Era {
	sight, _ := kv.EraSightOf(p.Store)
	return max(version.Era(), sight.Era)
}

// replacement is a write that replaces the document current with next.
type replacement struct {
	current, next Document
	// version is the store version at which current was read.
	version kv.Version
	// changed is false when next equals current. The write then only proves that
	// current was not a stale read.
	changed bool
}

// commit writes a replacement and reports whether the write succeeded; false
// without an error means that another publish was first. Each revision is
// archived before its successor replaces it.
func (p *Publisher) commit(ctx context.Context, r replacement) (bool, error) {
	value, err := json.Marshal(r.next)
	if err != nil {
		return false, &PublishError{Reason: PublishCorrupt, Cause: err}
	}
	if err := archive(ctx, p.Store, r.current); err != nil {
		return false, &PublishError{Reason: PublishUnavailable, Cause: err}
	}
	write := kv.Write{Key: Key, Value: value, Expect: r.version}
	answerLost, err := p.writeUntilAnswered(ctx, write)
	switch reason := kv.ReasonOf(err); {
	case reason == "":
		return true, nil
	case reason == kv.ReasonConflict && (!answerLost || !r.changed):
		return false, nil
	case reason == kv.ReasonConflict:
		return p.resolveLostAnswer(ctx, r)
	case reason == kv.ReasonTooLarge:
		return false, &PublishError{Reason: PublishTooLarge, Cause: err}
	case answerLost && r.changed:
		return false, unknownOutcome(r.next, err)
	default:
		return false, &PublishError{Reason: PublishUnavailable, Cause: err}
	}
}

// writeUntilAnswered sends a write until the store answers, and reports whether
// an earlier answer was lost. Every attempt sends the same write and expects the
// same version, so at most one takes effect, even if the first one arrives late.
func (p *Publisher) writeUntilAnswered(ctx context.Context, write kv.Write) (answerLost bool, err error) {
	for attempt := range maxStoreAttempts {
		_, err = p.Store.CompareAndSwap(ctx, write)
		switch reason := kv.ReasonOf(err); reason {
		case "", kv.ReasonConflict, kv.ReasonTooLarge:
			return answerLost, err
		case kv.ReasonUnknown:
			answerLost = true
		case kv.ReasonRateLimited:
		default:
			if !answerLost {
				return false, err
			}
		}
		backOff(ctx, attempt)
	}
	return answerLost, err
}

// resolveLostAnswer reports whether a write with a lost answer succeeded. It is
// called once the version that the write expected has been replaced, so the
// write can no longer take effect.
func (p *Publisher) resolveLostAnswer(ctx context.Context, r replacement) (bool, error) {
	current, _, err := p.readSince(ctx, r.next.Revision, r.version)
	if err != nil {
		return false, unknownOutcome(r.next, err)
	}
	mark, kept := current.markOf(r.next.Revision)
	if !kept {
		return false, unknownOutcome(r.next, nil)
	}
	return mark.Nonce == r.next.Nonce, nil
}

func (p *Publisher) read(ctx context.Context) (Document, kv.Version, error) {
	return p.readUntil(ctx, func(Document, kv.Version) bool { return true })
}

// readSince reads until the document has at least the given revision and its
// store version is higher than replaced. Other answers are stale, because a write
// is known to have replaced that version.
func (p *Publisher) readSince(ctx context.Context, revision uint64, replaced kv.Version) (Document, kv.Version, error) {
	return p.readUntil(ctx, func(doc Document, version kv.Version) bool {
		return doc.Revision >= revision && version > replaced
	})
}

func (p *Publisher) readUntil(ctx context.Context, fresh func(Document, kv.Version) bool) (Document, kv.Version, error) {
	var last error
	for attempt := range maxStoreAttempts {
		doc, version, err := Read(ctx, p.Store)
		if err == nil && fresh(doc, version) {
			return doc, version, nil
		}
		var failed *PublishError
		if errors.As(err, &failed) {
			return Document{}, 0, err
		}
		if last = err; kv.ReasonOf(err) == kv.ReasonUnavailable {
			break
		}
		backOff(ctx, attempt)
	}
	return Document{}, 0, &PublishError{Reason: PublishUnavailable, Cause: last}
}

func unknownOutcome(next Document, cause error) error {
	return &PublishError{Reason: PublishUnknown, Revision: next.Revision, Cause: cause}
}

// withNonce sets the nonce of the failed publish in err if err is a *PublishError.
func withNonce(err error, nonce string) error {
	var failed *PublishError
	if errors.As(err, &failed) {
		failed.Nonce = nonce
	}
	return err
}

// backOff waits before the next attempt, for an exponentially growing time with
// jitter, or until ctx ends.
func backOff(ctx context.Context, attempt int) {
	ceiling := min(minPublishBackoff<<attempt, maxPublishBackoff)
	wait.For(ctx, ceiling/2+rand.N(ceiling/2))
}
