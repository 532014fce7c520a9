// Package replica maintains a local copy of the keys under a prefix of the
// key-value service. It updates the copy by watches, either on the service
// itself or on the copies of other hosts. While the service does not answer
// this host, the package fetches newer copies from other hosts.
//
// The package does not interpret keys and values; its subscribers do.
package replica

import (
	"context"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/wait"
)

// Updates counts installed copies of a key prefix by their source: list, watch or peer.
var Updates = metrics.New("replica_updates_total", "Installed copies of a key prefix, by source.")

// Failures counts failed reads of the key-value service and of other hosts' copies, by reason.
var Failures = metrics.New("replica_failures_total", "Failed reads of the key-value service or of a peer's copy, by reason.")

const (
	labelList            = "list"
	labelWatch           = "watch"
	labelPeer            = "peer"
	labelPeerUnreachable = "peer_unreachable"
	labelPeerStale       = "peer_stale"
	labelPacking         = "packing"
	labelSubscriberPanic = "subscriber_panic"
	// labelNoOutage counts periods of failed reads that are not recorded as an outage of the
	// key-value service, because other hosts could read it or because the period was too short.
	labelNoOutage = "no_outage"

	// retryDelay is the mean pause after a failed read of the key-value service. It is short
	// compared with the 2 s within which a new configuration must be in force.
	retryDelay = 250 * time.Millisecond
	// listTimeout bounds the wait for each page of a list from the key-value service, which answers in a few ms.
	listTimeout = time.Second
	// peerWaitDivisor divides the watch timeout: a peer delays its answer for at most a third of
	// it. A peer that is cut off from the key-value service is thus detected soon after its copy
	// has become too old.
	peerWaitDivisor = 3
	// pauseDivisor divides the watch timeout: after a watch that returned changes, the next watch
	// starts an eighth of the timeout later and returns the changes of that pause together.
	pauseDivisor = 8
	// initialPeerWait is how long a peer may delay its answer to a host that has no copy yet. The
	// host is not ready without a copy, and a peer that has just started has none to send.
	initialPeerWait = 100 * time.Millisecond
	// minPeerWait is the least time for which a peer may delay its answer to a host that has a copy.
	minPeerWait = 100 * time.Millisecond
	// peerTries is how many peers a host tries in a row for a fresh copy.
	peerTries = 3
)

// View is an immutable copy of the keys under a prefix of the key-value service.
type View struct {
	// Entries maps each key under the prefix to its entry.
	Entries map[string]kv.Entry
	// Revision is the newest revision of the key-value service that the copy includes.
	Revision kv.Version
	// ReadAt is when the key-value service last confirmed the copy, to this host or to the peer
	// that the copy came from, on this host's clock.
	ReadAt time.Time
	// Source is how the entries were read: list, watch or peer.
	Source string
	// Deleted lists the latest deletions in the order of their revisions, also those of keys that
	// this copy never had: another host's copy may have them. It includes every deletion with a
	// revision after Complete.
	Deleted []Deletion
	// Complete is the revision after which Deleted lists every deletion.
	Complete kv.Version
	// OutageBegan and OutageEnded bound the last finished outage of the key-value service, on
	// this host's clock; both are zero if there was none. A rise of the era ends an outage.
	OutageBegan, OutageEnded time.Time
}

// Deletion records a deleted key and the revision at which its deletion was observed.
type Deletion struct {
	Key      string     `cbor:"1,keyasint"`
	Revision kv.Version `cbor:"2,keyasint"`
}

// maxDeletions is how many deletions a view lists at most.
const maxDeletions = 512

// Peers fetches changes from the copies of other hosts.
type Peers interface {
	// Depth returns the number of hosts that a change passes through before it reaches this host:
	// 0 for a host that reads the key-value service on behalf of the others.
	Depth() int
	// Newer returns the changes after a revision from the copy of one peer; the peer waits for a
	// change for up to the given time. Consecutive values of peerIndex select consecutive peers.
	Newer(ctx context.Context, peerIndex int, prefix string, after kv.Version, wait time.Duration) (*Change, error)
}

// Replica maintains a copy of one key prefix. Use New.
type Replica struct {
	store        kv.Store
	prefix       string
	watchTimeout time.Duration
	peers        Peers
	logger       hclog.Logger

	current     atomic.Pointer[View]
	changed     atomic.Pointer[chan struct{}] // the channel is closed when the entries change
	mu          sync.Mutex                    // serializes updates and the calls of subscribers
	subscribers []func(*View)
	retain      func(held, next kv.Entry) bool // nil if no value is retained
	packed      packer

	peerIndex       int       // selects the peer for the next request; accessed by Run only
	failingSince    time.Time // time of the first failed read in a row; zero while reads succeed
	peerConfirmedAt time.Time // when the key-value service last confirmed a peer's copy
	outage          outage
}

// New returns a replica without a view. A watch on the key-value service waits for a change for
// up to watchTimeout. Peers may be nil if there are no other hosts to copy from.
func New(store kv.Store, prefix string, watchTimeout time.Duration, peers Peers, logger hclog.Logger) *Replica {
	r := &Replica{store: store, prefix: prefix, watchTimeout: watchTimeout, peers: peers, logger: logger}
	changed := make(chan struct{})
	r.changed.Store(&changed)
	return r
}

// Current returns the newest view; it returns nil until the first copy is installed.
func (r *Replica) Current() *View { return r.current.Load() }

// Subscribe registers notify to be called with each new view, one call at a time. All
// subscribers must be registered before Run is called.
func (r *Replica) Subscribe(notify func(*View)) { r.subscribers = append(r.subscribers, notify) }

// Run updates the copy until ctx ends. It reads the key-value service directly if this host is
// one of its readers (Depth 0) or if no peer has a fresh copy; otherwise it reads peers' copies.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.peers != nil && r.peers.Depth() > 0 {
			if r.followPeer(ctx) {
				continue
			}
			// While the copy is fresh, the host does not read the key-value service: hundreds of
			// hosts whose peers are busy would read it at the same time.
			if view := r.current.Load(); view != nil && time.Since(view.ReadAt) < r.watchTimeout {
				wait.For(ctx, r.watchTimeout/pauseDivisor)
				continue
			}
		}
		err := r.list(ctx)
		listed := err == nil
		for err == nil && ctx.Err() == nil && (r.peers == nil || r.peers.Depth() == 0) {
			err = r.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if kv.ReasonOf(err) == kv.ReasonNotFound { // the history is gone, so that the next list has what changed
			wait.For(ctx, r.watchTimeout/pauseDivisor)
			continue
		}
		r.recordFailure(err)
		if listed { // a watch that failed says nothing about the next list
			wait.For(ctx, r.watchTimeout/pauseDivisor)
			continue
		}
		r.copyFromPeer(ctx)
		wait.For(ctx, retryDelay/2+rand.N(retryDelay))
	}
}

func (r *Replica) list(ctx context.Context) error {
	began := time.Now()
	call, cancel := kv.WithPageTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := r.store.List(call, r.prefix)
	if err != nil {
		return err
	}
	r.recordSuccess()
	byKey := make(map[string]kv.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	if r.current.Load() == nil && revision.Era() > 0 {
		r.retainFromPeers(ctx, byKey)
	}
	r.install(copied{entries: byKey, revision: revision, readAt: began, complete: revision, source: labelList})
	return nil
}

func (r *Replica) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, r.watchTimeout)
	defer cancel()
	view := r.current.Load()
	changes, _, err := r.store.Watch(call, r.prefix, view.Revision)
	if err != nil {
		return err
	}
	r.recordSuccess()
	if len(changes) == 0 {
		// The view's revision stays at the last change, even if the watch returned a higher one:
		// the next watch then includes a change that the key-value service reports late.
		r.confirm(view.Revision, time.Now())
		return nil
	}
	byKey := make(map[string]kv.Entry, len(view.Entries)+len(changes))
	maps.Copy(byKey, view.Entries)
	var deleted []Deletion
	// The new revision is that of the newest change received, not the one that the watch
	// returned: the latter may be higher than a change that the key-value service reports late.
	revision := view.Revision
	for _, change := range changes {
		revision = max(revision, change.Version)
		if change.Deleted {
			deleted = append(deleted, Deletion{Key: change.Key, Revision: change.Version})
			deleteUpTo(byKey, change.Key, change.Version)
		} else {
			putNewer(byKey, change.Entry)
		}
	}
	r.install(copied{entries: byKey, revision: revision, readAt: time.Now(), deleted: deleted, complete: view.Complete, source: labelWatch})
	wait.For(ctx, r.watchTimeout/pauseDivisor)
	return nil
}

// putNewer adds an entry unless a newer version of it is there. The pages of a list are read one after
// the other, so that a copy has entries that are newer than its revision.
func putNewer(entries map[string]kv.Entry, e kv.Entry) {
	if entries[e.Key].Version <= e.Version {
		entries[e.Key] = e
	}
}

// deleteUpTo deletes an entry unless it was written after the revision of the deletion.
func deleteUpTo(entries map[string]kv.Entry, key string, revision kv.Version) {
	if entries[key].Version <= revision {
		delete(entries, key)
	}
}

// copied is a copy to install.
type copied struct {
	entries  map[string]kv.Entry
	revision kv.Version
	readAt   time.Time
	// deleted lists the deletions since the current view. All deletions after complete are in it or
	// in the current view.
	deleted  []Deletion
	complete kv.Version
	source   string
	// restoredAt is when the key-value service was found to have come back in the era of the copy, if a
	// peer told so; otherwise zero.
	restoredAt time.Time
}

// install replaces the current view and notifies the subscribers, unless the current view is newer.
func (r *Replica) install(c copied) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	if old != nil && c.revision < old.Revision {
		return
	}
	Updates.Inc(c.source)
	if old != nil {
		if c.revision.Era() > old.Revision.Era() {
			r.recordRestore(old.ReadAt, c.restoredAt)
		}
		r.retainValues(old.Entries, c.entries)
	}
	view := &View{
		Entries: c.entries, Revision: c.revision, ReadAt: c.readAt, Source: c.source, Complete: c.complete,
		OutageBegan: r.outage.began, OutageEnded: r.outage.ended,
	}
	if old != nil {
		view.Deleted = append(view.Deleted, old.Deleted...)
	}
	view.Deleted = append(view.Deleted, c.deleted...)
	view.trimDeletions()
	r.current.Store(view)
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
	for _, notify := range r.subscribers {
		r.notifySubscriber(notify, view)
	}
}

// notifySubscriber calls a subscriber with a view and recovers from its panics; the subscriber's
// state then stays as the previous view left it. Without the recovery, one unexpected value would
// crash all hosts at once and after each restart, because every host reads the same value.
func (r *Replica) notifySubscriber(notify func(*View), view *View) {
	defer func() {
		if cause := recover(); cause != nil {
			Failures.Inc(labelSubscriberPanic)
			events.ReplicaPanic.Log(r.logger, "prefix", r.prefix, "revision", uint64(view.Revision), "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	notify(view)
}

// confirm records that the key-value service confirmed the copy at readAt: nothing has changed up to
// the given revision.
func (r *Replica) confirm(revision kv.Version, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	next := *old
	next.Revision, next.ReadAt = max(revision, old.Revision), latest(old.ReadAt, readAt)
	next.OutageBegan, next.OutageEnded = r.outage.began, r.outage.ended
	r.current.Store(&next)
}

// trimDeletions removes the deletions up to Complete, and the oldest ones above maxDeletions.
func (v *View) trimDeletions() {
	if excess := len(v.Deleted) - maxDeletions; excess > 0 {
		v.Complete = max(v.Complete, v.Deleted[excess-1].Revision)
	}
	v.Deleted = slices.DeleteFunc(v.Deleted, func(d Deletion) bool { return d.Revision <= v.Complete })
}
