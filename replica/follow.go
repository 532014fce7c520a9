package replica

import (
	"context"
	"maps"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

// copyFromPeer requests changes from one peer and applies them, for use while the key-value service
// does not answer this host. A fresh copy of the peer confirms that of this host.
func (r *Replica) copyFromPeer(ctx context.Context) {
	if r.peers == nil {
		return
	}
	after := r.revision()
	requestedAt := time.Now()
	change, err := r.peers.Newer(ctx, r.peerIndex, r.prefix, after, 0)
	if err != nil {
		Failures.Inc(labelPeerUnreachable)
		r.peerIndex++
		return
	}
	if change != nil && change.Revision > 0 {
		r.mu.Lock()
		r.peerConfirmedAt = latest(r.peerConfirmedAt, change.confirmedAt(requestedAt))
		r.mu.Unlock()
	}
	if change == nil || change.Revision == 0 {
		return
	}
	if change.Revision > after {
		events.ReplicaFromPeer.Log(r.logger, "prefix", r.prefix, "revision", uint64(change.Revision), "known", uint64(after))
		r.apply(change, requestedAt)
	}
	if known := r.revision(); known != 0 && r.isFresh(change, known) {
		r.confirm(max(change.Revision, known), change.confirmedAt(requestedAt))
		return
	}
	r.peerIndex++
}

// followPeer updates the copy once from a peer's copy; a host without a copy fetches the whole
// one. It returns false if none of the peers that were tried has a fresh copy, or once its own copy is
// too old: the key-value service is read next, and each peer may take a whole timeout.
func (r *Replica) followPeer(ctx context.Context) bool {
	known := r.revision()
	peerWait, tries := r.peerWait(), peerTries
	if known == 0 { // a host that just started reads the key-value service if this try fails
		peerWait, tries = initialPeerWait, 1
	}
	for range tries {
		if r.tooOld() {
			return false
		}
		requestedAt := time.Now()
		change, err := r.peers.Newer(ctx, r.peerIndex, r.prefix, known, peerWait)
		peerWait = 0 // the next peer answers at once, without waiting for a change
		if err != nil || change == nil || change.Revision == 0 {
			Failures.Inc(labelPeerUnreachable)
			r.peerIndex++
			continue
		}
		if change.Revision > known && !change.empty() {
			r.apply(change, requestedAt)
			known = r.revision()
		}
		if known == 0 || !r.isFresh(change, known) {
			Failures.Inc(labelPeerStale)
			r.peerIndex++
			continue
		}
		r.recordSuccess()
		r.confirm(max(change.Revision, known), change.confirmedAt(requestedAt))
		return true
	}
	return false
}

// isFresh reports whether a peer's copy confirms that nothing has changed since a known revision. A copy
// of an older era does not: the key-value service has come back from an older copy since.
func (r *Replica) isFresh(change *Change, known kv.Version) bool {
	return change.age() <= r.maxPeerAge() && change.Revision.Era() >= known.Era()
}

// tooOld reports whether the copy is older than that of a healthy host.
func (r *Replica) tooOld() bool {
	view := r.current.Load()
	return view != nil && time.Since(view.ReadAt) > r.maxPeerAge()
}

// maxPeerAge returns the age up to which a peer's copy counts as fresh. Each host between this one and
// the key-value service may delay its answer by up to watchTimeout/peerWaitDivisor, which adds to the age
// of a healthy copy.
func (r *Replica) maxPeerAge() time.Duration {
	return r.watchTimeout + time.Duration(max(0, r.peers.Depth()-1))*r.watchTimeout/peerWaitDivisor
}

// peerWait returns how long the next peer may wait for a change. A copy that is about to be too old gets
// no further wait: the peer may be gone, and the time to ask others comes on top.
func (r *Replica) peerWait() time.Duration {
	wait := r.watchTimeout / peerWaitDivisor
	if view := r.current.Load(); view != nil {
		wait = min(wait, max(minPeerWait, r.maxPeerAge()-time.Since(view.ReadAt)))
	}
	return wait
}

// revision returns the revision of the current view; 0 if there is none.
func (r *Replica) revision() kv.Version {
	if view := r.current.Load(); view != nil {
		return view.Revision
	}
	return 0
}

// apply installs a change that a peer returned for the request sent at requestedAt.
func (r *Replica) apply(change *Change, requestedAt time.Time) {
	var ended time.Time
	if change.OutageAgoMS > 0 {
		ended = requestedAt.Add(-time.Duration(change.OutageAgoMS) * time.Millisecond)
		reported := outage{began: ended.Add(-time.Duration(change.OutageForMS) * time.Millisecond), ended: ended}
		confirmed := time.Time{}
		if view := r.current.Load(); view != nil {
			confirmed = view.ReadAt
		}
		r.mu.Lock()
		r.recordOutage(reported, confirmed)
		r.mu.Unlock()
	}
	entries := map[string]kv.Entry{}
	if view := r.current.Load(); view != nil && !change.Full {
		maps.Copy(entries, view.Entries)
	}
	complete := change.Revision
	if view := r.current.Load(); view != nil && !change.Full && !change.AllKeys {
		complete = view.Complete
	}
	for _, d := range change.Deleted {
		deleteUpTo(entries, d.Key, d.Revision)
	}
	if change.AllKeys {
		present := make(map[string]bool, len(change.Keys))
		for _, key := range change.Keys {
			present[key] = true
		}
		maps.DeleteFunc(entries, func(key string, _ kv.Entry) bool { return !present[key] })
	}
	for _, e := range change.Entries {
		putNewer(entries, e)
	}
	r.install(copied{
		entries: entries, revision: change.Revision, readAt: change.confirmedAt(requestedAt), deleted: change.Deleted, complete: complete, source: labelPeer,
		restoredAt: ended,
	})
}
