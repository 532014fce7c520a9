package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the resolution of a sliding window.
	windowBuckets = 20
	// windowUse is the part of the bound that is given out: hosts count their
	// own requests only, and see each other join and leave with a delay.
	windowUse = 0.8
)

// Bound limits repeated attempts at a pool over all hosts.
type Bound struct {
	// Ratio is the number of repeated attempts for each request.
	Ratio float64
	// Slack is the number of repeated attempts beside them in a window.
	Slack float64
	// Window is the span that is counted.
	Window time.Duration
}

// Windows counts requests and repeated attempts by pool in a sliding window.
// Use NewWindows.
type Windows struct {
	bound Bound
	mu    sync.Mutex
	pools map[string]*window
}

// window is a ring of counts.
type window struct {
	requests, repeats [windowBuckets]int
	last              int64 // number of the newest bucket
}

// NewWindows returns empty windows.
func NewWindows(bound Bound) *Windows {
	return &Windows{bound: bound, pools: map[string]*window{}}
}

// Request counts a caller's request for a pool.
func (w *Windows) Request(pool string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.at(pool, now)
	v.requests[v.last%windowBuckets]++
}

// Allow takes one repeated attempt from this host's part of the bound.
func (w *Windows) Allow(pool string, hosts int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.at(pool, now)
	requests, repeats := 0, 0
	for i := range windowBuckets {
		requests += v.requests[i]
		repeats += v.repeats[i]
	}
	limit := windowUse * (w.bound.Ratio*float64(requests) + w.bound.Slack/float64(max(hosts, 1)))
	if float64(repeats+1) > limit {
		return false
	}
	v.repeats[v.last%windowBuckets]++
	return true
}

// at moves a pool's window to now.
func (w *Windows) at(pool string, now time.Time) *window {
	v := w.pools[pool]
	number := now.UnixNano() / int64(w.bound.Window/windowBuckets)
	if v == nil {
		v = &window{last: number}
		w.pools[pool] = v
	}
	for n := max(v.last+1, number-windowBuckets+1); n <= number; n++ {
		v.requests[n%windowBuckets], v.repeats[n%windowBuckets] = 0, 0
	}
	v.last = max(v.last, number)
	return v
}
