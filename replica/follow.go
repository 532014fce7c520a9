package replica

import (
	"context"
	"maps"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

// askPeers takes over a newer copy of a peer while the service does not answer.
func (r *Replica) askPeers(ctx context.Context) {
	if r.peers == nil {
		return
	}
	after := r.revision()
	asked := time.Now()
	change, err := r.peers.Newer(ctx, r.turn, r.prefix, after, 0)
	if err != nil {
		Failures.Inc(labelAsk)
		r.turn++
		return
	}
	if change != nil && change.Revision > 0 {
		r.mu.Lock()
		r.confirmed = latest(r.confirmed, change.confirmedAt(asked))
		r.mu.Unlock()
	}
	if change == nil || change.Revision <= after {
		return
	}
	events.ReplicaFromPeer.Log(r.logger, "prefix", r.prefix, "revision", uint64(change.Revision), "known", uint64(after))
	r.apply(change, time.Now())
}

// followPeer follows the copy of another host, once; false where none that was
// asked has one that is fresh. A host that starts takes a whole copy.
func (r *Replica) followPeer(ctx context.Context) bool {
	known := r.revision()
	held, tries := r.wait/peerWaitPart, peerTries
	if known == 0 { // the service is there for hosts that start
		held, tries = startWait, 1
	}
	for range tries {
		asked := time.Now()
		change, err := r.peers.Newer(ctx, r.turn, r.prefix, known, held)
		held = 0 // another one is asked only for what it has
		if err != nil || change == nil || change.Revision == 0 {
			Failures.Inc(labelAsk)
			r.turn++
			continue
		}
		if change.Revision > known && !change.empty() {
			r.apply(change, asked)
			known = r.revision()
		}
		// Each further host on the way may hold a question as long as this one.
		bound := r.wait + time.Duration(r.peers.Depth()-1)*r.wait/peerWaitPart
		if known == 0 || time.Duration(change.AgeMS)*time.Millisecond > bound {
			Failures.Inc(labelStale)
			r.turn++
			continue
		}
		r.answered()
		r.confirm(max(change.Revision, known), change.confirmedAt(asked))
		return true
	}
	return false
}

// revision returns what the copy has reached; 0 without one.
func (r *Replica) revision() kv.Version {
	if view := r.current.Load(); view != nil {
		return view.Revision
	}
	return 0
}

// apply installs what a peer knows.
func (r *Replica) apply(change *Change, asked time.Time) {
	if change.OutageAgoMS > 0 {
		ended := asked.Add(-time.Duration(change.OutageAgoMS) * time.Millisecond)
		told := outage{began: ended.Add(-time.Duration(change.OutageForMS) * time.Millisecond), ended: ended}
		confirmed := time.Time{}
		if view := r.current.Load(); view != nil {
			confirmed = view.ReadAt
		}
		r.mu.Lock()
		r.noteOutage(told, confirmed)
		r.mu.Unlock()
	}
	entries := map[string]kv.Entry{}
	if view := r.current.Load(); view != nil && !change.Full {
		maps.Copy(entries, view.Entries)
	}
	for _, d := range change.Deleted {
		if entries[d.Key].Version <= d.Revision {
			delete(entries, d.Key)
		}
	}
	if len(change.Keys) > 0 {
		there := make(map[string]bool, len(change.Keys))
		for _, key := range change.Keys {
			there[key] = true
		}
		maps.DeleteFunc(entries, func(key string, _ kv.Entry) bool { return !there[key] })
	}
	for _, e := range change.Entries {
		entries[e.Key] = e
	}
	r.install(entries, change.Revision, change.confirmedAt(asked), labelPeer)
}
