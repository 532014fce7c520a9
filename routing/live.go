package routing

import (
	"sync/atomic"
	"time"
)

const (
	// slowFactor is the multiple of the pool's typical time between tokens
	// from which a time between tokens marks a straggler.
	slowFactor = 4
	// slowHold is how long a mark lasts after the last slow measurement.
	slowHold = 4 * time.Second
	// slowForget is how long a mark that has run out still asks for a probe.
	slowForget = 20 * time.Second
	// failHold is how long an upstream gets no work after one failure;
	// it doubles up to maxFailures in a row.
	failHold    = time.Second
	maxFailures = 6
	// MinStall is the shortest silence that counts as a stall.
	MinStall = 150 * time.Millisecond
	// MinHedge is the shortest wait for a first token before a hedge.
	MinHedge = 80 * time.Millisecond
	// HedgeCheck is how often a request without a first token looks whether
	// its upstream became a straggler.
	HedgeCheck = 50 * time.Millisecond
	// unmarkedHedge and hedgeFactor bound the wait from below where nothing
	// marks the upstream.
	unmarkedHedge = 500 * time.Millisecond
	hedgeFactor   = 2
)

// Span estimates a time span by its smoothed mean and deviation, as TCP does
// for round trips. The zero value is empty. Concurrent use is safe; a lost
// update between two writers is harmless.
type Span struct {
	mean, deviation atomic.Int64 // ns
}

// Add adds one measurement.
func (s *Span) Add(measured time.Duration) {
	mean := s.mean.Load()
	if mean == 0 {
		s.mean.Store(int64(measured))
		s.deviation.Store(int64(measured) / 2)
		return
	}
	diff := int64(measured) - mean
	s.mean.Store(mean + diff/8)
	deviation := s.deviation.Load()
	s.deviation.Store(deviation + (max(diff, -diff)-deviation)/4)
}

// Mean returns the smoothed mean; zero when nothing was measured.
func (s *Span) Mean() time.Duration { return time.Duration(s.mean.Load()) }

// High returns the mean and four deviations; zero when nothing was measured.
func (s *Span) High() time.Duration { return time.Duration(s.mean.Load() + 4*s.deviation.Load()) }

// Live is one upstream as this host measures it. The zero value is ready.
type Live struct {
	inFlight atomic.Int64
	waiting  atomic.Int64 // prompt tokens not yet read
	evidence evidence
	// What the other hosts have there, as they said last.
	othersWaiting, othersInFlight atomic.Int64
	othersOutcomes                atomic.Pointer[Outcomes]
	slowUntil                     atomic.Int64 // unix ns
	failures                      atomic.Int64 // in a row
	// Gap is the time between two tokens of a stream.
	Gap Span
}

// Begin counts a stream that is sent to the upstream.
func (l *Live) Begin() { l.inFlight.Add(1) }

// End counts a stream that ended there.
func (l *Live) End() { l.inFlight.Add(-1) }

// InFlight is the number of this host's streams there.
func (l *Live) InFlight() int { return int(l.inFlight.Load()) }

// Slow says whether the upstream is to be left alone as a straggler. When a
// mark has run out, one stream at a time probes the upstream until a token in
// time clears the mark.
func (l *Live) Slow(now time.Time) bool {
	until := l.slowUntil.Load()
	if until == 0 || now.UnixNano() >= until+int64(slowForget) {
		return false
	}
	return now.UnixNano() < until || l.inFlight.Load() > 0
}

// Marked says whether a mark is there, even if it has run out: then other
// hosts leave the probing to this one.
func (l *Live) Marked(now time.Time) bool {
	until := l.slowUntil.Load()
	return until != 0 && now.UnixNano() < until+int64(slowForget)
}

// MarkSlow marks the upstream as a straggler.
func (l *Live) MarkSlow(now time.Time) { l.slowUntil.Store(now.Add(slowHold).UnixNano()) }

// Token adds the time between two tokens of a stream and marks a straggler.
// typical is the pool's typical gap; zero when unknown.
func (l *Live) Token(now time.Time, gap, typical time.Duration) {
	if typical > 0 && gap > max(slowFactor*typical, MinStall) {
		l.MarkSlow(now)
		return // a straggler's moments do not become the typical gap
	}
	l.Gap.Add(gap)
	if l.slowUntil.Load() != 0 && l.failures.Load() == 0 {
		l.slowUntil.Store(0)
	}
}

// StallAfter returns the silence after which a stream counts as stalled.
func StallAfter(typical time.Duration) time.Duration {
	return max(slowFactor*typical, MinStall)
}

// HedgeAfter returns how long to wait for a first token before a second
// attempt at an upstream that nothing speaks against; first estimates the times
// to first token of requests of this size. At a straggler the wait is MinHedge.
func HedgeAfter(first *Span) time.Duration {
	return max(hedgeFactor*first.High(), unmarkedHedge)
}

// Fail counts a failed attempt: the upstream gets no work for a span that
// doubles with each failure in a row.
func (l *Live) Fail(now time.Time) {
	failures := min(l.failures.Add(1), maxFailures)
	l.slowUntil.Store(now.Add(failHold << (failures - 1)).UnixNano())
}

// Succeed ends a row of failures.
func (l *Live) Succeed() {
	if l.failures.Load() != 0 {
		l.failures.Store(0)
	}
}
