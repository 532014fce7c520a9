// Package clocktest provides a clock for tests of code that measures time by clock.Elapsed.
package clocktest

import (
	"sync"
	"time"
)

// Clock is a boot-time clock of a host that tests can suspend. It advances with the time of package
// time, also with that of a synctest bubble, and in one step at each suspension. Use New.
type Clock struct {
	mu      sync.Mutex
	started time.Time
	rate    float64
	slept   time.Duration
}

// New returns a running clock. At a rate other than 1, it runs faster or slower than the time of package
// time.
func New(rate float64) *Clock { return &Clock{started: time.Now(), rate: rate} }

// Elapsed returns the time since the clock was made. It implements clock.Elapsed.
func (c *Clock) Elapsed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rate*float64(time.Since(c.started))) + c.slept
}

// Suspend advances the clock by the duration of a suspension, during which timers and the monotonic clock
// of the host stand still.
func (c *Clock) Suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slept += d
}
