package metrics

import (
	"expvar"
	"strconv"
	"time"
)

// bounds are the upper bounds of the histogram buckets, in milliseconds.
var bounds = []int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}

// Histogram counts durations in buckets. A duration is counted in the first bucket whose
// upper bound it does not exceed; one above the last bound, 10 s, only in count and sum_ms.
type Histogram struct {
	vars    *expvar.Map
	buckets []string
}

// NewHistogram creates and publishes a histogram. Call it only to initialize a package
// variable: expvar panics if a name is published twice.
func NewHistogram(name, help string) *Histogram {
	c := New(name, help)
	h := &Histogram{vars: c.vars}
	for _, bound := range bounds {
		h.buckets = append(h.buckets, "le_"+strconv.FormatInt(bound, 10)+"_ms")
	}
	return h
}

// Observe counts one duration, in whole milliseconds.
func (h *Histogram) Observe(d time.Duration) {
	ms := d.Milliseconds()
	h.vars.Add("count", 1)
	h.vars.Add("sum_ms", ms)
	for i, bound := range bounds {
		if ms <= bound {
			h.vars.Add(h.buckets[i], 1)
			return
		}
	}
}
