package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
)

// NewRevisions counts the configuration revisions that this host adopted, by source.
var NewRevisions = metrics.New("config_revisions_total", "Newer revisions put in force, by where they were learned.")

// IgnoredDocuments counts the configuration documents that this host did not
// adopt, by reason.
var IgnoredDocuments = metrics.New("config_ignored_total", "Documents not put in force, by reason.")

// StoreCalls counts this host's configuration calls to the key-value service, by kind.
var StoreCalls = metrics.New("config_calls_total", "Calls on the key-value service to follow the configuration, by kind.")

// Source is the origin of a configuration document: the store or a peer.
type Source string

// SourceStore and SourcePeer are the origins of configuration documents.
const (
	SourceStore Source = "store"
	SourcePeer  Source = "peer"
)

const (
	ignoredOlder   = "older"
	ignoredCorrupt = "corrupt"
	callRead       = "read"
	callCheck      = "check"
	callWatch      = "watch"
)

// ReplicatedName is the configuration's name among the values that a Replicator
// replicates between hosts. It is also part of the hash input of Watchers.
const ReplicatedName = "config"

// Replicator replicates named, versioned values between hosts: the newest version
// of each name reaches all of them.
type Replicator interface {
	// Set publishes a value to all hosts if its version is newer than the known
	// one, and reports whether it is.
	Set(name string, version uint64, value []byte) bool
	// Subscribe calls notify with the known version of name, if there is one, and
	// with each newer version.
	Subscribe(name string, notify func(version uint64, value []byte))
}

// Follower holds the newest configuration that any source offered. The revision
// that it holds never decreases.
type Follower struct {
	store    kv.Store
	logger   hclog.Logger
	spreader Replicator
	group    func() Group

	current    atomic.Pointer[Snapshot]
	answeredAt atomic.Int64 // time of the store's last answer, Unix nanoseconds; 0 for none
	watching   atomic.Bool
	mu         sync.Mutex // serializes offer
}

// NewFollower returns a follower that watches the configuration in store without
// the help of peers.
func NewFollower(store kv.Store, logger hclog.Logger) *Follower {
	return &Follower{store: store, logger: logger, group: func() Group { return Group{} }}
}

// JoinGroup adds the follower to a group: only the members that Watchers selects
// watch the store; the other members receive the documents through spreader.
// JoinGroup must be called before Run.
func (f *Follower) JoinGroup(spreader Replicator, group func() Group) {
	f.spreader, f.group = spreader, group
	spreader.Subscribe(ReplicatedName, f.receiveFromPeer)
}

// Current returns the configuration in force; nil before the first one was read.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// State is the status of a follower, as shown to operators.
type State struct {
	// Revision is the revision in force; zero when none is known.
	Revision uint64 `json:"revision"`
	// Watching reports whether this host currently watches the key-value service.
	Watching bool `json:"watching"`
	// CheckedMS is the age of the key-value service's last answer, in
	// milliseconds; -1 when the service never answered.
	CheckedMS int64 `json:"checked_ms"`
}

// State returns the follower's current status.
func (f *Follower) State() State {
	state := State{Watching: f.watching.Load(), CheckedMS: -1}
	if snapshot := f.current.Load(); snapshot != nil {
		state.Revision = snapshot.Revision
	}
	if at := f.answeredAt.Load(); at != 0 {
		state.CheckedMS = time.Since(time.Unix(0, at)).Milliseconds()
	}
	return state
}

// Offer adopts doc if its revision is newer than the one in force, and reports
// whether it did.
func (f *Follower) Offer(doc Document) bool { return f.offer(doc, SourcePeer) }

func (f *Follower) offer(doc Document, source Source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.current.Load()
	if doc.Revision == 0 || (now != nil && doc.order() <= now.order()) {
		if now != nil && doc.order() < now.order() {
			IgnoredDocuments.Inc(ignoredOlder)
			events.ConfigOlderIgnored.Log(f.logger, "offered", doc.Revision, "in_force", now.Revision, "source", source)
		}
		return false
	}
	f.current.Store(NewSnapshot(doc))
	NewRevisions.Inc(string(source))
	events.ConfigInForce.Log(f.logger, "revision", doc.Revision, "source", source)
	return true
}

// receiveFromPeer adopts a document that a peer sent, if it is newer.
func (f *Follower) receiveFromPeer(version uint64, value []byte) {
	if now := f.current.Load(); now != nil && version <= now.order() {
		return
	}
	doc, err := Decode(value)
	if err != nil {
		f.rejectCorrupt(err, SourcePeer)
		return
	}
	f.Offer(doc)
}

// adoptFromStore adopts a document read from the store if it is newer, and then
// replicates it to the peers.
func (f *Follower) adoptFromStore(value []byte) {
	doc, err := Decode(value)
	if err != nil {
		f.rejectCorrupt(err, SourceStore)
		return
	}
	if f.offer(doc, SourceStore) && f.spreader != nil {
		f.spreader.Set(ReplicatedName, doc.order(), value)
	}
}

func (f *Follower) rejectCorrupt(err error, source Source) {
	IgnoredDocuments.Inc(ignoredCorrupt)
	events.ConfigCorrupt.Log(f.logger, "source", source, "error", err)
}

// read reads the configuration from the store once, adopts it if it is newer,
// and returns its version, even when the stored document is corrupt.
func (f *Follower) read(ctx context.Context, call string) (kv.Version, error) {
	StoreCalls.Inc(call)
	entry, err := f.store.Get(ctx, Key)
	if reason := kv.ReasonOf(err); reason != "" && reason != kv.ReasonNotFound {
		return 0, err
	}
	f.recordAnswer()
	if err == nil {
		f.adoptFromStore(entry.Value)
	}
	return entry.Version, nil
}

func (f *Follower) recordAnswer() { f.answeredAt.Store(time.Now().UnixNano()) }
