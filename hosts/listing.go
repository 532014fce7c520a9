package hosts

import "time"

// returnSpan is how long after an outage of the list's store a host that
// vanished from it is still used: live hosts are listed again within two
// seconds, and a new reading takes up to half a second.
const returnSpan = 2500 * time.Millisecond

// identity tells one start of a host from the next under the same id.
type identity struct {
	id      string
	started int64
}

func identityOf(h Host) identity { return identity{id: h.ID, started: h.StartedMS} }

// Listing turns readings of the platform's list into snapshots. It is not
// safe for concurrent use. The zero value is ready.
type Listing struct {
	leaving  map[identity]bool
	previous []Host
}

// Reading is one reading of the list.
type Reading struct {
	Hosts []Host
	// ReadAt is when the reading was confirmed.
	ReadAt time.Time
	// OutageEnded is when the list's store last answered again after an
	// outage; zero for never.
	OutageEnded time.Time
}

// Next returns the snapshot after a reading. A host that was once leaving
// stays so, whatever the list says later. Hosts that vanish just after an
// outage are kept until they had time to be listed again.
func (l *Listing) Next(r Reading, now time.Time) *Snapshot {
	if l.leaving == nil {
		l.leaving = map[identity]bool{}
	}
	listed := make(map[string]bool, len(r.Hosts))
	next := make([]Host, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		listed[h.ID] = true
		key := identityOf(h)
		if h.State == StateLeaving {
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
	l.forget(next)
	return NewSnapshot(next, r.ReadAt)
}

// Provisional says that hosts may vanish from the snapshot without a new
// reading: Next is to be called again with the same one after the span.
func (r Reading) Provisional(now time.Time) bool {
	return !r.OutageEnded.IsZero() && now.Sub(r.OutageEnded) < returnSpan
}

// forget drops the marks of hosts that are not known any more.
func (l *Listing) forget(known []Host) {
	keep := make(map[identity]bool, len(known))
	for _, h := range known {
		keep[identityOf(h)] = true
	}
	for key := range l.leaving {
		if !keep[key] {
			delete(l.leaving, key)
		}
	}
}
