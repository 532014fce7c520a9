// Package clock measures time on a host that may be suspended and whose wall clock may be set
// wrongly for a while.
//
// The monotonic clock of package time stops while the host is suspended. What a host may rely on for
// a limited time, such as a lease, is therefore measured by the boot-time clock, which runs on: see
// Elapsed. Clock estimates true time from one reading of the wall clock and the boot-time clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock estimates true time. Create it with New.
type Clock struct {
	began       time.Time     // wall-clock time when the Clock was created
	bootAtStart time.Duration // boot time when the Clock was created
}

// Elapsed returns the time since a fixed moment in the past, including the time for which the host was
// suspended. Changes of the wall clock do not affect it. It is safe for concurrent use.
type Elapsed func() time.Duration

// New returns a clock that assumes that the wall clock is correct at the time of the call.
func New() *Clock {
	return &Clock{began: time.Now(), bootAtStart: SinceBoot()}
}

// Now returns the estimated true time, without a monotonic clock reading.
func (c *Clock) Now() time.Time { return c.began.Round(0).Add(SinceBoot() - c.bootAtStart) }

// started is the start of the time that SinceBoot returns if the system has no boot-time
// clock.
var started = time.Now()

// SinceBoot returns the time since the machine started, including the time it was suspended. Without a
// boot-time clock it returns the time since this process started. It implements Elapsed.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}
