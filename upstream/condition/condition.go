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
	// limitAnswers is the number of answers that an upstream gives within its limit in the time for which
	// a limit binds after it was last named. minLimitSpan and maxLimitSpan bound this time.
	limitAnswers               = 4
	minLimitSpan, maxLimitSpan = 5 * time.Second, 30 * time.Second
	// sharedLimitSpan is how long a limit binds that other hosts report.
	sharedLimitSpan = 2 * time.Second
	// limitRefresh is the time after which a limit that is named again is recorded again.
	limitRefresh = 250 * time.Millisecond
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
	own         limit // named in an answer to this host
	shared      limit // reported by other hosts
	// deferredUntil is when this host may ask for a permit to send to the limited upstream again.
	deferredUntil time.Time
}

// limit is the number of requests per second that an upstream takes from all hosts together.
type limit struct {
	rate    float64
	namedAt time.Time
	until   time.Time // end of its validity; zero for no limit
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
	if s, known := (*states)[r.ID]; known && r.StartedMS <= s.startedMS {
		return s, true
	}
	return state{}, false
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

// Limit records that a run has named, in an answer to this host, the requests per second that it takes
// from all hosts together. It returns whether the limit is new or has changed.
func (t *Table) Limit(r Run, rate float64, now time.Time) bool {
	s, _ := t.get(r)
	known := now.Before(s.own.until) && s.own.rate == rate
	if known && now.Sub(s.own.namedAt) < limitRefresh {
		return false
	}
	span := time.Duration(min(limitAnswers/rate, maxLimitSpan.Seconds()) * float64(time.Second))
	t.update(r, now, func(s *state) {
		s.own = limit{rate: rate, namedAt: now, until: now.Add(max(span, minLimitSpan))}
	})
	return !known
}

// EndLimit records an answer without a limit, to a request that was sent at the given time. It ends a
// limit that was named before, and returns whether it did.
func (t *Table) EndLimit(r Run, sentAt, now time.Time) bool {
	s, _ := t.get(r)
	if !now.Before(s.own.until) || !sentAt.After(s.own.namedAt) {
		return false
	}
	return t.update(r, now, func(s *state) { s.own = limit{} })
}

// ShareLimit records a limit that other hosts report.
func (t *Table) ShareLimit(r Run, rate float64, now time.Time) {
	t.update(r, now, func(s *state) { s.shared = limit{rate: rate, namedAt: now, until: now.Add(sharedLimitSpan)} })
}

// OwnLimit returns the limit that a run has named in an answer to this host, and false if none is in
// force.
func (t *Table) OwnLimit(r Run, now time.Time) (rate float64, limited bool) {
	s, known := t.get(r)
	return s.own.rate, known && now.Before(s.own.until)
}

// LimitOf returns the limit of a run in requests per second, and false if none is known.
func (t *Table) LimitOf(r Run, now time.Time) (rate float64, limited bool) {
	if rate, limited = t.OwnLimit(r, now); limited {
		return rate, true
	}
	s, known := t.get(r)
	return s.shared.rate, known && now.Before(s.shared.until)
}

// Defer records that this host got no permit to send to a run with a limit, and asks again only after a
// time.
func (t *Table) Defer(r Run, until time.Time, now time.Time) {
	t.update(r, now, func(s *state) { s.deferredUntil = until })
}

// ClosedUntil returns when this host may send to a run or ask for a permit, and false if it may now. The
// time is zero if the run leaves.
func (t *Table) ClosedUntil(r Run, now time.Time) (until time.Time, closed bool) {
	if t.Leaving(r) {
		return time.Time{}, true
	}
	until, closed = t.PausedUntil(r, now)
	if _, limited := t.LimitOf(r, now); !limited {
		return until, closed
	}
	if s, _ := t.get(r); now.Before(s.deferredUntil) && s.deferredUntil.After(until) {
		return s.deferredUntil, true
	}
	return until, closed
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
	binds := s.leaving || now.Before(s.pausedUntil) || now.Before(s.own.until) || now.Before(s.shared.until)
	return now.Sub(s.announcedAt) >= retention || !binds
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
