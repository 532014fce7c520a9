// Package hosts reads the platform's list of live and leaving upstream hosts. The list lags behind
// the state of the hosts, so this package stores the newest view together with its age.
package hosts

import (
	"context"
	"time"
)

// State is the state of a host in the list.
type State string

// These are the states of a host. A leaving host gets no new work.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one upstream host.
type Host struct {
	ID string `json:"id"`
	// Address is the IP address and port of the host.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Pool is the name of the host's group of upstreams. A service uses one pool.
	Pool string `json:"pool"`
	// Class is the machine class in the price list of the cloud.
	Class       string `json:"class,omitempty"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	State       State  `json:"state"`
	// Slots is the number of requests that the host processes concurrently; zero means unknown.
	Slots int `json:"slots,omitempty"`
	// StartedMS is the start time of the host's process in Unix milliseconds; zero means unknown. A
	// process that restarts under the same id counts as another host.
	StartedMS int64 `json:"started_ms,omitempty"`
	// Version is the version of the host's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// ChecksFence reports whether the host's engine rejects orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Source reads the platform's host list.
type Source interface {
	// List returns all hosts of the platform. Its errors are of type *Error.
	List(ctx context.Context) ([]Host, error)
}

// Error reports a failed read of the host list from Source.
type Error struct {
	Source string
	Cause  error
}

// Error returns the source and the cause of the failed read.
func (e *Error) Error() string { return "host list " + e.Source + ": " + e.Cause.Error() }

// Unwrap returns the cause of the failed read.
func (e *Error) Unwrap() error { return e.Cause }

// Snapshot is an immutable view of the host list.
type Snapshot struct {
	// ReadAt is a time at or before the start of the read that returned the list, so that Age is
	// never too small. It is zero before the first read.
	ReadAt time.Time
	// Revision is the revision of the list's store that the list includes; zero if unknown.
	Revision uint64
	Hosts    []Host
	byPool   map[string][]Host
	// departed holds the hosts that were listed as leaving before they were removed from the list.
	departed map[identity]time.Time
	digest   uint64
}

// Age returns the time since the list was read, including time in which the process was paused.
func (s *Snapshot) Age() time.Duration { return time.Since(s.ReadAt) }

// NewSnapshot returns a snapshot of a list that was read at the given time.
func NewSnapshot(list []Host, readAt time.Time) *Snapshot {
	s := &Snapshot{ReadAt: readAt, Hosts: list, byPool: map[string][]Host{}}
	for _, h := range list {
		s.byPool[h.Pool] = append(s.byPool[h.Pool], h)
	}
	return s
}

// Pool returns the live and leaving hosts of a pool.
func (s *Snapshot) Pool(name string) []Host { return s.byPool[name] }

// Live returns the live host of a pool with the given id.
func (s *Snapshot) Live(pool, id string) (Host, bool) {
	h, listed := s.Find(pool, id)
	if !listed || h.State != StateLive {
		return Host{}, false
	}
	return h, true
}

// Find returns the live or leaving host of a pool with the given id. Of several runs under the id, it
// prefers a live one.
func (s *Snapshot) Find(pool, id string) (found Host, listed bool) {
	for _, h := range s.byPool[pool] {
		if h.ID == id && (!listed || h.State == StateLive) {
			found, listed = h, true
		}
	}
	return found, listed
}

// DepartedSince returns the hosts that were live in an earlier snapshot and are leaving or missing in
// this one.
func (s *Snapshot) DepartedSince(earlier *Snapshot) []Departure {
	if earlier == nil {
		return nil
	}
	now := make(map[identity]State, len(s.Hosts))
	for _, h := range s.Hosts {
		now[identityOf(h)] = h.State
	}
	var out []Departure
	for _, h := range earlier.Hosts {
		if state, listed := now[identityOf(h)]; h.State == StateLive && state != StateLive {
			out = append(out, Departure{Host: h, Listed: listed})
		}
	}
	return out
}

// Departure is a host that has left the live ones.
type Departure struct {
	Host
	// Listed is true if the host is listed as leaving, and false if it is missing.
	Listed bool
}

// Departed reports whether the run of a host was listed as leaving before it was removed from the
// list, up to departedSpan (1 min) ago.
func (s *Snapshot) Departed(h Host) bool {
	_, departed := s.departed[identityOf(h)]
	return departed
}
