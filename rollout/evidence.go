package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// EvidenceKey identifies the counts of one version on one route. An empty route stands for all routes that
// have no counts of their own.
type EvidenceKey struct{ Version, Route string }

// Buckets is the number of latency buckets. Bucket i counts latencies from 2^(i/4) ms, the first one also all
// shorter ones, and the last one also all longer ones (from 3.4 s).
const Buckets = 48

// Counts are the ended requests of one version on one route.
type Counts struct {
	// Ended counts the requests that have ended, and Failed those of them that failed: a 5xx answer, a broken,
	// empty or missing answer, or a time-out. Rejections that state "not run" and requests whose caller
	// disconnected are in neither.
	Ended, Failed int64
	// Latency counts the answers of requests that did not fail, by the time to their first byte.
	Latency [Buckets]int64
}

// Bucket returns the index in Counts.Latency of a latency.
func Bucket(latency time.Duration) int {
	if latency <= time.Millisecond {
		return 0
	}
	return min(int(4*math.Log2(float64(latency)/float64(time.Millisecond))), Buckets-1)
}

// Add adds the counts of other to c, up to the maximum that can be encoded.
func (c *Counts) Add(other Counts) {
	c.Ended = min(c.Ended+other.Ended, maxCount)
	c.Failed = min(c.Failed+other.Failed, maxCount)
	for i, n := range other.Latency {
		c.Latency[i] = min(c.Latency[i]+n, maxCount)
	}
}

// since returns the counts beyond those of an earlier time. Counts of a process whose last report is lost may be missing
// from c, so that none is negative.
func (c Counts) since(earlier Counts) Counts {
	out := Counts{Ended: max(0, c.Ended-earlier.Ended)}
	out.Failed = min(max(0, c.Failed-earlier.Failed), out.Ended)
	for i, n := range c.Latency {
		out.Latency[i] = max(0, n-earlier.Latency[i])
	}
	return out
}

// Evidence holds the counts by version and route. Its CBOR encoding is bounded: MaxKeys keys, names of MaxName
// bytes and no negative counts.
type Evidence map[EvidenceKey]Counts

// Add adds the counts of other to e, which must not be nil. Beyond MaxKeys keys it adds them to those of the version
// without a route, or drops them if there are none.
func (e Evidence) Add(other Evidence) {
	for _, key := range other.keys() {
		counts := other[key]
		sum, known := e[key]
		if !known && len(e) >= MaxKeys {
			key.Route = ""
			if sum, known = e[key]; !known {
				continue
			}
		}
		sum.Add(counts)
		e[key] = sum
	}
}

// since returns the evidence with only those counts of some versions that are beyond those of an earlier time.
func (e Evidence) since(earlier Evidence, versions ...string) Evidence {
	out := maps.Clone(e)
	for key, counts := range e {
		if slices.Contains(versions, key.Version) {
			out[key] = counts.since(earlier[key])
		}
	}
	return out
}

// keys returns the keys, sorted.
func (e Evidence) keys() []EvidenceKey {
	return slices.SortedFunc(maps.Keys(e), func(a, b EvidenceKey) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
}
