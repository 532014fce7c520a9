// Package condition keeps what upstreams announce in their answers about the requests that they
// take. A condition binds one run of an upstream. It is neither a failure nor load: it says
// nothing about how well the upstream serves.
package condition

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
)

const (
	// maxUpstreams limits the upstreams with conditions.
	maxUpstreams = 1024
	// retention is how long a condition without an end is kept after it was last announced. An
	// upstream that leaves has ended by then.
	retention = 10 * time.Minute
	// maxPause limits how long a pause binds: a longer one would outlive retention.
	maxPause = retention
)

// Run identifies one run of an upstream's process.
type Run struct {
	ID string
	// StartedMS is the start of the run in Unix milliseconds, as the upstream states it.
	StartedMS int64
}

// state holds the conditions of one run.
type state struct {
	startedMS   int64
	announcedAt time.Time
	leaving     bool
	pausedUntil time.Time
}

// Table holds the conditions of upstreams. The zero value is ready to use. Its methods are safe for
// concurrent use; reads take no lock.
type Table struct {
	mu     sync.Mutex // held while states is replaced
	states atomic.Pointer[map[string]state]
}

// Empty reports whether no upstream has a condition.
func (t *Table) Empty() bool {
	states := t.states.Load()
	return states == nil || len(*states) == 0
}

// get returns the conditions of a run, and false if it has none. An earlier run than the announced
// one shares its conditions: the list of upstreams may lag behind.
func (t *Table) get(r Run) (state, bool) {
	states := t.states.Load()
	if states == nil {
		return state{}, false
	}
	s, known := (*states)[r.ID]
	return s, known && r.StartedMS <= s.startedMS
}

// Leaving reports whether a run has announced that it leaves.
func (t *Table) Leaving(r Run) bool {
	s, known := t.get(r)
	return known && s.leaving
}

// Leave records that a run has announced that it leaves, which no later answer revokes. It returns
// whether that is news.
func (t *Table) Leave(r Run, now time.Time) bool {
	if t.Leaving(r) {
		return false
	}
	return t.update(r, now, func(s *state) { s.leaving = true })
}

// Pause records that a run wants no requests from this host for a span from now on. A shorter pause
// does not end a longer one. It returns whether the run took requests before.
func (t *Table) Pause(r Run, span time.Duration, now time.Time) bool {
	_, paused := t.PausedUntil(r, now)
	t.update(r, now, func(s *state) {
		if until := now.Add(min(span, maxPause)); until.After(s.pausedUntil) {
			s.pausedUntil = until
		}
	})
	return !paused
}

// PausedUntil returns when a run takes requests of this host again, and false if it takes them now.
func (t *Table) PausedUntil(r Run, now time.Time) (until time.Time, paused bool) {
	s, known := t.get(r)
	return s.pausedUntil, known && now.Before(s.pausedUntil)
}

// update changes the conditions of a run and returns whether it did. Conditions of an earlier run are
// dropped; a later run is not changed.
func (t *Table) update(r Run, now time.Time, change func(*state)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[string]state{}
	if old := t.states.Load(); old != nil {
		maps.Copy(next, *old)
	}
	s := next[r.ID]
	if s.startedMS > r.StartedMS {
		return false
	}
	if s.startedMS < r.StartedMS {
		s = state{startedMS: r.StartedMS}
	}
	s.announcedAt = now
	change(&s)
	next[r.ID] = s
	t.evict(next, now)
	t.states.Store(&next)
	return true
}

// evict removes expired conditions, and the oldest ones above maxUpstreams.
func (t *Table) evict(states map[string]state, now time.Time) {
	maps.DeleteFunc(states, func(_ string, s state) bool { return s.expired(now) })
	if len(states) <= maxUpstreams {
		return
	}
	ids := lo.Keys(states)
	slices.SortFunc(ids, func(a, b string) int { return states[a].announcedAt.Compare(states[b].announcedAt) })
	for _, id := range ids[:len(ids)-maxUpstreams] {
		delete(states, id)
	}
}

func (s state) expired(now time.Time) bool {
	return now.Sub(s.announcedAt) >= retention || !s.leaving && !now.Before(s.pausedUntil)
}

// RemoveExpired removes conditions that have ended.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.states.Load()
	if old == nil || !lo.SomeBy(lo.Values(*old), func(s state) bool { return s.expired(now) }) {
		return
	}
	next := maps.Clone(*old)
	t.evict(next, now)
	t.states.Store(&next)
}
