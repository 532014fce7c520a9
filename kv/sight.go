package kv

import (
	"sync"
	"time"
)

// EraSight is what this process knows of the service's present era.
type EraSight struct {
	Era Era
	// Since is when an answer of the era arrived first.
	Since time.Time
}

// EraObserver is implemented by a Store that notes the eras in the answers of the service.
type EraObserver interface {
	// EraSight returns what is known of the present era. ok is false before the first answer that names it.
	EraSight() (sight EraSight, ok bool)
}

// EraSightOf returns what is known of the present era of a service. ok is false if the store does not note eras, and
// before the first answer that names the era.
func EraSightOf(store Store) (sight EraSight, ok bool) {
	if observer, notes := store.(EraObserver); notes {
		return observer.EraSight()
	}
	return EraSight{}, false
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
	l.sight = EraSight{Era: era, Since: time.Now()}
	l.known = true
}

// EraSight implements EraObserver.
func (c *Client) EraSight() (sight EraSight, ok bool) {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.sight, c.eras.known
}
