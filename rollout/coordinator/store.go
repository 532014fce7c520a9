package coordinator

import (
	"bytes"
	"context"
	"math/rand/v2"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/rollout/agent"
)

// purpose labels the calls to the store of this package. They decide whether requests reach a bad version.
var purpose = kv.Purpose{Name: "rollout", Priority: kv.PrioritySafety}

// needsStore reports whether the record has to be read or written, or the status to be written.
func (c *course) needsStore() bool {
	return !c.loaded || c.wanted != nil || c.statusDue()
}

// statusDue reports whether the status has to be written. That of a rollback is written when no host sends requests
// to the target any more.
func (c *course) statusDue() bool {
	switch {
	case c.record == nil || c.published == c.version:
		return false
	case c.record.Phase == rollout.PhaseRolledBack:
		return c.Now().Sub(c.record.Since) >= haltSpan || c.allHalted()
	default:
		return true
	}
}

// allHalted reports whether all listed hosts have reported that they send nothing to the target.
func (c *course) allHalted() bool {
	halted := map[string]bool{}
	for _, r := range c.processes {
		if r.Revision == c.record.Revision && r.Applied == rollout.PhaseRolledBack {
			halted[r.Host] = true
		}
	}
	for _, m := range c.Members().Members {
		if !halted[m.ID] {
			return false
		}
	}
	return true
}

// store reads or writes the record, and writes the status that is derived from the stored record.
func (c *course) store(ctx context.Context) {
	ctx = kv.WithPurpose(ctx, purpose)
	c.mu.Lock()
	loaded, wanted, expect := c.loaded, c.wanted, c.version
	c.mu.Unlock()
	switch {
	case !loaded:
		c.read(ctx)
	case wanted != nil:
		c.write(ctx, *wanted, expect)
	}
	c.mu.Lock()
	record, version, due := c.record, c.version, c.statusDue()
	c.mu.Unlock()
	written := due && c.publish(ctx, *record, version)
	c.mu.Lock()
	defer c.mu.Unlock()
	if written {
		c.published = version
	}
	c.storing = false
}

// read reads the stored record.
func (c *course) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := c.Store.Get(ctx, agent.RecordPrefix+c.pool)
	var record *agent.Record
	switch {
	case kv.ReasonOf(err) == kv.ReasonNotFound:
	case err != nil:
		c.logFailure("read", err)
		return
	default:
		r, err := agent.DecodeRecord(entry.Key, entry.Value)
		if err != nil {
			// The value was not written by a coordinator. The next write replaces it.
			events.RolloutInvalid.Log(c.Logger, "source", "record", "error", err)
		} else {
			record = &r
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load(record, entry.Version)
}

// write stores a record, provided that the stored one is still the one that was read.
func (c *course) write(ctx context.Context, next agent.Record, expect kv.Version) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next.Writer, next.Nonce = c.Host, rand.Uint64()
	value, err := agent.EncodeRecord(next)
	if err != nil {
		c.logFailure("encode", err)
		return
	}
	if !c.term.Valid() {
		return
	}
	w := kv.Write{Key: agent.RecordPrefix + c.pool, Value: value, Expect: expect}
	result := kv.Swap(ctx, c.Store, w, func(entry kv.Entry) kv.Match {
		stored, err := agent.DecodeRecord(entry.Key, entry.Value)
		if err == nil && stored.Nonce == next.Nonce && stored.Writer == next.Writer {
			return kv.MatchOwn
		}
		return kv.MatchUnknown
	})
	Writes.Inc("record_" + string(result.Outcome))
	c.mu.Lock()
	defer c.mu.Unlock()
	if result.Outcome != kv.OutcomeApplied {
		c.loaded = false // another coordinator may have written
		c.logFailure("write", result.Cause)
		return
	}
	c.stored(next, result.Version)
}

// stored takes over a record that this coordinator has stored. The caller holds c.mu.
func (c *course) stored(next agent.Record, version kv.Version) {
	before := c.record
	samePhase := before != nil && before.Phase == next.Phase && before.Revision == next.Revision
	if samePhase && c.published == c.version {
		c.published = version // the status is the same
	}
	c.load(&next, version)
	c.changed, c.savedAt = false, c.Elapsed()
	if samePhase {
		return
	}
	Phases.Inc(string(next.Phase))
	all := next.Evidence(nil)
	for _, evidence := range next.Reports {
		all.Add(evidence)
	}
	target, old := int64(0), int64(0)
	for key, counts := range all {
		if key.Version == next.Target {
			target += counts.Ended
		} else {
			old += counts.Ended
		}
	}
	events.RolloutDecided.Log(c.Logger, "pool", c.pool, "target", next.Target, "revision", next.Revision, "phase", string(next.Phase),
		"reason", next.Reason, "old", next.Old, "at_ms", c.Now().Sub(next.Started).Milliseconds(), "target_ended", target, "old_ended", old, "fence", c.term.Fence)
}

// publish writes the status of a stored record unless it is written already. It returns true if the status is
// known to be that of the record with the given version.
func (c *course) publish(ctx context.Context, r agent.Record, version kv.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, value, err := c.Status(r.Record)
	if err != nil {
		c.logFailure("encode", err)
		return false
	}
	// The status is read before the record is checked. A status that a successor derives from a later record
	// is then written after the status was read, so that the write below fails.
	status, err := c.Store.Get(ctx, key)
	if err != nil && kv.ReasonOf(err) != kv.ReasonNotFound {
		c.logFailure("status", err)
		return false
	}
	stored, err := c.Store.Get(ctx, agent.RecordPrefix+c.pool)
	if err != nil || stored.Version != version {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.loaded = false
		c.logFailure("status", err)
		return false
	}
	if bytes.Equal(status.Value, value) {
		return true
	}
	if _, err := c.Store.CompareAndSwap(ctx, kv.Write{Key: key, Value: value, Expect: status.Version}); err != nil {
		Writes.Inc("status_failed")
		c.logFailure("status", err)
		return false
	}
	Writes.Inc("status_written")
	events.RolloutPublished.Log(c.Logger, "pool", c.pool, "target", r.Target, "revision", r.Revision, "phase", string(r.Phase), "fence", c.term.Fence)
	return true
}

func (c *course) logFailure(op string, err error) {
	events.RolloutStore.Log(c.Logger, "pool", c.pool, "op", op, "fence", c.term.Fence, "error", err)
}
