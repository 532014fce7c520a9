package rollout

import (
	"sync"
	"sync/atomic"
	"time"
)

// MaxKeys is the maximum number of keys of a Recorder and of encoded evidence.
const MaxKeys = 256

// reservedKeys is the number of keys that only counts with an empty route may use. They keep the totals of
// further versions once the other keys are used up.
const reservedKeys = 16

// Recorder counts the outcomes of one host's requests, by version and route. The zero value is ready to use.
// Record takes no lock except for the first request of a key.
//
// The verdict compares versions over the same time. Callers therefore record a request at an old version only if chance
// alone kept it from the target: the exposure was open with credit left (Credit.Ready), or the phase is PhasePromoting.
// Otherwise a fault of all versions counts against the version that had more of its requests at that time.
type Recorder struct {
	table atomic.Pointer[recorderTable]
}

// recorderTable holds the counters since the last Reset.
type recorderTable struct {
	counters sync.Map // of EvidenceKey to *counters
	keys     atomic.Int64
}

// counters are the atomic form of Counts. Ended is not kept: it is the sum of failed and latency, so that a
// snapshot during Record cannot show more failed than ended requests.
type counters struct {
	failed  atomic.Int64
	latency [Buckets]atomic.Int64
}

// Record counts one ended request. The latency, the time to the first byte, is ignored for a failed request.
// Counts beyond the maximum number of keys are kept under an empty route or dropped.
func (r *Recorder) Record(version, route string, failed bool, latency time.Duration) {
	if len(version) > MaxName {
		return
	}
	if len(route) > MaxName {
		route = ""
	}
	c := r.current().find(EvidenceKey{Version: version, Route: route})
	switch {
	case c == nil:
	case failed:
		c.failed.Add(1)
	default:
		c.latency[Bucket(latency)].Add(1)
	}
}

// Snapshot returns the counts since the last Reset.
func (r *Recorder) Snapshot() Evidence {
	out := Evidence{}
	r.current().counters.Range(func(key, value any) bool {
		out[key.(EvidenceKey)] = value.(*counters).counts()
		return true
	})
	return out
}

// Reset deletes all counts. A request that is recorded at the same time may be lost.
func (r *Recorder) Reset() { r.table.Store(&recorderTable{}) }

// current returns the table in use and creates the first one.
func (r *Recorder) current() *recorderTable {
	if t := r.table.Load(); t != nil {
		return t
	}
	r.table.CompareAndSwap(nil, &recorderTable{})
	return r.table.Load()
}

// find returns the counters of a key, of its version without a route, or nil if both are beyond the limits.
func (t *recorderTable) find(key EvidenceKey) *counters {
	if c, known := t.counters.Load(key); known {
		return c.(*counters)
	}
	limit := int64(MaxKeys)
	if key.Route != "" {
		limit -= reservedKeys
	}
	if t.keys.Add(1) > limit {
		t.keys.Add(-1)
		if key.Route == "" {
			return nil
		}
		return t.find(EvidenceKey{Version: key.Version})
	}
	c, known := t.counters.LoadOrStore(key, &counters{})
	if known {
		t.keys.Add(-1)
	}
	return c.(*counters)
}

// counts returns the current values.
func (c *counters) counts() Counts {
	out := Counts{Failed: c.failed.Load()}
	out.Ended = out.Failed
	for i := range c.latency {
		out.Latency[i] = c.latency[i].Load()
		out.Ended += out.Latency[i]
	}
	return out
}
