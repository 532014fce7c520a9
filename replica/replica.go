// Package replica keeps a local copy of the keys under a prefix of the
// key-value service. It follows the service by a watch; while the service does
// not answer this host, it asks peers for a newer copy.
//
// It leaves the meaning of keys and values to its subscribers.
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

// Updates counts newer copies by where they were learned.
var Updates = metrics.New("replica_updates_total", "Newer copies of a prefix, by where they were learned.")

// Failures counts failed reads of the service and of peers, by reason.
var Failures = metrics.New("replica_failures_total", "Failed reads for a copy, by reason.")

const (
	labelList  = "list"
	labelWatch = "watch"
	labelPeer  = "peer"
	labelAsk   = "peer_unreachable"
	labelStale = "peer_stale"
	labelPack  = "packing"
	labelPanic = "subscriber_panic"
	// labelCutOff: a host was without the service that others read meanwhile, or
	// for too short a time to call it an outage.
	labelCutOff = "no_outage"

	// retryDelay is the mean pause after a failed read of the service; it is
	// short against the 2 s in which a new configuration must be in force.
	retryDelay = 250 * time.Millisecond
	// readTimeout bounds one list: the service answers in some ms.
	readTimeout = time.Second
	// peerWaitPart of the time of a watch bounds one question to a peer, so that
	// one that is cut off is noticed soon after its copy is too old.
	peerWaitPart = 4
	// pausePart of the time of a watch passes between two watches that bring
	// changes: those of that time come together.
	pausePart = 12
	// startWait bounds the question of a host without a copy: it is not ready
	// before it has one, and others that start have none.
	startWait = 100 * time.Millisecond
	// peerTries is how many peers are asked for a fresh copy in a row.
	peerTries = 3
)

// View is an immutable copy of a prefix.
type View struct {
	Entries map[string]kv.Entry
	// Revision of the service that the copy has reached.
	Revision kv.Version
	// ReadAt is when the service last confirmed the copy; zero for one that
	// was learned from a peer only.
	ReadAt time.Time
	// Deleted are the latest deletions, in order; every one after Complete is
	// among them.
	Deleted  []Deletion
	Complete kv.Version
	// OutageBegan and OutageEnded bound the service's last outage that is over,
	// on this host's clock; zero for none.
	OutageBegan, OutageEnded time.Time
}

// Deletion is a key that was removed.
type Deletion struct {
	Key      string     `cbor:"1,keyasint"`
	Revision kv.Version `cbor:"2,keyasint"`
}

// maxDeletions bounds the deletions that a view remembers.
const maxDeletions = 512

// Peers asks other hosts for their copies.
type Peers interface {
	// Depth is how many hosts a change passes on its way to this one: 0 for those
	// that read the service for the others.
	Depth() int
	// Newer returns what has changed after a revision at one of the hosts whose
	// copies this one follows, and waits for a change for up to the given time.
	// turn selects the host: the next one is asked with the next number.
	Newer(ctx context.Context, turn int, prefix string, after kv.Version, wait time.Duration) (*Change, error)
}

// Replica follows one prefix. Use New.
type Replica struct {
	store  kv.Store
	prefix string
	wait   time.Duration
	peers  Peers
	logger hclog.Logger

	current atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}] // closed when the entries change
	mu      sync.Mutex                    // orders updates and their notifications
	notify  []func(*View)
	packed  packer

	turn      int       // of the peer that answered last; used by Run alone
	failing   time.Time // since when reads fail; zero when they do not
	confirmed time.Time // when the service last confirmed a peer's copy
	outage    outage
}

// New returns a replica without a view. A watch waits for the given time;
// peers may be nil.
func New(store kv.Store, prefix string, wait time.Duration, peers Peers, logger hclog.Logger) *Replica {
	r := &Replica{store: store, prefix: prefix, wait: wait, peers: peers, logger: logger}
	changed := make(chan struct{})
	r.changed.Store(&changed)
	return r
}

// Current returns the newest view; nil before the first.
func (r *Replica) Current() *View { return r.current.Load() }

// Subscribe calls notify with each new view, one at a time. It is called
// before Run.
func (r *Replica) Subscribe(notify func(*View)) { r.notify = append(r.notify, notify) }

// Run follows the prefix until ctx ends: by the service itself while this host
// reads it for the others or finds none of those, and by those otherwise.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.peers != nil && r.peers.Depth() > 0 {
			if r.followPeer(ctx) {
				continue
			}
			// Hundreds of hosts whose sources are busy would ask the service together.
			if view := r.current.Load(); view != nil && time.Since(view.ReadAt) < r.wait {
				wait.For(ctx, r.wait/pausePart)
				continue
			}
		}
		err := r.list(ctx)
		for err == nil && ctx.Err() == nil && (r.peers == nil || r.peers.Depth() == 0) {
			err = r.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if kv.ReasonOf(err) != kv.ReasonNotFound {
			r.failed(err)
		}
		r.askPeers(ctx)
		wait.For(ctx, retryDelay/2+rand.N(retryDelay))
	}
}

func (r *Replica) list(ctx context.Context) error {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, revision, err := r.store.List(call, r.prefix)
	if err != nil {
		return err
	}
	r.answered()
	byKey := make(map[string]kv.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	r.install(byKey, revision, began, labelList)
	return nil
}

func (r *Replica) watch(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	view := r.current.Load()
	changes, _, err := r.store.Watch(call, r.prefix, view.Revision)
	if err != nil {
		return err
	}
	r.answered()
	if len(changes) == 0 {
		// The revision stays that of the last change: a change that the service
		// reports late is then still among those after it.
		r.confirm(view.Revision, time.Now())
		return nil
	}
	byKey := make(map[string]kv.Entry, len(view.Entries)+len(changes))
	maps.Copy(byKey, view.Entries)
	// What the service has reached may lie beyond a change that it reports late:
	// the copy has reached no more than the changes that it holds.
	revision := view.Revision
	for _, change := range changes {
		revision = max(revision, change.Version)
		if change.Deleted {
			delete(byKey, change.Key)
		} else {
			byKey[change.Key] = change.Entry
		}
	}
	r.install(byKey, revision, time.Now(), labelWatch)
	wait.For(ctx, r.wait/pausePart)
	return nil
}

// install replaces the view, unless the known one is newer.
func (r *Replica) install(entries map[string]kv.Entry, revision kv.Version, readAt time.Time, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.current.Load(); old != nil && revision < old.Revision {
		return
	}
	Updates.Inc(source)
	view := &View{Entries: entries, Revision: revision, ReadAt: readAt, OutageBegan: r.outage.began, OutageEnded: r.outage.ended}
	view.remember(r.current.Load())
	r.current.Store(view)
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
	for _, notify := range r.notify {
		r.call(notify, view)
	}
}

// call tells a subscriber of a view. One that panics over a value of another
// writer keeps what it made of the view before; every host reads the same value,
// so that the panic would end all of them at once, again and again.
func (r *Replica) call(notify func(*View), view *View) {
	defer func() {
		if cause := recover(); cause != nil {
			Failures.Inc(labelPanic)
			events.ReplicaPanic.Log(r.logger, "prefix", r.prefix, "revision", uint64(view.Revision), "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	notify(view)
}

// confirm notes that nothing has changed up to a revision.
func (r *Replica) confirm(revision kv.Version, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	next := *old
	next.Revision, next.ReadAt = max(revision, old.Revision), readAt
	next.OutageBegan, next.OutageEnded = r.outage.began, r.outage.ended
	r.current.Store(&next)
}

// remember adds what was removed since the view before.
func (v *View) remember(old *View) {
	if old == nil {
		v.Complete = v.Revision
		return
	}
	v.Complete = old.Complete
	v.Deleted = slices.Clone(old.Deleted)
	for key := range old.Entries {
		if _, there := v.Entries[key]; !there {
			v.Deleted = append(v.Deleted, Deletion{Key: key, Revision: v.Revision})
		}
	}
	if drop := len(v.Deleted) - maxDeletions; drop > 0 {
		v.Complete = v.Deleted[drop-1].Revision
		v.Deleted = slices.Delete(v.Deleted, 0, drop)
	}
}
