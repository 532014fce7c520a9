package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of time buckets in a sliding window.
	windowBuckets = 20
	// repeatBuckets is the number of buckets in which repeated attempts count: those of the window and two more, as
	// the oldest one is counted in part and a repeated attempt reaches its upstream up to the time of a dial later.
	repeatBuckets = windowBuckets + 2
	// boundShare is the part of the bound that hosts may use. The rest is a
	// margin, because hosts count only their own requests and see each other join
	// and leave with a delay, and is what started processes may use.
	boundShare = 0.8
	// startShare is the part of the bound's ratio that a started process may use.
	startShare = 1 - boundShare
)

// Bound limits the repeated attempts at a pool of upstreams, summed over all
// hosts.
type Bound struct {
	// Ratio is the number of repeated attempts allowed per request.
	Ratio float64
	// Slack is the number of repeated attempts allowed per window in addition to
	// Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// RepeatLimiter counts requests and repeated attempts of each pool in a sliding window. Its times are those of a clock
// that steps of the wall clock do not affect, such as clock.SinceBoot.
//
// The counts end with the process. Processes that ended may have used all of what hosts may use, so that a started
// process uses a part of the margin until their repeated attempts have left the window. Use NewRepeatLimiter.
type RepeatLimiter struct {
	bound   Bound
	started time.Duration
	mu      sync.Mutex
	pools   map[string]*window
}

// window is a ring of time buckets with the counts of one pool.
type window struct {
	requests, repeats [repeatBuckets]int
	last              int64 // number of the newest bucket, counted from the clock's zero
}

// NewRepeatLimiter returns a limiter that enforces the bound and has no counts yet. started is when the process
// started; zero if no process before it can have used a part of the bound.
func NewRepeatLimiter(bound Bound, started time.Duration) *RepeatLimiter {
	return &RepeatLimiter{bound: bound, started: started, pools: map[string]*window{}}
}

// Request counts a client's request for a pool.
func (l *RepeatLimiter) Request(pool string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.advance(pool, now)
	v.requests[v.last%repeatBuckets]++
}

// Decision is what a RepeatLimiter decides about a repeated attempt, and by which figures.
type Decision struct {
	Allowed bool
	// Repeats and Requests are the counts of the window, without the attempt itself.
	Repeats, Requests int
	// Limit is this host's part of the bound, in repeated attempts.
	Limit float64
	// Hosts is the number of hosts that share the bound.
	Hosts int
	// RecentlyStarted is whether the limit is that of a started process.
	RecentlyStarted bool
}

// Allow decides about one repeated attempt, and counts it if it is within this host's part of the bound. hosts is
// the number of hosts that share the bound; zero if this host has no part of the slack.
func (l *RepeatLimiter) Allow(pool string, hosts int, now time.Duration) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.advance(pool, now)
	d := Decision{Hosts: hosts}
	for age := range int64(repeatBuckets) {
		i := (v.last - age + repeatBuckets) % repeatBuckets
		d.Repeats += v.repeats[i]
		if age < windowBuckets {
			d.Requests += v.requests[i]
		}
	}
	d.RecentlyStarted = l.recentlyStarted(now)
	byRatio := l.bound.Ratio * float64(d.Requests)
	switch {
	case d.RecentlyStarted:
		d.Limit = startShare * byRatio
	case hosts <= 0:
		d.Limit = boundShare * byRatio
	default:
		d.Limit = boundShare * (byRatio + l.bound.Slack/float64(hosts))
	}
	if d.Allowed = float64(d.Repeats+1) <= d.Limit; d.Allowed {
		v.repeats[v.last%repeatBuckets]++
	}
	return d
}

// recentlyStarted reports whether repeated attempts of an earlier process may still be in the window.
func (l *RepeatLimiter) recentlyStarted(now time.Duration) bool {
	return l.started != 0 && now-l.started < repeatBuckets*l.bucket()
}

// bucket returns the length of a time bucket.
func (l *RepeatLimiter) bucket() time.Duration { return l.bound.Window / windowBuckets }

// advance returns a pool's window after clearing the buckets that have become too
// old.
func (l *RepeatLimiter) advance(pool string, now time.Duration) *window {
	v := l.pools[pool]
	number := int64(now / l.bucket())
	if v == nil {
		v = &window{last: number}
		l.pools[pool] = v
	}
	for n := max(v.last+1, number-repeatBuckets+1); n <= number; n++ {
		v.requests[n%repeatBuckets], v.repeats[n%repeatBuckets] = 0, 0
	}
	v.last = max(v.last, number)
	return v
}
