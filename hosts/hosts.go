// Package hosts is the narrow interface to the platform's list of live and
// leaving hosts. The list lags; this package keeps the newest view and its age.
package hosts

import (
	"context"
	"time"
)

// State is a host's state in the list.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one upstream host.
type Host struct {
	ID string `json:"id"`
	// Address is an IP number and port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Pool names the group of upstreams that a service uses.
	Pool string `json:"pool"`
	// Class is the machine class in the cloud's price list.
	Class       string `json:"class,omitempty"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	State       State  `json:"state"`
	// Slots is how many requests the host works on at once; zero when unknown.
	Slots int `json:"slots,omitempty"`
	// StartedMS is the Unix millisecond at which the host's process started: a
	// host that starts again under its id is another host. Zero when unknown.
	StartedMS int64 `json:"started_ms,omitempty"`
	// ChecksFence says whether the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Source reads the platform's list.
type Source interface {
	// List returns all hosts. Errors are *Error.
	List(ctx context.Context) ([]Host, error)
}

// Error is a failed read of the list.
type Error struct {
	Source string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string { return "host list " + e.Source + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Snapshot is an immutable view of the list.
type Snapshot struct {
	// ReadAt is when the read of the list began, or earlier; zero before the first.
	ReadAt time.Time
	Hosts  []Host
	byPool map[string][]Host
	digest uint64
}

// Age returns the time since the list was read. It counts on while the
// process is paused.
func (s *Snapshot) Age() time.Duration { return time.Since(s.ReadAt) }

// NewSnapshot indexes a list read at the given time.
func NewSnapshot(list []Host, readAt time.Time) *Snapshot {
	s := &Snapshot{ReadAt: readAt, Hosts: list, byPool: map[string][]Host{}}
	for _, h := range list {
		s.byPool[h.Pool] = append(s.byPool[h.Pool], h)
	}
	return s
}

// Pool returns the hosts of a pool, leaving ones included.
func (s *Snapshot) Pool(name string) []Host { return s.byPool[name] }
