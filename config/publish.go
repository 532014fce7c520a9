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
	maxSettleAttempts  = 10
	minPublishBackoff  = 20 * time.Millisecond
	maxPublishBackoff  = time.Second
)

// Publisher publishes changes, each as a new revision.
type Publisher struct {
	Store  kv.Store
	Writer string
	Now    func() time.Time
}

// Published is an accepted publish.
type Published struct {
	// Revision holds the change.
	Revision uint64 `json:"revision"`
	// Changed is false when the configuration already was as wanted.
	Changed bool `json:"changed"`
	// Nonce identifies the publish; empty when nothing changed.
	Nonce string `json:"nonce,omitempty"`
}

// Publish merges a change into the stored configuration. Publishes of
// different items all get through; an item that another publish changed since
// this one started, to something else, is a conflict. It returns *PublishError.
func (p *Publisher) Publish(ctx context.Context, change Change) (Published, error) {
	base, version, err := p.read(ctx)
	if err != nil {
		return Published{}, err
	}
	return p.publish(ctx, change, base, base, version)
}

// PublishFrom is Publish for a change that was prepared from an older revision.
func (p *Publisher) PublishFrom(ctx context.Context, change Change, revision uint64) (Published, error) {
	base, err := At(ctx, p.Store, revision)
	if err != nil {
		return Published{}, err
	}
	current, version, err := p.read(ctx)
	if err != nil {
		return Published{}, err
	}
	return p.publish(ctx, change, base, current, version)
}

// Rollback publishes the items of an older revision as a new revision.
func (p *Publisher) Rollback(ctx context.Context, revision uint64) (Published, error) {
	old, err := At(ctx, p.Store, revision)
	if err != nil {
		return Published{}, err
	}
	current, version, err := p.read(ctx)
	if err != nil {
		return Published{}, err
	}
	return p.publish(ctx, changeTo(current, old), current, current, version)
}

func (p *Publisher) publish(ctx context.Context, change Change, base, current Document, version kv.Version) (Published, error) {
	nonce := uuid.NewString()
	for attempt := range maxPublishAttempts {
		if clash := clashOf(base, current, change); clash != nil {
			return Published{}, withNonce(clash, nonce)
		}
		next, changed := merge(current, change)
		changed = changed || current.Revision == 0
		if changed {
			next.sign(Mark{Revision: current.Revision + 1, Writer: p.Writer, Nonce: nonce, PublishedAt: p.Now().UTC()})
		}
		won, err := p.commit(ctx, replacement{current: current, next: next, version: version, changed: changed})
		if err != nil {
			return Published{}, withNonce(err, nonce)
		}
		if won && !changed {
			return Published{Revision: current.Revision}, nil
		}
		if won {
			forget(ctx, p.Store, next.Revision)
			return Published{Revision: next.Revision, Changed: true, Nonce: nonce}, nil
		}
		pause(ctx, attempt)
		if current, version, err = p.readSince(ctx, next.Revision, version); err != nil {
			return Published{}, withNonce(err, nonce)
		}
	}
	return Published{}, &PublishError{Reason: PublishUnavailable, Nonce: nonce}
}

// replacement is one document that is to take another's place.
type replacement struct {
	current, next Document
	// version that current was read at.
	version kv.Version
	// changed is false when next is current, stored again to prove that the
	// document read was not stale.
	changed bool
}

// commit stores a replacement and says whether it won. Each revision is
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
	maybe, err := p.swap(ctx, write)
	switch reason := kv.ReasonOf(err); {
	case reason == "":
		return true, nil
	case reason == kv.ReasonConflict && (!maybe || !r.changed):
		return false, nil
	case reason == kv.ReasonConflict:
		return p.settle(ctx, r)
	case reason == kv.ReasonTooLarge:
		return false, &PublishError{Reason: PublishTooLarge, Cause: err}
	case maybe && r.changed:
		return false, unknown(r.next, err)
	default:
		return false, &PublishError{Reason: PublishUnavailable, Cause: err}
	}
}

// swap writes until the service gives an answer, and says whether an earlier
// one was lost. The write is sent again as it was: all expect the same version,
// so at most one takes effect, also when the first one lands late.
func (p *Publisher) swap(ctx context.Context, write kv.Write) (maybe bool, err error) {
	for attempt := range maxSettleAttempts {
		_, err = p.Store.CompareAndSwap(ctx, write)
		switch reason := kv.ReasonOf(err); reason {
		case "", kv.ReasonConflict, kv.ReasonTooLarge:
			return maybe, err
		case kv.ReasonUnknown:
			maybe = true
		case kv.ReasonRateLimited:
		default:
			if !maybe {
				return false, err
			}
		}
		pause(ctx, attempt)
	}
	return maybe, err
}

// settle tells whether a write with a lost answer won, once the version that
// it expected is gone and it can no longer take effect.
func (p *Publisher) settle(ctx context.Context, r replacement) (bool, error) {
	current, _, err := p.readSince(ctx, r.next.Revision, r.version)
	if err != nil {
		return false, unknown(r.next, err)
	}
	mark, kept := current.markOf(r.next.Revision)
	if !kept {
		return false, unknown(r.next, nil)
	}
	return mark.Nonce == r.next.Nonce, nil
}

func (p *Publisher) read(ctx context.Context) (Document, kv.Version, error) {
	return p.readUntil(ctx, func(Document, kv.Version) bool { return true })
}

// readSince reads until the answer is not older than a write that is known to
// have replaced the given version.
func (p *Publisher) readSince(ctx context.Context, revision uint64, replaced kv.Version) (Document, kv.Version, error) {
	return p.readUntil(ctx, func(doc Document, version kv.Version) bool {
		return doc.Revision >= revision && version > replaced
	})
}

func (p *Publisher) readUntil(ctx context.Context, fresh func(Document, kv.Version) bool) (Document, kv.Version, error) {
	var last error
	for attempt := range maxSettleAttempts {
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
		pause(ctx, attempt)
	}
	return Document{}, 0, &PublishError{Reason: PublishUnavailable, Cause: last}
}

func unknown(next Document, cause error) error {
	return &PublishError{Reason: PublishUnknown, Revision: next.Revision, Cause: cause}
}

// withNonce names the publish in a *PublishError.
func withNonce(err error, nonce string) error {
	var failed *PublishError
	if errors.As(err, &failed) {
		failed.Nonce = nonce
	}
	return err
}

// pause waits before the next attempt, with jitter.
func pause(ctx context.Context, attempt int) {
	ceiling := min(minPublishBackoff<<attempt, maxPublishBackoff)
	wait.For(ctx, ceiling/2+rand.N(ceiling/2))
}
