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

// Sources counts where newer revisions were learned.
var Sources = metrics.New("config_revisions_total", "Newer revisions put in force, by where they were learned.")

// Ignored counts documents that were not put in force.
var Ignored = metrics.New("config_ignored_total", "Documents not put in force, by reason.")

// Reads counts this host's calls on the key-value service for the configuration.
var Reads = metrics.New("config_calls_total", "Calls on the key-value service to follow the configuration, by kind.")

// Source says where a document was learned.
type Source string

// The sources of documents.
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

// SpreadName is the configuration's name among the values that entry hosts
// spread between themselves.
const SpreadName = "config"

// Spreader spreads versioned values between the entry hosts: the newest
// version of a name reaches all of them.
type Spreader interface {
	// Set offers a value and says whether its version is newer than the known one.
	Set(name string, version uint64, value []byte) bool
	// Subscribe calls notify with the known version, if any, and each newer one.
	Subscribe(name string, notify func(version uint64, value []byte))
}

// Follower keeps the newest configuration that any source offered. Its
// revision never falls.
type Follower struct {
	store    kv.Store
	logger   hclog.Logger
	spreader Spreader
	group    func() Group

	current  atomic.Pointer[Snapshot]
	checked  atomic.Int64 // last answer of the store, Unix nanoseconds; 0 for none
	watching atomic.Bool
	mu       sync.Mutex // orders Offer
}

// NewFollower returns a follower that watches the configuration in store by itself.
func NewFollower(store kv.Store, logger hclog.Logger) *Follower {
	return &Follower{store: store, logger: logger, group: func() Group { return Group{} }}
}

// Share makes the follower one of a group: Watchers of its members watch the
// store, and the others get the documents from them through spreader. It is
// called before Run.
func (f *Follower) Share(spreader Spreader, group func() Group) {
	f.spreader, f.group = spreader, group
	spreader.Subscribe(SpreadName, f.receive)
}

// Current returns the revision in force; nil before the first was read.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// State is what a follower says of itself to operators.
type State struct {
	// Revision in force; zero when none is known.
	Revision uint64 `json:"revision"`
	// Watching says whether this host is one of those that watch the service.
	Watching bool `json:"watching"`
	// CheckedMS is the age of the service's last answer, in milliseconds; -1
	// when it never answered.
	CheckedMS int64 `json:"checked_ms"`
}

// State returns the follower's state.
func (f *Follower) State() State {
	state := State{Watching: f.watching.Load(), CheckedMS: -1}
	if snapshot := f.current.Load(); snapshot != nil {
		state.Revision = snapshot.Revision
	}
	if at := f.checked.Load(); at != 0 {
		state.CheckedMS = time.Since(time.Unix(0, at)).Milliseconds()
	}
	return state
}

// Offer puts doc in force if it is newer than what is, and says whether it was.
func (f *Follower) Offer(doc Document) bool { return f.offer(doc, SourcePeer) }

func (f *Follower) offer(doc Document, source Source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.current.Load()
	if doc.Revision == 0 || (now != nil && doc.Revision <= now.Revision) {
		if now != nil && doc.Revision < now.Revision {
			Ignored.Inc(ignoredOlder)
			events.ConfigOlderIgnored.Log(f.logger, "offered", doc.Revision, "in_force", now.Revision, "source", source)
		}
		return false
	}
	f.current.Store(NewSnapshot(doc))
	Sources.Inc(string(source))
	events.ConfigInForce.Log(f.logger, "revision", doc.Revision, "source", source)
	return true
}

// receive takes a document from a peer.
func (f *Follower) receive(version uint64, value []byte) {
	if now := f.current.Load(); now != nil && version <= now.Revision {
		return
	}
	doc, err := Decode(value)
	if err != nil {
		f.refuse(err, SourcePeer)
		return
	}
	f.Offer(doc)
}

// learn takes a document from the store and spreads it if it is newer.
func (f *Follower) learn(value []byte) {
	doc, err := Decode(value)
	if err != nil {
		f.refuse(err, SourceStore)
		return
	}
	if f.offer(doc, SourceStore) && f.spreader != nil {
		f.spreader.Set(SpreadName, doc.Revision, value)
	}
}

func (f *Follower) refuse(err error, source Source) {
	Ignored.Inc(ignoredCorrupt)
	events.ConfigCorrupt.Log(f.logger, "source", source, "error", err)
}

// read asks the store once and returns the version that it answered, also
// when the document there is corrupt.
func (f *Follower) read(ctx context.Context, call string) (kv.Version, error) {
	Reads.Inc(call)
	entry, err := f.store.Get(ctx, Key)
	if reason := kv.ReasonOf(err); reason != "" && reason != kv.ReasonNotFound {
		return 0, err
	}
	f.answered()
	if err == nil {
		f.learn(entry.Value)
	}
	return entry.Version, nil
}

func (f *Follower) answered() { f.checked.Store(time.Now().UnixNano()) }
