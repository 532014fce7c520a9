package order

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/kv"
)

const (
	// defaultSealSize is the default value of partitionLog.sealSize, in bytes.
	defaultSealSize = 128 << 10
	// maxBatchSize limits the total size of the log entries in one commit, in
	// bytes.
	maxBatchSize = 256 << 10
	// recentCommits is the number of latest commits whose nonces the head of a
	// log lists.
	recentCommits = 16
)

// logEntry is one order's record in a partition's log. A later entry of the same
// order replaces an earlier one.
type logEntry struct {
	ID     ID     `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

// segmentRef refers to a segment: log entries that were moved from the head of
// the log to a separate stored value.
type segmentRef struct {
	Name string `cbor:"1,keyasint"`
	// Newest is the latest key creation time among the orders in the segment.
	Newest time.Time `cbor:"2,keyasint"`
}

// head is the main stored value of a partition. It contains the partition's owner
// and the newest log entries. Each commit replaces it by compare-and-swap.
type head struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
	// Commits is the number of commits under all owners so far. Recent contains
	// the nonces of the last recentCommits commits.
	Commits  uint64            `cbor:"3,keyasint"`
	Recent   []uuid.UUID       `cbor:"4,keyasint"`
	Segments []segmentRef      `cbor:"5,keyasint,omitempty"`
	Entries  []cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

func (h *head) entriesSize() int {
	size := 0
	for _, e := range h.Entries {
		size += len(e)
	}
	return size
}

// next returns a copy of h with Commits incremented and a new nonce added to
// Recent.
func (h *head) next() head {
	out := *h
	out.Commits++
	out.Recent = append(slices.Clone(h.Recent), uuid.New())
	if len(out.Recent) > recentCommits {
		out.Recent = out.Recent[len(out.Recent)-recentCommits:]
	}
	out.Segments = slices.Clone(h.Segments)
	out.Entries = slices.Clone(h.Entries)
	return out
}

// matchEntry reports whether the stored head in entry contains the commit that
// created h. It returns MatchUnknown if the head cannot be decoded or so many
// commits have followed that Recent no longer lists the nonce of h.
func (h *head) matchEntry(entry kv.Entry) kv.Match {
	var stored head
	if cbor.Unmarshal(entry.Value, &stored) != nil {
		return kv.MatchUnknown
	}
	switch {
	case slices.Contains(stored.Recent, h.Recent[len(h.Recent)-1]):
		return kv.MatchOwn
	case stored.Commits < h.Commits+recentCommits:
		return kv.MatchOther
	default:
		return kv.MatchUnknown // the nonce of h may have been removed from stored.Recent
	}
}

// partitionLog is one host's copy of the order records of a partition, which are
// stored as a log. Only one goroutine at a time may use it.
type partitionLog struct {
	store  kv.Store
	prefix string
	clock  Clock
	// sealSize is the size in bytes that the entries in the head of the log must
	// reach before the next commit moves them to a separate stored value, a
	// segment.
	sealSize int

	head               head
	version            kv.Version
	records            map[ID]Record
	loadedSegments     map[string]bool // names of the segments whose entries are in records
	sealedSinceCleanup bool            // whether seal has run since the last deleteExpired call
}

func newPartitionLog(store kv.Store, prefix string, clock Clock) *partitionLog {
	return &partitionLog{store: store, prefix: prefix, clock: clock, sealSize: defaultSealSize, records: map[ID]Record{}, loadedSegments: map[string]bool{}}
}

func (l *partitionLog) headKey() string { return l.prefix + "head" }

func (l *partitionLog) segmentKey(name string) string { return l.prefix + "segment/" + name }

// load reads the partition's head and those segments that are not loaded yet. A
// missing head counts as an empty head of version 0.
func (l *partitionLog) load(ctx context.Context) error {
	entry, err := l.store.Get(ctx, l.headKey())
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		l.head, l.version = head{}, 0
		return nil
	}
	if err != nil {
		return err
	}
	if entry.Version < l.version {
		// The read was stale: it returned a version older than the loaded one.
		return &kv.Error{Op: "load", Key: entry.Key, Reason: kv.ReasonUnavailable}
	}
	var stored head
	if err := cbor.Unmarshal(entry.Value, &stored); err != nil {
		return err
	}
	for _, ref := range stored.Segments {
		if err := l.loadSegment(ctx, ref.Name); err != nil {
			return err
		}
	}
	if err := l.applyEntries(stored.Entries); err != nil {
		return err
	}
	l.head, l.version = stored, entry.Version
	return nil
}

func (l *partitionLog) loadSegment(ctx context.Context, name string) error {
	if l.loadedSegments[name] {
		return nil
	}
	entry, err := l.store.Get(ctx, l.segmentKey(name))
	if err != nil {
		return err
	}
	var entries []cbor.RawMessage
	if err := cbor.Unmarshal(entry.Value, &entries); err != nil {
		return err
	}
	if err := l.applyEntries(entries); err != nil {
		return err
	}
	l.loadedSegments[name] = true
	return nil
}

func (l *partitionLog) applyEntries(entries []cbor.RawMessage) error {
	for _, raw := range entries {
		var e logEntry
		if err := cbor.Unmarshal(raw, &e); err != nil {
			return err
		}
		l.records[e.ID] = e.Record
	}
	return nil
}

// commit appends entries to the log under the given owner and epoch, a number
// that increases with each change of owner. The service rejects the write if
// another host has committed since the log was loaded, because the version of the
// log has changed.
func (l *partitionLog) commit(ctx context.Context, owner string, epoch uint64, entries []logEntry) kv.Result {
	next := l.head.next()
	next.Owner, next.Epoch = owner, epoch
	if next.entriesSize() >= l.sealSize {
		if result := l.seal(ctx, &next); result.Outcome != kv.OutcomeApplied {
			return result
		}
	}
	for _, e := range entries {
		raw, err := cbor.Marshal(e)
		if err != nil {
			return kv.Result{Outcome: kv.OutcomeNotApplied, Cause: &kv.Error{Op: "encode", Reason: kv.ReasonInvalid, Cause: err}}
		}
		next.Entries = append(next.Entries, raw)
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return kv.Result{Outcome: kv.OutcomeNotApplied, Cause: &kv.Error{Op: "encode", Reason: kv.ReasonInvalid, Cause: err}}
	}
	w := kv.Write{Key: l.headKey(), Value: value, Expect: l.version}
	result := kv.Swap(ctx, l.store, w, next.matchEntry)
	if result.Outcome != kv.OutcomeApplied {
		return result
	}
	l.applyCommit(next, result, entries)
	return result
}

// applyCommit updates the host's copy of the log after a successful commit.
func (l *partitionLog) applyCommit(next head, result kv.Result, entries []logEntry) {
	l.head, l.version = next, result.Version
	for _, e := range entries {
		l.records[e.ID] = e.Record
	}
	for _, ref := range next.Segments {
		l.loadedSegments[ref.Name] = true
	}
}

// seal moves the entries of next to a new segment, a separate stored value. It
// also removes the references to segments past the retention period from next.
func (l *partitionLog) seal(ctx context.Context, next *head) kv.Result {
	value, err := cbor.Marshal(next.Entries)
	if err != nil {
		return kv.Result{Outcome: kv.OutcomeNotApplied, Cause: &kv.Error{Op: "encode", Reason: kv.ReasonInvalid, Cause: err}}
	}
	// The commit's nonce makes the segment name unique, so that no other host
	// writes it.
	name := fmt.Sprintf("%012d-%s", next.Commits, next.Recent[len(next.Recent)-1])
	result := kv.Swap(ctx, l.store, kv.Write{Key: l.segmentKey(name), Value: value}, nil)
	if result.Outcome != kv.OutcomeApplied {
		return result
	}
	next.Segments = append(next.Segments, segmentRef{Name: name, Newest: newestOf(next.Entries)})
	next.Entries = nil
	l.sealedSinceCleanup = true
	cutoff := l.clock().Add(-Retention)
	next.Segments = slices.DeleteFunc(next.Segments, func(ref segmentRef) bool { return ref.Newest.Before(cutoff) })
	return result
}

func newestOf(entries []cbor.RawMessage) time.Time {
	var newest time.Time
	for _, raw := range entries {
		var e logEntry
		if cbor.Unmarshal(raw, &e) == nil && e.Record.Created.After(newest) {
			newest = e.Record.Created
		}
	}
	return newest
}

// deleteExpired deletes the records past the retention period and the segments
// that the head no longer refers to. It does nothing unless a segment was written
// since its last call.
func (l *partitionLog) deleteExpired(ctx context.Context) {
	if !l.sealedSinceCleanup {
		return
	}
	l.sealedSinceCleanup = false
	cutoff := l.clock().Add(-Retention)
	for id, record := range l.records {
		if record.Created.Before(cutoff) {
			deleteBody(ctx, l.store, record)
			delete(l.records, id)
		}
	}
	referenced := map[string]bool{}
	for _, ref := range l.head.Segments {
		referenced[ref.Name] = true
	}
	for name := range l.loadedSegments {
		if referenced[name] {
			continue
		}
		if entry, err := l.store.Get(ctx, l.segmentKey(name)); err == nil {
			_ = l.store.Delete(ctx, entry.Key, entry.Version)
		}
		delete(l.loadedSegments, name)
	}
}
