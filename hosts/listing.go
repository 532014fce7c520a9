package hosts

import (
	"maps"
	"time"

	"github.com/samber/lo"
)

// returnSpan is how long after an outage of the list's store a host missing from the list is still
// used. Live hosts register again within 2 s, and the next read of the list takes up to 0.5 s.
const returnSpan = 2500 * time.Millisecond

// departedSpan is how long a host that was listed as leaving is known after its removal from the list.
// It outlasts the requests that the host still had.
const departedSpan = time.Minute

// maxDeparted limits the hosts that are known after their removal; the oldest are forgotten first.
const maxDeparted = 1024

// identity identifies one run of a host's process, because a restarted host has the same id.
type identity struct {
	id      string
	started int64
}

func identityOf(h Host) identity { return identity{id: h.ID, started: h.StartedMS} }

// Listing converts successive reads of the platform's host list to snapshots. It is not safe for
// concurrent use. The zero value is ready to use.
type Listing struct {
	leaving  map[identity]bool
	departed map[identity]time.Time // when a leaving host was found to be removed; replaced, never changed
	previous []Host
}

// Reading is the result of one read of the host list.
type Reading struct {
	Hosts []Host
	// ReadAt is when the list was last confirmed to be current.
	ReadAt time.Time
	// Revision is the revision of the store that the list includes.
	Revision uint64
	// OutageEnded is when the last outage of the list's store ended; zero means no outage.
	OutageEnded time.Time
}

// Next returns the snapshot for a reading. A host that was once leaving remains leaving, even if a
// later list shows it as live, also after it was missing, if its start is known. A host missing from
// the list within returnSpan after an outage remains in the snapshot, so that it has time to register
// again.
func (l *Listing) Next(r Reading, now time.Time) *Snapshot {
	if l.leaving == nil {
		l.leaving = map[identity]bool{}
	}
	listed := make(map[string]bool, len(r.Hosts))
	next := make([]Host, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		listed[h.ID] = true
		key := identityOf(h)
		_, departed := l.departed[key]
		if h.State == StateLeaving || departed && key.started != 0 {
			l.leaving[key] = true
		}
		if l.leaving[key] {
			h.State = StateLeaving
		}
		next = append(next, h)
	}
	if !r.OutageEnded.IsZero() && now.Sub(r.OutageEnded) < returnSpan {
		for _, h := range l.previous {
			if !listed[h.ID] {
				next = append(next, h)
			}
		}
	}
	l.previous = next
	l.forget(next, now)
	snapshot := NewSnapshot(next, r.ReadAt)
	snapshot.Revision = r.Revision
	snapshot.departed = l.departed
	return snapshot
}

// Provisional reports whether the snapshot for this reading may still contain hosts that are
// missing from the list. If so, call Next again with the same reading after returnSpan (2.5 s).
func (r Reading) Provisional(now time.Time) bool {
	return !r.OutageEnded.IsZero() && now.Sub(r.OutageEnded) < returnSpan
}

// forget moves the marks of leaving hosts that are not in known to the departed hosts, and deletes
// those of hosts that departed longer than departedSpan ago.
func (l *Listing) forget(known []Host, now time.Time) {
	keep := make(map[identity]bool, len(known))
	for _, h := range known {
		keep[identityOf(h)] = true
	}
	departed := maps.Clone(l.departed)
	maps.DeleteFunc(departed, func(_ identity, removed time.Time) bool { return now.Sub(removed) > departedSpan })
	for key := range l.leaving {
		if !keep[key] {
			delete(l.leaving, key)
			if departed == nil {
				departed = map[identity]time.Time{}
			}
			departed[key] = now
		}
	}
	for len(departed) > maxDeparted {
		delete(departed, oldest(departed))
	}
	l.departed = departed
}

// oldest returns the identity with the earliest time.
func oldest(times map[identity]time.Time) identity {
	return lo.MinBy(lo.Keys(times), func(a, b identity) bool { return times[a].Before(times[b]) })
}
