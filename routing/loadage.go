package routing

import (
	"sync/atomic"
	"time"
)

// LoadAge tells how old the sums of the other hosts' loads are. The zero value is ready to use. Concurrent
// use is safe.
type LoadAge struct {
	received atomic.Int64 // when the newest sums were received, in Unix nanoseconds
	interval atomic.Int64 // time between the last two sums, in nanoseconds
}

// maxLoadAge bounds the age of sums. Older ones are not used any more.
const maxLoadAge = time.Second

// Received records that new sums were received.
func (a *LoadAge) Received(now time.Time) {
	at := now.UnixNano()
	if before := a.received.Swap(at); before > 0 {
		a.interval.Store(at - before)
	}
}

// Age returns the mean age of the reports in the newest sums; zero before the first ones. On average, a
// report is half an interval old when it is received.
func (a *LoadAge) Age(now time.Time) time.Duration {
	received := a.received.Load()
	if received == 0 {
		return 0
	}
	return min(time.Duration(max(0, now.UnixNano()-received)+a.interval.Load()/2), maxLoadAge)
}
