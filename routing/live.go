package routing

import (
	"sync/atomic"
	"time"
)

const (
	// slowFactor is the multiple of the pool's typical time between tokens above
	// which an upstream is marked as a straggler (unusually slow).
	slowFactor = 4
	// slowMarkSpan is how long a straggler mark lasts after the last slow
	// measurement.
	slowMarkSpan = 4 * time.Second
	// probeSpan is how long an upstream is probed with one stream at a time after
	// its straggler mark expired.
	probeSpan = 20 * time.Second
	// failBackoff is how long an upstream receives no work after one failed
	// attempt. Each further failure in a row doubles the time, up to maxFailures
	// failures.
	failBackoff = time.Second
	maxFailures = 6
	// MinStall is the shortest time without a token that counts as a stall of a
	// stream.
	MinStall = 150 * time.Millisecond
	// MinHedge is the shortest wait for a first token before a hedge (a second
	// attempt at another upstream).
	MinHedge = 80 * time.Millisecond
	// HedgeCheckInterval is how often a request without a first token checks whether its
	// upstream has become a straggler.
	HedgeCheckInterval = 50 * time.Millisecond
	// minUnmarkedHedge and hedgeFactor are lower bounds of the wait for a first
	// token before a second attempt, if the first upstream is not marked as a
	// straggler. hedgeFactor is a multiple of the estimated time to first token.
	minUnmarkedHedge = 500 * time.Millisecond
	hedgeFactor      = 2
)

// DurationEstimate estimates a duration by its smoothed mean and deviation, as TCP does for
// round-trip times. The zero value has no measurements. Concurrent use is safe:
// if two writers collide, one update is lost, which is harmless.
type DurationEstimate struct {
	mean, deviation atomic.Int64 // in nanoseconds
}

// Add includes one measurement in the estimate. It moves the mean by 1/8 and the
// deviation by 1/4 of the difference.
func (s *DurationEstimate) Add(measured time.Duration) {
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

// Mean returns the smoothed mean, or zero before the first measurement.
func (s *DurationEstimate) Mean() time.Duration { return time.Duration(s.mean.Load()) }

// High returns the mean plus four deviations, or zero before the first
// measurement.
func (s *DurationEstimate) High() time.Duration {
	return time.Duration(s.mean.Load() + 4*s.deviation.Load())
}

// UpstreamStats holds this host's measurements of one upstream and the loads that other
// hosts report for it. The zero value is ready to use.
type UpstreamStats struct {
	inFlight atomic.Int64
	waiting  atomic.Int64 // prompt tokens from this host that the upstream has not read yet
	outcomes outcomeCounter
	// othersWaiting, othersInFlight and othersOutcomes are the latest reports of
	// the other hosts.
	othersWaiting, othersInFlight atomic.Int64
	othersOutcomes                atomic.Pointer[Outcomes]
	slowUntil                     atomic.Int64  // expiry of the straggler mark, in Unix nanoseconds; zero if unmarked
	failures                      atomic.Int64  // failures in a row
	failedAt                      atomic.Int64  // when the last of failures was counted, in Unix nanoseconds
	rateBits                      atomic.Uint64 // rate as a multiple of the pool's median, as float64 bits; zero if unknown
	// TokenGap estimates the time between two tokens of a stream.
	TokenGap DurationEstimate
}

// Begin counts a stream that this host sends to the upstream.
func (l *UpstreamStats) Begin() { l.inFlight.Add(1) }

// End counts the end of a stream that Begin counted.
func (l *UpstreamStats) End() { l.inFlight.Add(-1) }

// InFlight returns the number of streams that this host has open at the upstream.
func (l *UpstreamStats) InFlight() int { return int(l.inFlight.Load()) }

// Slow reports whether new streams should avoid the upstream because it is a
// straggler. For up to probeSpan after the mark expired, one stream at a time
// probes the upstream, until a token that arrives in time clears the mark.
func (l *UpstreamStats) Slow(now time.Time) bool {
	until := l.slowUntil.Load()
	if until == 0 || now.UnixNano() >= until+int64(probeSpan) {
		return false
	}
	return now.UnixNano() < until || l.inFlight.Load() > 0
}

// Marked reports whether the upstream has a straggler mark that is valid or
// expired less than probeSpan ago. During that time the other hosts leave the
// probes to this host.
func (l *UpstreamStats) Marked(now time.Time) bool {
	until := l.slowUntil.Load()
	return until != 0 && now.UnixNano() < until+int64(probeSpan)
}

// MarkSlow marks the upstream as a straggler for slowMarkSpan.
func (l *UpstreamStats) MarkSlow(now time.Time) { l.slowUntil.Store(now.Add(slowMarkSpan).UnixNano()) }

// Token records the time between two tokens of a stream. A gap above the stall
// limit marks the upstream as a straggler; a shorter gap clears the mark unless
// the latest attempt failed. typical is the pool's typical gap, or zero when
// unknown.
func (l *UpstreamStats) Token(now time.Time, gap, typical time.Duration) {
	if typical > 0 && gap > max(slowFactor*typical, MinStall) {
		l.MarkSlow(now)
		return // the gaps of a straggler are excluded from the typical gap
	}
	l.TokenGap.Add(gap)
	if l.slowUntil.Load() != 0 && l.failures.Load() == 0 {
		l.slowUntil.Store(0)
	}
}

// StallAfter returns the time without a token after which a stream counts as
// stalled. typical is the pool's typical time between tokens.
func StallAfter(typical time.Duration) time.Duration {
	return max(slowFactor*typical, MinStall)
}

// HedgeAfter returns how long a request waits for a first token before a second
// attempt, if its upstream is not marked as a straggler. At a straggler the wait
// is MinHedge. first estimates the time to first token of prompts of this size.
func HedgeAfter(first *DurationEstimate) time.Duration {
	return max(hedgeFactor*first.High(), minUnmarkedHedge)
}

// Fail records a failed attempt. The upstream receives no work for a time that doubles with each
// failure in a row, up to maxFailures. Attempts that fail in that time are no further failures: they
// were sent before, or as a last resort.
func (l *UpstreamStats) Fail(now time.Time) {
	failures, failedAt := l.failures.Load(), l.failedAt.Load()
	if failures > 0 && now.UnixNano() < failedAt+int64(backoffAfter(failures)) || !l.failedAt.CompareAndSwap(failedAt, now.UnixNano()) {
		return
	}
	l.slowUntil.Store(now.Add(backoffAfter(l.failures.Add(1))).UnixNano())
}

// backoffAfter returns the time without work after a number of failures in a row.
func backoffAfter(failures int64) time.Duration {
	return failBackoff << (min(failures, maxFailures) - 1)
}

// Succeed resets the number of failures in a row.
func (l *UpstreamStats) Succeed() {
	if l.failures.Load() != 0 {
		l.failures.Store(0)
	}
}
