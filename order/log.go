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
	defaultSealSize = 128 << 10 // bytes
	// maxBatchSize bounds the entries of one commit, in bytes.
	maxBatchSize = 256 << 10
	// recentCommits is how many commits a head remembers by their nonces.
	recentCommits = 16
)

// logEntry is one record in a partition's log. A later one of the same order
// replaces an earlier one.
type logEntry struct {
	ID     ID     `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

// segmentRef names a sealed part of the log.
type segmentRef struct {
	Name string `cbor:"1,keyasint"`
	// Newest is the latest creation time of its orders' keys.
	Newest time.Time `cbor:"2,keyasint"`
}

// head is the value of a partition: who owns it, and the end of its log. Each
// commit replaces it by compare-and-swap.
type head struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint"`
	// Commits counts the commits of all epochs; Recent has the nonces of the last.
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

// next returns a copy of h for another commit.
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

// recognise says whether a stored head holds the commit h, or one after it.
func (h *head) recognise(entry kv.Entry) kv.Match {
	var stored head
	if cbor.Unmarshal(entry.Value, &stored) != nil {
		return kv.MatchUnsure
	}
	switch {
	case slices.Contains(stored.Recent, h.Recent[len(h.Recent)-1]):
		return kv.MatchOurs
	case stored.Commits < h.Commits+recentCommits:
		return kv.MatchForeign
	default:
		return kv.MatchUnsure // ours may have been forgotten
	}
}

// log is a partition's log as one host knows it. It is used by one goroutine
// at a time.
type log struct {
	store  kv.Store
	prefix string
	clock  Clock
	// sealSize is the size of a head's entries at which they move to a
	// segment, in bytes.
	sealSize int

	head    head
	version kv.Version
	records map[ID]Record
	folded  map[string]bool // segments that are in records
	sealed  bool            // since the last forget
}

func newLog(store kv.Store, prefix string, clock Clock) *log {
	return &log{store: store, prefix: prefix, clock: clock, sealSize: defaultSealSize, records: map[ID]Record{}, folded: map[string]bool{}}
}

func (l *log) headKey() string { return l.prefix + "head" }

func (l *log) segmentKey(name string) string { return l.prefix + "segment/" + name }

// load reads the head and the segments that are not known yet.
func (l *log) load(ctx context.Context) error {
	entry, err := l.store.Get(ctx, l.headKey())
	if kv.ReasonOf(err) == kv.ReasonNotFound {
		l.head, l.version = head{}, 0
		return nil
	}
	if err != nil {
		return err
	}
	if entry.Version < l.version {
		return &kv.Error{Op: "load", Key: entry.Key, Reason: kv.ReasonUnavailable} // an old read
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
	if err := l.fold(stored.Entries); err != nil {
		return err
	}
	l.head, l.version = stored, entry.Version
	return nil
}

func (l *log) loadSegment(ctx context.Context, name string) error {
	if l.folded[name] {
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
	if err := l.fold(entries); err != nil {
		return err
	}
	l.folded[name] = true
	return nil
}

func (l *log) fold(entries []cbor.RawMessage) error {
	for _, raw := range entries {
		var e logEntry
		if err := cbor.Unmarshal(raw, &e); err != nil {
			return err
		}
		l.records[e.ID] = e.Record
	}
	return nil
}

// commit appends entries under an owner and epoch. The write is refused by the
// version when another host has committed since the log was loaded.
func (l *log) commit(ctx context.Context, owner string, epoch uint64, entries []logEntry) kv.Result {
	next := l.head.next()
	next.Owner, next.Epoch = owner, epoch
	if next.entriesSize() >= l.sealSize {
		if result := l.seal(ctx, &next); result.Outcome != kv.OutcomeWon {
			return result
		}
	}
	for _, e := range entries {
		raw, err := cbor.Marshal(e)
		if err != nil {
			return kv.Result{Outcome: kv.OutcomeLost, Cause: &kv.Error{Op: "encode", Reason: kv.ReasonInvalid, Cause: err}}
		}
		next.Entries = append(next.Entries, raw)
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return kv.Result{Outcome: kv.OutcomeLost, Cause: &kv.Error{Op: "encode", Reason: kv.ReasonInvalid, Cause: err}}
	}
	w := kv.Write{Key: l.headKey(), Value: value, Expect: l.version}
	result := kv.Swap(ctx, l.store, w, next.recognise)
	if result.Outcome != kv.OutcomeWon {
		return result
	}
	l.accept(next, result, entries)
	return result
}

// accept takes over a commit that was won.
func (l *log) accept(next head, result kv.Result, entries []logEntry) {
	l.head, l.version = next, result.Version
	for _, e := range entries {
		l.records[e.ID] = e.Record
	}
	for _, ref := range next.Segments {
		l.folded[ref.Name] = true
	}
}

// seal moves the entries of next to a segment of their own, and drops the
// segments that are past the retention.
func (l *log) seal(ctx context.Context, next *head) kv.Result {
	value, err := cbor.Marshal(next.Entries)
	if err != nil {
		return kv.Result{Outcome: kv.OutcomeLost, Cause: &kv.Error{Op: "encode", Reason: kv.ReasonInvalid, Cause: err}}
	}
	// The commit's nonce makes the name one that no other host writes.
	name := fmt.Sprintf("%012d-%s", next.Commits, next.Recent[len(next.Recent)-1])
	result := kv.Swap(ctx, l.store, kv.Write{Key: l.segmentKey(name), Value: value}, nil)
	if result.Outcome != kv.OutcomeWon {
		return result
	}
	next.Segments = append(next.Segments, segmentRef{Name: name, Newest: newestOf(next.Entries)})
	next.Entries = nil
	l.sealed = true
	limit := l.clock().Add(-Retention)
	next.Segments = slices.DeleteFunc(next.Segments, func(ref segmentRef) bool { return ref.Newest.Before(limit) })
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

// forget drops the records that are past the retention, and the segments that
// the head names no longer, after a segment was sealed.
func (l *log) forget(ctx context.Context) {
	if !l.sealed {
		return
	}
	l.sealed = false
	limit := l.clock().Add(-Retention)
	for id, record := range l.records {
		if record.Created.Before(limit) {
			deleteBody(ctx, l.store, record)
			delete(l.records, id)
		}
	}
	named := map[string]bool{}
	for _, ref := range l.head.Segments {
		named[ref.Name] = true
	}
	for name := range l.folded {
		if named[name] {
			continue
		}
		if entry, err := l.store.Get(ctx, l.segmentKey(name)); err == nil {
			_ = l.store.Delete(ctx, entry.Key, entry.Version)
		}
		delete(l.folded, name)
	}
}
