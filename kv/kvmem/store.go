// Package kvmem is an in-memory implementation of the platform's key-value
// service. It has the semantics of the service and injects its faults: outages,
// latency, responses lost after the write took effect, stale reads and rate
// limits.
//
// Tests use it directly. The process that replaces the platform in tests serves
// it over HTTP.
package kvmem

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// Store is an in-memory kv.Store with fault injection. Use New.
type Store struct {
	mu       sync.Mutex
	revision kv.Version
	entries  map[string]kv.Entry
	history  []kv.Event // in order of revision
	leases   map[kv.LeaseID]*leaseState
	// lastLease is the number of the newest lease of the era.
	lastLease uint64
	changed   chan struct{} // closed and replaced at each change
	// previous is the entry that each key had before its last change. Stale
	// reads return it.
	previous map[string]kv.Entry
	faults   faultState
}

// leaseState is a lease that has not expired.
type leaseState struct {
	ttl   time.Duration
	timer *time.Timer         // expires the lease
	keys  map[string]struct{} // keys written with the lease
}

var _ kv.Store = (*Store)(nil)

// New returns an empty Store without faults.
func New() *Store {
	return &Store{
		entries:  map[string]kv.Entry{},
		previous: map[string]kv.Entry{},
		leases:   map[kv.LeaseID]*leaseState{},
		changed:  make(chan struct{}),
		faults:   newFaultState(),
	}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.beforeCall(ctx, opGet, key); err != nil {
		return kv.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if s.faults.drawStaleRead() {
		entry, ok = s.previous[key]
	}
	if !ok {
		return kv.Entry{}, &kv.Error{Op: opGet, Key: key, Reason: kv.ReasonNotFound}
	}
	return entry, s.faults.responseError(opGet, key)
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	if err := s.beforeCall(ctx, opList, prefix); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kv.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, s.faults.responseError(opList, prefix)
}

// CompareAndSwap implements kv.Store.
func (s *Store) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	if len(w.Value) > kv.MaxValueSize {
		return 0, &kv.Error{Op: opSwap, Key: w.Key, Reason: kv.ReasonTooLarge}
	}
	if err := s.beforeCall(ctx, opSwap, w.Key); err != nil {
		return 0, err
	}
	w.Value = append([]byte{}, w.Value...)
	if delay, delayed := s.faults.drawWriteDelay(); delayed {
		time.AfterFunc(delay, func() { _, _ = s.swap(w) })
		return 0, &kv.Error{Op: opSwap, Key: w.Key, Reason: kv.ReasonUnknown}
	}
	version, err := s.swap(w)
	if err != nil {
		return 0, err
	}
	return version, s.faults.responseError(opSwap, w.Key)
}

// swap performs a compare-and-swap without faults.
func (s *Store) swap(w kv.Write) (kv.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[w.Key].Version; !s.faults.sameVersion(current, w.Expect) {
		return 0, &kv.Error{Op: opSwap, Key: w.Key, Reason: kv.ReasonConflict, Current: current}
	}
	if w.Lease != 0 {
		lease, ok := s.leases[w.Lease]
		if !ok {
			return 0, &kv.Error{Op: opSwap, Key: w.Key, Reason: kv.ReasonLeaseExpired}
		}
		lease.keys[w.Key] = struct{}{}
	}
	s.revision++
	s.put(kv.Entry{Key: w.Key, Value: w.Value, Version: s.revision, Lease: w.Lease})
	return s.revision, nil
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key string, expect kv.Version) error {
	if err := s.beforeCall(ctx, opDelete, key); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok || entry.Version != expect {
		return &kv.Error{Op: opDelete, Key: key, Reason: kv.ReasonConflict, Current: entry.Version}
	}
	s.remove(key)
	return s.faults.responseError(opDelete, key)
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Event, kv.Version, error) {
	if err := s.beforeCall(ctx, opWatch, prefix); err != nil {
		return nil, 0, err
	}
	for {
		s.mu.Lock()
		events, revision, changed := s.latestEvents(prefix, after), s.revision, s.changed
		s.mu.Unlock()
		if after != 0 && after.Era() != revision.Era() {
			return nil, 0, &kv.Error{Op: opWatch, Key: prefix, Reason: kv.ReasonNotFound}
		}
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-s.faults.outageStarted():
			return nil, 0, &kv.Error{Op: opWatch, Key: prefix, Reason: kv.ReasonUnavailable}
		case <-ctx.Done():
			return nil, max(revision, after), nil
		}
	}
}

// latestEvents returns the last change of each key under prefix that changed after
// the given revision, in order of revision. The caller holds s.mu.
func (s *Store) latestEvents(prefix string, after kv.Version) []kv.Event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	latest := map[string]kv.Event{}
	for _, event := range s.history[first:] {
		if strings.HasPrefix(event.Key, prefix) {
			latest[event.Key] = event
		}
	}
	events := make([]kv.Event, 0, len(latest))
	for _, event := range latest {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Version < events[j].Version })
	return events
}

// beforeCall counts a call and applies the faults that occur before the call takes
// effect: outage, rate limit and latency.
func (s *Store) beforeCall(ctx context.Context, op, key string) error {
	return s.faults.applyBefore(ctx, op, key)
}

// put stores entry and records the change. The caller holds s.mu.
func (s *Store) put(entry kv.Entry) {
	if old, ok := s.entries[entry.Key]; ok {
		s.previous[entry.Key] = old
	}
	s.entries[entry.Key] = entry
	s.record(kv.Event{Entry: entry})
}

// remove deletes key and records the deletion as a new revision. The caller holds
// s.mu.
func (s *Store) remove(key string) {
	entry := s.entries[key]
	s.previous[key] = entry
	delete(s.entries, key)
	s.revision++
	s.record(kv.Event{Entry: kv.Entry{Key: key, Version: s.revision}, Deleted: true})
}

// maxHistory is the largest number of events that the store retains for watches.
const maxHistory = 100_000

// record appends event to the history and wakes the waiting watches. When the
// history exceeds maxHistory, record discards the oldest half. The caller holds s.mu.
func (s *Store) record(event kv.Event) {
	s.history = append(s.history, event)
	if len(s.history) > maxHistory {
		s.history = append([]kv.Event{}, s.history[maxHistory/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// History returns the retained events in order of revision.
func (s *Store) History() []kv.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]kv.Event{}, s.history...)
}
