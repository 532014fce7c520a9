package quarantine

import (
	"slices"
	"time"
)

// maxEnds limits the ends that are kept to recognize repeats.
const maxEnds = 256

// end is the end of an attempt on this host, with one key of its request.
type end struct {
	key Key
	at  time.Time
}

// endLog holds the ends of attempts on this host within the last simultaneousSpan, in the order of their
// times. The zero value is ready to use.
type endLog struct{ ends []end }

// add records the end of an attempt with the given keys.
func (l *endLog) add(keys []Key, at time.Time) {
	l.ends = slices.DeleteFunc(l.ends, func(known end) bool { return at.Sub(known.at) >= simultaneousSpan })
	for _, key := range keys {
		l.ends = append(l.ends, end{key: key, at: at})
	}
	l.ends = slices.Delete(l.ends, 0, max(0, len(l.ends)-maxEnds))
}

// has reports whether an attempt with the key ended after since and no later than until.
func (l *endLog) has(key Key, since, until time.Time) bool {
	return slices.ContainsFunc(l.ends, func(known end) bool {
		return known.key == key && known.at.After(since) && !known.at.After(until)
	})
}

// Ended returns the report of an attempt of this host, complete with what this host knows of the ends before
// it. It is called as soon as the attempt has ended, so that the order of ends and sends is known; whether
// the report is passed to Add or AddLoss may be decided later.
func (t *Tracker) Ended(c Crash) Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := c.Keys[:min(len(c.Keys), MaxKeys)]
	c.repeats = repeatsAmong(keys, func(key Key) bool { return t.endSeen(key, c) })
	t.ends.add(keys, c.At)
	return c
}

// endSeen reports whether this host knew, when it sent the request of a report, of the end of an attempt with
// the key less than simultaneousSpan before the report and after the newest answer. The caller holds t.mu.
func (t *Tracker) endSeen(key Key, c Crash) bool {
	if c.SentAt.IsZero() {
		return false
	}
	since := c.At.Add(-simultaneousSpan)
	if answered := t.lastAnswer(key); answered.After(since) {
		since = answered
	}
	return t.ends.has(key, since, c.SentAt) || t.losses.seenBefore(key, since, c.SentAt) || slices.ContainsFunc(t.crashes, func(known *crash) bool {
		return known.at.After(since) && !known.seenAt.After(c.SentAt) && known.has(key)
	})
}
