package kv

import (
	"sync"
	"time"
)

// firstEra is the only era in which a service cannot have come back from a copy. One that counts from 1 looks as if it had.
const firstEra = 0

// EraSight is what this process knows of the service's present era.
type EraSight struct {
	Era Era
	// Since is when an answer of the era arrived first.
	Since time.Time
	// First reports that the service has never come back from a copy.
	First bool
}

// EraObserver is implemented by a Store that notes the eras in the answers of the service.
type EraObserver interface {
	// EraSight returns what is known of the present era. ok is false before the first answer that names it.
	EraSight() (sight EraSight, ok bool)
}

// eraLog is the record of a Client of the present era.
type eraLog struct {
	mu    sync.Mutex
	known bool
	sight EraSight
}

// note records that an answer of the era has arrived. Late answers of earlier eras change nothing.
func (l *eraLog) note(era Era) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && era <= l.sight.Era {
		return
	}
	l.sight = EraSight{Era: era, Since: time.Now(), First: era == firstEra}
	l.known = true
}

// EraSight implements EraObserver.
func (c *Client) EraSight() (sight EraSight, ok bool) {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.sight, c.eras.known
}
