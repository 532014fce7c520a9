package planner

import (
	"math"
	"time"
)

// RateMeter estimates the rate of a load from its arrivals, by an exponentially weighted average that
// is not biased towards zero while the load has just begun. The zero value is ready for use after
// Window is set. It is not safe for concurrent use.
type RateMeter struct {
	// Window is the time constant of the average: how long an arrival counts.
	Window time.Duration
	// Unbiased corrects the average for the time before the first arrival. Without it, the estimate
	// of a steady load reaches 63% of the load after one Window.
	Unbiased bool

	perSecond float64
	updatedAt time.Time
	beganAt   time.Time // first arrival; zero before it
}

// minObservedShare bounds the correction for the time before the first arrival: the average counts as
// observed for at least this share of a window, so that two early arrivals are no burst.
const minObservedShare = 0.2

// Add counts an arrival of the given size.
func (m *RateMeter) Add(size float64, now time.Time) {
	if m.Unbiased && m.beganAt.IsZero() {
		// The observation begins with this arrival. Counting it too would raise the estimate by one
		// arrival for a span without any information.
		m.beganAt, m.updatedAt = now, now
		return
	}
	m.decay(now)
	m.perSecond += size / m.Window.Seconds()
}

// Rate returns the estimated size of the arrivals per second.
func (m *RateMeter) Rate(now time.Time) float64 {
	m.decay(now)
	if !m.Unbiased || m.beganAt.IsZero() {
		return m.perSecond
	}
	observed := 1 - math.Exp(-float64(now.Sub(m.beganAt))/float64(m.Window))
	return m.perSecond / max(observed, minObservedShare)
}

func (m *RateMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.perSecond *= math.Exp(-float64(elapsed) / float64(m.Window))
		m.updatedAt = now
	}
}
