package metrics

import (
	"expvar"
	"strconv"
	"time"
)

// bounds are the upper ends of a histogram's buckets, in milliseconds.
var bounds = []int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}

// Histogram counts spans of time in buckets; each bucket counts the spans up
// to its bound in milliseconds.
type Histogram struct {
	vars    *expvar.Map
	buckets []string
}

// NewHistogram publishes a histogram. It is called from package variables only.
func NewHistogram(name, help string) *Histogram {
	c := New(name, help)
	h := &Histogram{vars: c.vars}
	for _, bound := range bounds {
		h.buckets = append(h.buckets, "le_"+strconv.FormatInt(bound, 10)+"_ms")
	}
	return h
}

// Observe counts one span.
func (h *Histogram) Observe(span time.Duration) {
	ms := span.Milliseconds()
	h.vars.Add("count", 1)
	h.vars.Add("sum_ms", ms)
	for i, bound := range bounds {
		if ms <= bound {
			h.vars.Add(h.buckets[i], 1)
			return
		}
	}
}
