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

// removedUpstreams holds the last version that the record of a removed upstream had, by key. If the key-value service
// comes back from a copy from before the deletion, the record exists again without an upstream.
type removedUpstreams map[string]removedUpstream

type removedUpstream struct {
	version kv.Version
	at      time.Time
}

// update adds the records that a view shows as deleted. Records that are missing because the era has risen were
// not deleted.
func (r removedUpstreams) update(previous map[string]decodedUpstream, view *replica.View, now time.Time) {
	maps.DeleteFunc(r, func(_ string, removed removedUpstream) bool { return now.Sub(removed.at) > removedSpan })
	for key, d := range previous {
		if _, exists := view.Entries[key]; !exists && d.version.Era() == view.Revision.Era() {
			r[key] = removedUpstream{version: d.version, at: now}
		}
	}
}

// has reports whether an entry is of a newer era, but was written before the deletion that this host knows of. What the
// upstream writes again has a revision of its own.
func (r removedUpstreams) has(e kv.Entry) bool {
	removed, known := r[e.Key]
	return known && e.Version.Era() > removed.version.Era() && e.Version.Revision() <= removed.version.Revision()
}
