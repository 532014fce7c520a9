package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
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
			clash.Nonce = nonce
			return Published{}, clash
		}
		next, changed := merge(current, change)
		if changed {
			next.sign(Mark{Revision: current.Revision + 1, Writer: p.Writer, Nonce: nonce, PublishedAt: p.Now().UTC()})
		}
		won, err := p.commit(ctx, current, next, version, changed)
		if err != nil {
			return Published{}, err
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

// commit stores next in the place of current and says whether it won. An
// unchanged document is stored again, which proves that the one read was not
// stale. Each revision is archived before its successor replaces it.
//
// A write whose answer was lost is sent again as it was: both expect the same
// version, so at most one takes effect, also when the first one lands late.
func (p *Publisher) commit(ctx context.Context, current, next Document, version kv.Version, changed bool) (bool, error) {
	if next.Revision == 0 {
		return true, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, &PublishError{Reason: PublishCorrupt, Nonce: next.Nonce, Cause: err}
	}
	if err := archive(ctx, p.Store, current); err != nil {
		return false, &PublishError{Reason: PublishUnavailable, Nonce: next.Nonce, Cause: err}
	}
	write := kv.Write{Key: Key, Value: value, Expect: version}
	maybe := false
	for attempt := range maxSettleAttempts {
		_, err = p.Store.CompareAndSwap(ctx, write)
		switch reason := kv.ReasonOf(err); {
		case reason == "":
			return true, nil
		case reason == kv.ReasonConflict && maybe && changed:
			return p.settle(ctx, next, version)
		case reason == kv.ReasonConflict:
			return false, nil
		case reason == kv.ReasonTooLarge:
			return false, &PublishError{Reason: PublishTooLarge, Nonce: next.Nonce, Cause: err}
		case reason == kv.ReasonUnknown:
			maybe = true
		case !maybe && reason != kv.ReasonRateLimited:
			return false, &PublishError{Reason: PublishUnavailable, Nonce: next.Nonce, Cause: err}
		}
		pause(ctx, attempt)
	}
	if maybe && changed {
		return false, unknown(next, err)
	}
	return false, &PublishError{Reason: PublishUnavailable, Nonce: next.Nonce, Cause: err}
}

// settle tells whether a write with a lost answer won, once the version that
// it expected is gone and it can no longer take effect.
func (p *Publisher) settle(ctx context.Context, next Document, version kv.Version) (bool, error) {
	current, _, err := p.readSince(ctx, next.Revision, version)
	if err != nil {
		return false, unknown(next, err)
	}
	mark, kept := current.markOf(next.Revision)
	if !kept {
		return false, unknown(next, nil)
	}
	return mark.Nonce == next.Nonce, nil
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
	return &PublishError{Reason: PublishUnknown, Revision: next.Revision, Nonce: next.Nonce, Cause: cause}
}

func withNonce(err error, nonce string) error {
	var failed *PublishError
	if errors.As(err, &failed) {
		failed.Nonce = nonce
	}
	return err
}

// pause waits before the next attempt, with jitter.
func pause(ctx context.Context, attempt int) {
	wait := min(minPublishBackoff<<attempt, maxPublishBackoff)
	select {
	case <-time.After(wait/2 + rand.N(wait/2)):
	case <-ctx.Done():
	}
}
