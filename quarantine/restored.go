package quarantine

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/kv"
)

// eraFollower notes when the key-value service has come back from an older copy. The copy lacks sets that were stored
// since, and has sets that were lifted since.
type eraFollower struct {
	known  bool
	era    kv.Era
	lifted []liftedSet // the newest sets that were lifted, at most maxSets
}

// liftedSet names a set that was lifted.
type liftedSet struct {
	keys []Key
	at   time.Time
}

// noteLifted records the keys of sets that were lifted.
func (f *eraFollower) noteLifted(lifted [][]Key, now time.Time) {
	for _, keys := range lifted {
		f.lifted = append(f.lifted, liftedSet{keys: keys, at: now})
	}
	f.lifted = slices.DeleteFunc(f.lifted, func(s liftedSet) bool { return now.Sub(s.at) >= Expiry })
	f.lifted = f.lifted[max(0, len(f.lifted)-maxSets):]
}

// changed reports whether the service has begun a new era since the last call.
func (f *eraFollower) changed(store kv.Store) bool {
	sight, ok := kv.EraSightOf(store)
	if !ok {
		return false
	}
	changed := f.known && sight.Era != f.era
	f.known, f.era = true, sight.Era
	return changed
}

// followEra has all sets written again after the service has come back from an older copy, and returns the keys of the
// sets that the copy may hold though they were lifted.
func (p *Persister) followEra(now time.Time) [][]Key {
	if !p.eras.changed(p.Store) {
		return nil
	}
	sets := p.Tracker.Sets()
	p.Tracker.markNotStored()
	var lifted [][]Key
	for _, s := range p.eras.lifted {
		imposed := slices.ContainsFunc(sets, func(set Set) bool { return slices.Equal(set.Keys, s.keys) })
		if !imposed && now.Sub(s.at) < Expiry {
			lifted = append(lifted, s.keys)
		}
	}
	events.QuarantineRestored.Log(p.Logger, "era", uint64(p.eras.era), "sets", len(sets), "lifted", len(lifted))
	return lifted
}

// markNotStored records that the key-value service may lack any of the sets.
func (t *Tracker) markNotStored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sets = lo.Map(t.sets, func(s *Set, _ int) *Set {
		lost := *s
		lost.stored = false
		return &lost
	})
	t.publish()
}
