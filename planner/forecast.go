package planner

import (
	"math"
	"time"
)

// Forecast predicts a demand from its samples: a level and a trend, each
// smoothed exponentially. The zero value has no samples.
type Forecast struct {
	// Level is the smoothed demand, Trend its change in a second.
	Level, Trend float64
	// At is the time of the newest sample; zero before the first.
	At time.Time
}

const (
	// levelSpan and trendSpan are the time constants of the smoothing.
	levelSpan = 30 * time.Second
	trendSpan = 5 * time.Minute
)

// Add returns the forecast with one more sample. A sample that is not newer
// than the last is ignored.
func (f Forecast) Add(demand float64, at time.Time) Forecast {
	if f.At.IsZero() {
		return Forecast{Level: demand, At: at}
	}
	elapsed := at.Sub(f.At)
	if elapsed <= 0 {
		return f
	}
	predicted := f.Level + f.Trend*elapsed.Seconds()
	level := predicted + weight(elapsed, levelSpan)*(demand-predicted)
	slope := (level - f.Level) / elapsed.Seconds()
	return Forecast{Level: level, Trend: f.Trend + weight(elapsed, trendSpan)*(slope-f.Trend), At: at}
}

// weight is the weight of a sample that comes elapsed after the last.
func weight(elapsed, span time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/span.Seconds())
}

// Demand predicts the demand at a time; never below zero.
func (f Forecast) Demand(at time.Time) float64 {
	return max(0, f.Level+f.Trend*at.Sub(f.At).Seconds())
}
