// Package hosts is the narrow interface to the platform's list of live and
// leaving hosts. The list lags; this package keeps the newest view and its age.
package hosts

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
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
	ReadAt time.Time
	Hosts  []Host
	byPool map[string][]Host
}

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

// Poller keeps the newest list.
type Poller struct {
	source   Source
	interval time.Duration
	logger   hclog.Logger
	current  atomic.Pointer[Snapshot]
}

// NewPoller returns a poller that reads source at each interval.
func NewPoller(source Source, interval time.Duration, logger hclog.Logger) *Poller {
	p := &Poller{source: source, interval: interval, logger: logger}
	p.current.Store(NewSnapshot(nil, time.Time{}))
	return p
}

// Current returns the newest view; its ReadAt is zero before the first.
func (p *Poller) Current() *Snapshot { return p.current.Load() }

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Poller) poll(ctx context.Context) {
	list, err := p.source.List(ctx)
	if err != nil {
		if ctx.Err() == nil {
			events.HostListFailed.Log(p.logger, "error", err)
		}
		return
	}
	p.current.Store(NewSnapshot(list, time.Now()))
}
