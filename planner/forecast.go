package planner

import (
	"math"
	"time"
)

// Forecast predicts a demand from samples by double exponential smoothing of its level and trend.
// The zero value has no samples.
type Forecast struct {
	// Level is the smoothed demand; Trend is its change per second.
	Level, Trend float64
	// At is the time of the newest sample; zero before the first sample.
	At time.Time
}

const (
	// levelTimeConstant and trendTimeConstant are the time constants of the exponential smoothing.
	levelTimeConstant = 30 * time.Second
	trendTimeConstant = 5 * time.Minute
)

// Add returns the forecast updated with one sample. It ignores a sample that is not newer than
// the last one.
func (f Forecast) Add(demand float64, at time.Time) Forecast {
	if f.At.IsZero() {
		return Forecast{Level: demand, At: at}
	}
	elapsed := at.Sub(f.At)
	if elapsed <= 0 {
		return f
	}
	predicted := f.Level + f.Trend*elapsed.Seconds()
	level := predicted + weight(elapsed, levelTimeConstant)*(demand-predicted)
	slope := (level - f.Level) / elapsed.Seconds()
	return Forecast{Level: level, Trend: f.Trend + weight(elapsed, trendTimeConstant)*(slope-f.Trend), At: at}
}

// weight returns the smoothing weight of a sample that arrives elapsed after the previous one.
func weight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// Demand predicts the demand at a time; the result is never negative.
func (f Forecast) Demand(at time.Time) float64 {
	return max(0, f.Level+f.Trend*at.Sub(f.At).Seconds())
}
