// Package clock estimates true time on a host whose time of day may be set
// wrongly for a while. It reads the time of day once and goes on from there by
// a clock that keeps running while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is an estimate of true time. Use New.
type Clock struct {
	began time.Time     // time of day at the start
	since time.Duration // boot time at the start
}

// New returns a clock that takes the time of day of now for true.
func New() *Clock {
	return &Clock{began: time.Now(), since: bootTime()}
}

// Now returns the estimate of true time.
func (c *Clock) Now() time.Time { return c.began.Round(0).Add(bootTime() - c.since) }

// started is the reference of bootTime where the system has no such clock.
var started = time.Now()

// bootTime returns the time since the machine's start, suspensions included.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}
