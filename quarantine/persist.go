package quarantine

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// Prefix is the key prefix of the quarantined sets in the key-value service.
	Prefix = "quarantine/"
	// persistInterval is the time between two checks for sets that must be written or read.
	persistInterval = 500 * time.Millisecond
	// startInterval is the time between two checks of a host that has not learned the
	// stored sets yet, and connectSpan the time in which a starting host usually hears of
	// other hosts. Only hosts that collect evidence read the store earlier.
	startInterval, connectSpan = 100 * time.Millisecond, 400 * time.Millisecond
	// isolatedReadInterval is the time between two reads of a host that exchanges evidence
	// with no other host.
	isolatedReadInterval = time.Second
	// storeTimeout bounds one call to the key-value service.
	storeTimeout = 700 * time.Millisecond
)

// Persister keeps the quarantined sets in the key-value service, so that they outlive all
// hosts and reach hosts that no other host reaches.
type Persister struct {
	Tracker *Tracker
	Store   kv.Store
	// Alone reports whether no other host is known.
	Alone  func() bool
	Logger hclog.Logger

	readAt time.Time
	eras   eraFollower
}

// storedSet is the JSON value of a set in the key-value service.
type storedSet struct {
	Keys    []string `json:"keys"`
	Crashes int      `json:"crashes"`
	Lost    bool     `json:"lost,omitempty"`
}

// Run writes and reads quarantined sets, and removes expired evidence, until ctx ends.
func (p *Persister) Run(ctx context.Context) {
	started := time.Now()
	for wait.For(ctx, p.interval()) {
		now := time.Now()
		p.Tracker.RemoveExpired(now)
		connected := p.Tracker.Connected(now) || now.Sub(started) < connectSpan
		// The hosts that collect evidence write for all. A host that no other host reaches
		// writes for itself.
		writes := p.Tracker.Collects(now) || !connected
		lifted := p.Tracker.takeLifted()
		p.eras.noteLifted(lifted, now)
		restored := p.followEra(now)
		if writes {
			p.delete(ctx, append(lifted, restored...))
			p.write(ctx)
		}
		isolated := !connected && !p.Alone() && time.Since(p.readAt) >= isolatedReadInterval
		if isolated || writes && !p.Tracker.Loaded() {
			p.read(ctx)
		}
	}
}

func (p *Persister) interval() time.Duration {
	if p.Tracker.Loaded() {
		return persistInterval
	}
	return startInterval
}

// write stores the sets that are not stored yet.
func (p *Persister) write(ctx context.Context) {
	for _, s := range p.Tracker.Sets() {
		if s.stored {
			continue
		}
		if err := p.writeSet(ctx, s); err != nil {
			events.QuarantineStore.Log(p.Logger, "op", "write", "keys", formatKeys(s.Keys), "error", err)
			return
		}
		p.Tracker.markStored(s.Keys)
	}
}

// delete removes lifted sets. A set that cannot be removed expires with its lease.
func (p *Persister) delete(ctx context.Context, lifted [][]Key) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, keys := range lifted {
		entry, err := p.Store.Get(ctx, storeKey(keys))
		if err == nil {
			err = p.Store.Delete(ctx, entry.Key, entry.Version)
		}
		if err != nil && kv.ReasonOf(err) != kv.ReasonNotFound {
			events.QuarantineStore.Log(p.Logger, "op", "delete", "keys", formatKeys(keys), "error", err)
		}
	}
}

func (p *Persister) writeSet(ctx context.Context, s Set) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := storeKey(s.Keys)
	value, err := json.Marshal(storedSet{Keys: formatKeys(s.Keys), Crashes: s.Crashes, Lost: s.Lost})
	if err != nil {
		return &kv.RecordError{Key: key, Cause: err}
	}
	lease, err := p.Store.Grant(ctx, Expiry)
	if err != nil {
		return err
	}
	_, err = p.Store.CompareAndSwap(ctx, kv.Write{Key: key, Value: value, Lease: lease})
	if kv.ReasonOf(err) == kv.ReasonConflict {
		return nil // another host has stored the set
	}
	return err
}

// read imposes the stored sets.
func (p *Persister) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.readAt = time.Now()
	entries, _, err := p.Store.List(ctx, Prefix)
	if err != nil {
		events.QuarantineStore.Log(p.Logger, "op", "read", "error", err)
		return
	}
	var sets []Set
	for _, entry := range entries {
		set, err := decodeSet(entry)
		if err != nil {
			events.QuarantineStore.Log(p.Logger, "op", "decode", "error", err)
			continue
		}
		sets = append(sets, set)
	}
	p.Tracker.load(sets, time.Now())
}

func decodeSet(entry kv.Entry) (Set, error) {
	var stored storedSet
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return Set{}, &kv.RecordError{Key: entry.Key, Cause: err}
	}
	set := Set{Crashes: stored.Crashes, Lost: stored.Lost, stored: true}
	for _, text := range stored.Keys {
		key, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return Set{}, &kv.RecordError{Key: entry.Key, Cause: err}
		}
		set.Keys = append(set.Keys, Key(key))
	}
	if len(set.Keys) == 0 || len(set.Keys) > MaxKeys {
		return Set{}, &kv.RecordError{Key: entry.Key, Cause: errKeyCount}
	}
	slices.Sort(set.Keys)
	return set, nil
}

// keyCountError reports a stored set without keys or with more than MaxKeys keys.
type keyCountError struct{}

// Error implements error.
func (keyCountError) Error() string { return "the number of keys is out of range" }

var errKeyCount = keyCountError{}

func storeKey(keys []Key) string {
	return Prefix + strconv.FormatUint(xxhash.Sum64String(strings.Join(formatKeys(keys), ",")), 16)
}

func formatKeys(keys []Key) []string {
	return lo.Map(keys, func(k Key, _ int) string { return k.String() })
}

// Loaded reports whether the sets in the key-value service have been read.
func (t *Tracker) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// takeLifted returns the keys of the sets that were lifted since the last call.
func (t *Tracker) takeLifted() [][]Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	lifted := t.lifted
	t.lifted = nil
	return lifted
}

// markStored records that the key-value service holds the set with the given keys.
func (t *Tracker) markStored(keys []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range t.sets {
		if slices.Equal(s.Keys, keys) {
			stored := *s
			stored.stored = true
			t.sets[i] = &stored
		}
	}
	t.publish()
}

// load imposes the sets read from the key-value service. Their quarantine begins anew,
// because the service does not state their age.
func (t *Tracker) load(sets []Set, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
	for _, set := range sets {
		if slices.ContainsFunc(t.sets, func(s *Set) bool { return slices.Equal(s.Keys, set.Keys) }) {
			continue
		}
		if slices.ContainsFunc(set.Keys, func(k Key) bool { return !t.lastAnswer(k).IsZero() }) {
			continue // answered since it was stored
		}
		set.At, set.Since = now, now
		t.impose(set, ChangeLoaded, localSource)
	}
}
