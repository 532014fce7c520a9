package cardamompier

import (
	"maps"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/replica"
)

// outdatedUpstreams counts the records of upstreams that are ignored because the key-value service lost their
// deletion, by cause.
var outdatedUpstreams = metrics.New("upstreams_outdated_total", "Records of upstreams ignored as from before a restore of the key-value service, by cause.")

const (
	outdatedRemoved = "removed"
	outdatedRun     = "earlier_run"
)

// removedSpan is how long the deletion of an upstream's record is known. It outlasts the age of the copies that
// the key-value service comes back from, and the time after which it deletes the record of an upstream that is gone.
const removedSpan = time.Minute

// removedUpstreams holds the upstreams whose records were deleted, by key. If the key-value service comes back from a
// copy from before the deletion, the record exists again without an upstream. Revisions do not tell such a record from
// one that was written again, as they are given out again.
type removedUpstreams map[string]removedUpstream

type removedUpstream struct {
	at time.Time
	// era is that of the deletion, and startedMS the start of the run that was removed; zero if it stated none.
	era       kv.Era
	startedMS int64
	// copied is the version with which the record first appeared in a newer era; zero until then.
	copied kv.Version
}

// update adds the records that a view shows as deleted, and removes those that were written again. Records that are
// missing because the era has risen were not deleted.
func (r removedUpstreams) update(previous map[string]decodedUpstream, view *replica.View, now time.Time) {
	maps.DeleteFunc(r, func(_ string, removed removedUpstream) bool { return now.Sub(removed.at) > removedSpan })
	for key, removed := range r {
		entry, exists := view.Entries[key]
		switch era := entry.Version.Era(); {
		case !exists:
		case era > max(removed.era, removed.copied.Era()):
			removed.copied = entry.Version
			r[key] = removed
		case entry.Version != removed.copied: // written again
			delete(r, key)
		}
	}
	for key, d := range previous {
		if _, exists := view.Entries[key]; !exists && d.version.Era() == view.Revision.Era() {
			r[key] = removedUpstream{at: now, era: d.version.Era(), startedMS: d.startedMS}
		}
	}
}

// has reports whether an entry may be from before the deletion that this host knows of: it is of a newer era and
// has not been written since it appeared there, and does not state a newer run.
func (r removedUpstreams) has(e kv.Entry, startedMS int64) bool {
	removed, known := r[e.Key]
	newRun := removed.startedMS != 0 && startedMS > removed.startedMS
	return known && !newRun && e.Version == removed.copied
}
