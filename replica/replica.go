// Package replica keeps a local copy of the keys under a prefix of the
// key-value service. It follows the service by a watch; while the service does
// not answer this host, it asks peers for a newer copy.
//
// It leaves the meaning of keys and values to its subscribers.
package replica

import (
	"context"
	"math/rand/v2"
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

	// retryDelay is the mean pause after a failed read of the service; it is
	// short against the 2 s in which a new configuration must be in force.
	retryDelay = 250 * time.Millisecond
	// readTimeout bounds one list: the service answers in some ms.
	readTimeout = time.Second
	// outageSpan is how long reads must fail before their end counts as the
	// end of an outage; one failed call is not one.
	outageSpan = time.Second
)

// View is an immutable copy of a prefix.
type View struct {
	Entries map[string]kv.Entry
	// Revision of the service that the copy has reached.
	Revision kv.Version
	// ReadAt is when the service last confirmed the copy; zero for one that
	// was learned from a peer only.
	ReadAt time.Time
	// OutageEnded is when the service last answered again after an outage, on
	// this host's clock; zero for never.
	OutageEnded time.Time
}

// Peers asks other hosts for their copies.
type Peers interface {
	// Newer returns the copy of some peer if its revision is above after.
	Newer(ctx context.Context, prefix string, after kv.Version) (map[string]kv.Entry, kv.Version, error)
}

// Replica follows one prefix. Use New.
type Replica struct {
	store  kv.Store
	prefix string
	wait   time.Duration
	peers  Peers
	logger hclog.Logger

	current atomic.Pointer[View]
	mu      sync.Mutex // orders updates and their notifications
	notify  []func(*View)

	failing     time.Time // since when reads fail; zero when they do not
	outageEnded time.Time
}

// New returns a replica without a view. A watch waits for the given time;
// peers may be nil.
func New(store kv.Store, prefix string, wait time.Duration, peers Peers, logger hclog.Logger) *Replica {
	return &Replica{store: store, prefix: prefix, wait: wait, peers: peers, logger: logger}
}

// Current returns the newest view; nil before the first.
func (r *Replica) Current() *View { return r.current.Load() }

// Subscribe calls notify with each new view, one at a time. It is called
// before Run.
func (r *Replica) Subscribe(notify func(*View)) { r.notify = append(r.notify, notify) }

// Run follows the prefix until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.list(ctx)
		for err == nil && ctx.Err() == nil {
			err = r.watch(ctx)
		}
		if ctx.Err() != nil {
			return
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
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	view := r.current.Load()
	changes, reached, err := r.store.Watch(call, r.prefix, view.Revision)
	if err != nil {
		return err
	}
	r.answered()
	if len(changes) == 0 {
		r.confirm(max(reached, view.Revision), began)
		return nil
	}
	byKey := make(map[string]kv.Entry, len(view.Entries)+len(changes))
	for key, e := range view.Entries {
		byKey[key] = e
	}
	for _, change := range changes {
		if change.Deleted {
			delete(byKey, change.Key)
		} else {
			byKey[change.Key] = change.Entry
		}
	}
	r.install(byKey, max(reached, view.Revision), began, labelWatch)
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
	view := &View{Entries: entries, Revision: revision, ReadAt: readAt, OutageEnded: r.outageEnded}
	r.current.Store(view)
	for _, notify := range r.notify {
		notify(view)
	}
}

// confirm notes that nothing has changed up to a revision.
func (r *Replica) confirm(revision kv.Version, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	r.current.Store(&View{Entries: old.Entries, Revision: max(revision, old.Revision), ReadAt: readAt, OutageEnded: r.outageEnded})
}

// failed notes a failed read; the first of a row is logged.
func (r *Replica) failed(err error) {
	Failures.Inc(string(kv.ReasonOf(err)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing.IsZero() {
		return
	}
	r.failing = time.Now()
	revision := kv.Version(0)
	if view := r.current.Load(); view != nil {
		revision = view.Revision
	}
	events.ReplicaLost.Log(r.logger, "prefix", r.prefix, "revision", uint64(revision), "error", err)
}

// answered notes that the service answered.
func (r *Replica) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing.IsZero() {
		return
	}
	span := time.Since(r.failing)
	r.failing = time.Time{}
	if span >= outageSpan {
		r.outageEnded = time.Now()
	}
	events.ReplicaRegained.Log(r.logger, "prefix", r.prefix, "after_ms", span.Milliseconds())
}

// askPeers takes over a newer copy of a peer.
func (r *Replica) askPeers(ctx context.Context) {
	if r.peers == nil {
		return
	}
	after := kv.Version(0)
	if view := r.current.Load(); view != nil {
		after = view.Revision
	}
	entries, revision, err := r.peers.Newer(ctx, r.prefix, after)
	if err != nil {
		Failures.Inc(labelAsk)
		return
	}
	if revision <= after {
		return
	}
	events.ReplicaFromPeer.Log(r.logger, "prefix", r.prefix, "revision", uint64(revision), "known", uint64(after))
	r.install(entries, revision, time.Time{}, labelPeer)
}
