package replica

import (
	"bytes"
	"context"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
)

// Retained counts values that stayed in a copy although the key-value service has another value or none, by where
// the retained value came from.
var Retained = metrics.New("replica_retained_total", "Values that stayed in a copy although the key-value service has another value or none, by source.")

const labelOwn = "own"

// Retain registers a function that reports whether the value that a host has for a key stays in its copy, in
// place of the next value. The next entry has version 0 if the key does not exist any more. If the key-value
// service comes back from an older copy, a value that was in force thus remains known to all hosts, also to
// those that start then, until its writer has written it again. Retain must be called before Run.
func (r *Replica) Retain(retain func(held, next kv.Entry) bool) { r.retain = retain }

// retainValues replaces the values in next by those in held that stay. A retained value has the version of
// the one that it replaces, so that the copies of other hosts get it as that version.
func (r *Replica) retainValues(held, next map[string]kv.Entry) {
	if r.retain == nil {
		return
	}
	for key, e := range held {
		r.retainValue(e, next, key, labelOwn)
	}
}

func (r *Replica) retainValue(held kv.Entry, next map[string]kv.Entry, key, source string) {
	replacement, exists := next[key]
	if bytes.Equal(held.Value, replacement.Value) || !r.retain(held, replacement) {
		return
	}
	Retained.Inc(source)
	events.ReplicaRetained.Log(r.logger, "prefix", r.prefix, "key", key, "revision", uint64(replacement.Version), "source", source)
	if exists {
		held.Version, held.Lease = replacement.Version, replacement.Lease
	}
	next[key] = held
}

// retainFromPeers replaces the values that a host without a copy has listed by those in peers' copies that
// stay.
func (r *Replica) retainFromPeers(ctx context.Context, listed map[string]kv.Entry) {
	if r.retain == nil || r.peers == nil {
		return
	}
	for range peerTries {
		change, err := r.peers.Newer(ctx, r.peerIndex, r.prefix, 0, 0)
		r.peerIndex++
		if err != nil {
			Failures.Inc(labelPeerUnreachable)
			continue
		}
		if change == nil {
			return
		}
		for _, e := range change.Entries {
			r.retainValue(e, listed, e.Key, labelPeer)
		}
	}
}
