package cardamompier

import (
	"sync"
	"time"
)

// drain waits until no request is running and no new one has arrived for drainQuietSpan, and
// at most until end. Callers with a cached address of this host are served meanwhile.
func (f *ForwardServer) drain(stopped, end time.Time) {
	awaitQuiet(func(now time.Time) bool {
		return now.Sub(time.Unix(0, max(f.lastRequest.Load(), stopped.UnixNano()))) > drainQuietSpan && f.forwarder.Active() == 0
	}, end)
}

// awaitQuiet waits until quiet returns true, and at most until end.
func awaitQuiet(quiet func(now time.Time) bool, end time.Time) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	ended := time.NewTimer(time.Until(end))
	defer ended.Stop()
	for {
		select {
		case now := <-ticker.C:
			if quiet(now) {
				return
			}
		case <-ended.C:
			return
		}
	}
}

// awaitAll waits until all parts have ended, and at most until a time. It returns whether they have: a call to a
// store that does not answer may take longer than the grace period.
func awaitAll(parts *sync.WaitGroup, until time.Time) bool {
	ended := make(chan struct{})
	go func() {
		parts.Wait()
		close(ended)
	}()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}
