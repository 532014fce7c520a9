package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

// watchRetryDelay is the pause after a failed watch.
const watchRetryDelay = 200 * time.Millisecond

// Follower keeps the newest configuration that any source offered. Its
// revision never falls.
type Follower struct {
	store   kv.Store
	logger  hclog.Logger
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex // orders Offer
}

// NewFollower returns a follower of the configuration in store.
func NewFollower(store kv.Store, logger hclog.Logger) *Follower {
	return &Follower{store: store, logger: logger}
}

// Current returns the revision in force; nil before the first was read.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Offer puts doc in force if it is newer than what is.
func (f *Follower) Offer(doc Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.current.Load()
	if doc.Revision == 0 || (now != nil && doc.Revision <= now.Revision) {
		if now != nil && doc.Revision < now.Revision {
			events.ConfigOlderIgnored.Log(f.logger, "offered", doc.Revision, "in_force", now.Revision)
		}
		return
	}
	f.current.Store(NewSnapshot(doc))
	events.ConfigInForce.Log(f.logger, "revision", doc.Revision)
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var after kv.Version
	for ctx.Err() == nil {
		if after == 0 {
			version, err := f.read(ctx)
			if err != nil {
				f.pause(ctx, err)
				continue
			}
			after = max(version, 1)
		}
		changes, revision, err := f.store.Watch(ctx, Key, after)
		if err != nil {
			after = 0
			f.pause(ctx, err)
			continue
		}
		f.apply(changes)
		after = revision
	}
}

func (f *Follower) read(ctx context.Context) (kv.Version, error) {
	doc, version, err := Read(ctx, f.store)
	if err != nil {
		return 0, err
	}
	f.Offer(doc)
	return version, nil
}

func (f *Follower) apply(changes []kv.Event) {
	for _, change := range changes {
		if change.Deleted || change.Key != Key {
			continue
		}
		doc, err := Decode(change.Value)
		if err != nil {
			events.ConfigReadFailed.Log(f.logger, "error", err)
			continue
		}
		f.Offer(doc)
	}
}

func (f *Follower) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	events.ConfigReadFailed.Log(f.logger, "error", err)
	select {
	case <-time.After(watchRetryDelay):
	case <-ctx.Done():
	}
}
