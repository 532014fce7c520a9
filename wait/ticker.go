package wait

import (
	"sync"
	"time"
)

// Ticker replaces time.Ticker in code that tests run in a synctest bubble. With
// the race detector of Go 1.26, time.Ticker can crash the process there: when two
// goroutines find their tickers overdue at the same moment, both run the timers
// with the single race context of the bubble. Ticker uses time.AfterFunc, whose
// timer is run by only one goroutine. Use NewTicker.
type Ticker struct {
	// C delivers the time once per interval. Ticks are dropped while an earlier tick
	// has not been received.
	C <-chan time.Time

	mu       sync.Mutex
	timer    *time.Timer
	nextTick time.Time
	stopped  bool
}

// NewTicker returns a running Ticker, which the caller must Stop.
func NewTicker(interval time.Duration) *Ticker {
	c := make(chan time.Time, 1)
	t := &Ticker{C: c, nextTick: time.Now().Add(interval)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(interval, func() { t.tick(c, interval) })
	return t
}

// tick sends the current time on c and schedules the next tick. It skips ticks whose
// time has passed, so that later ticks stay at multiples of interval.
func (t *Ticker) tick(c chan<- time.Time, interval time.Duration) {
	now := time.Now()
	select {
	case c <- now:
	default:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	for t.nextTick = t.nextTick.Add(interval); !t.nextTick.After(now); t.nextTick = t.nextTick.Add(interval) {
	}
	t.timer.Reset(t.nextTick.Sub(now))
}

// Stop stops the ticker. It does not close C.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
