package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Crash is evidence of one host: an upstream ended without notice while it had a request
// of this host that it had not answered.
type Crash struct {
	// Upstream identifies the upstream. Reports of one upstream at about the same time are
	// of the same crash.
	Upstream uint64
	At       time.Time
	// Account identifies the client account, so that one account cannot use up the
	// memory for evidence.
	Account uint64
	// Begun reports that the upstream had begun its answer to the request. Requests that
	// only waited at the upstream are suspects only if no such request is known.
	Begun bool
	// Keys identify the content of the request: first the whole request, then its parts.
	Keys []Key
	// SentAt is when the request was sent to the upstream; zero if unknown.
	SentAt time.Time

	// repeats has bit i set if the request was sent after its host had seen the end of another upstream with
	// Keys[i], less than simultaneousSpan before At.
	repeats uint32
	// seenAt is when this host learned of the report.
	seenAt time.Time
}

// repeatOf reports whether the request is a repeat in the sense of repeats, for the given key.
func (c *Crash) repeatOf(key Key) bool {
	i := slices.Index(c.Keys, key)
	return i >= 0 && c.repeats&(1<<i) != 0
}

// repeatsAmong returns the value of Crash.repeats for a request with the given keys.
func repeatsAmong(keys []Key, isRepeat func(Key) bool) (repeats uint32) {
	for i, key := range keys {
		if isRepeat(key) {
			repeats |= 1 << i
		}
	}
	return repeats
}

// crash is one end of an upstream's process, as reported by all hosts.
type crash struct {
	upstream uint64
	at       time.Time
	seenAt   time.Time // when this host learned of the first report
	// reports are those of the requests to which the upstream had begun an answer, or of all
	// requests if no such request is known.
	reports []Crash
}

func (c *crash) time() time.Time { return c.at }

// has reports whether a key is in a report of the crash.
func (c *crash) has(key Key) bool {
	return slices.ContainsFunc(c.reports, func(r Crash) bool { return slices.Contains(r.Keys, key) })
}

// repeatOf reports whether all known requests with the key that were at the upstream are repeats.
func (c *crash) repeatOf(key Key) bool {
	return !slices.ContainsFunc(c.reports, func(r Crash) bool { return slices.Contains(r.Keys, key) && !r.repeatOf(key) })
}

// repeats returns the number of crashes of repeats of a key.
func repeats(crashes []*crash, key Key) int {
	return lo.CountBy(crashes, func(c *crash) bool { return c.repeatOf(key) })
}

// merge adds a report to the crash that it belongs to and reports whether it is new. The
// caller holds t.mu.
func (t *Tracker) merge(c Crash) bool {
	if len(c.Keys) == 0 || len(c.Keys) > MaxKeys {
		return false
	}
	i := slices.IndexFunc(t.crashes, func(known *crash) bool {
		return known.upstream == c.Upstream && c.At.Sub(known.at).Abs() < sameCrashSpan
	})
	if i < 0 {
		t.evict(c)
		t.crashes = append(t.crashes, &crash{upstream: c.Upstream, at: c.At, seenAt: c.seenAt})
		i = len(t.crashes) - 1
	}
	known := t.crashes[i]
	if same := slices.IndexFunc(known.reports, func(r Crash) bool { return slices.Equal(r.Keys, c.Keys) && r.Begun == c.Begun }); same >= 0 {
		known.reports[same].repeats &= c.repeats
		return false
	}
	if !c.Begun && slices.ContainsFunc(known.reports, func(r Crash) bool { return r.Begun }) {
		return false
	}
	if c.Begun { // the waiting requests are no suspects any more
		known.reports = slices.DeleteFunc(known.reports, func(r Crash) bool { return !r.Begun })
	}
	if len(known.reports) >= maxReports {
		return false
	}
	known.reports = append(known.reports, c)
	if c.At.Before(known.at) {
		known.at = c.At
	}
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	return true
}

// evict removes expired crashes and makes room for a report: the oldest report of the same
// client account, or the oldest crash. The caller holds t.mu.
func (t *Tracker) evict(c Crash) {
	t.removeExpiredCrashes(c.At)
	reports := 0
	for _, known := range slices.Backward(t.crashes) {
		for _, r := range known.reports {
			if r.Account == c.Account {
				reports++
			}
		}
		if reports >= maxAccountReports {
			known.reports = slices.DeleteFunc(known.reports, func(r Crash) bool { return r.Account == c.Account })
		}
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(known *crash) bool { return len(known.reports) == 0 })
	if len(t.crashes) >= maxCrashes {
		oldest := max(slices.IndexFunc(t.crashes, func(known *crash) bool { return !known.reports[0].Begun }), 0)
		t.crashes = slices.Delete(t.crashes, oldest, oldest+1)
	}
	if len(t.answered) > maxAnswered {
		maps.DeleteFunc(t.answered, func(k Key, _ time.Time) bool { return t.accusedSince(k, time.Time{}).IsZero() })
	}
}
