// Package rollout decides the roll-outs of upstream versions: which share of a pool's requests may be sent to
// the upstreams of a new version (the target), whether the target is worse than the versions before it, and
// when a roll-out is promoted, completed or rolled back.
//
// The package has no I/O and reads no clock. Package rollout/agent applies the decisions on each entry host,
// and package rollout/coordinator makes them for all hosts.
package rollout

import (
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cardamompier/cardamompier/kv"
)

// Order is an operator's order to move a pool's traffic to the upstreams of another version.
type Order struct {
	Pool, Target string
	// Duration is the time limit of the roll-out, counted from its start.
	Duration time.Duration
	// Revision is the store's revision of the order. A changed or repeated order has another one.
	Revision uint64
}

// Restores reports whether o is the known order, read again after the store has come back from an older copy: the copy
// has it still, or the operator has written it again.
func (o Order) Restores(known Order) bool {
	later := kv.Version(o.Revision).Era() > kv.Version(known.Revision).Era()
	return later && known.Revision != 0 && o.Pool == known.Pool && o.Target == known.Target && o.Duration == known.Duration
}

const (
	// MaxName is the maximum length of a pool's, version's or route's name, in bytes.
	MaxName = 128
	// MaxDuration is the maximum time limit of an order. A longer one is taken for a mistake of unit.
	MaxDuration = 30 * 24 * time.Hour
)

// OrderError reports an order that cannot be carried out.
type OrderError struct {
	// Field is the field of Order that is missing or out of range.
	Field string
	Value string
}

// Error returns the text with the field and its value.
func (e *OrderError) Error() string {
	return "roll-out order: " + e.Field + " " + strconv.Quote(e.Value) + " is missing or out of range"
}

// Validate returns an *OrderError if the pool, the target or the duration is missing or out of range. It does
// not check the revision, which is not part of the stored value.
func (o Order) Validate() error {
	switch {
	case !validName(o.Pool):
		return &OrderError{Field: "Pool", Value: shorten(o.Pool)}
	case !validName(o.Target):
		return &OrderError{Field: "Target", Value: shorten(o.Target)}
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return &OrderError{Field: "Duration", Value: o.Duration.String()}
	}
	return nil
}

// validName reports whether a name of a pool or target version is present, valid UTF-8 and not too long.
func validName(name string) bool { return name != "" && len(name) <= MaxName && utf8.ValidString(name) }

// shorten bounds a value that is quoted in an error.
func shorten(value string) string { return value[:min(len(value), MaxName)] }

// Bounds limits the harm that a bad target may do. The zero value means that the deployment has no roll-outs.
type Bounds struct {
	// Share is the maximum share of the pool's requests that a bad target may get from all hosts together.
	Share float64
	// Slack is the number of requests that it may get beyond Share.
	Slack int
	// Rollback is the time from the target's 50th bad answer to the last request that it may get.
	Rollback time.Duration
}

// Enabled reports whether the deployment has roll-outs.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// usedShare is the part of Bounds.Share that credit and the open exposure use. The remainder covers requests
// in flight.
const usedShare = 0.8

// Phase is the phase of a roll-out.
type Phase string

// These are the phases. The last two are final.
const (
	// PhaseCanary sends a small share of the requests to the target.
	PhaseCanary Phase = "canary"
	// PhasePromoting moves all requests to the target.
	PhasePromoting Phase = "promoting"
	// PhaseComplete means that the target has replaced the old versions.
	PhaseComplete Phase = "complete"
	// PhaseRolledBack means that the target gets no more requests.
	PhaseRolledBack Phase = "rolled_back"
)

// Final reports whether a roll-out in this phase has ended.
func (p Phase) Final() bool { return p == PhaseComplete || p == PhaseRolledBack }

// Follows reports whether a roll-out may be in the phase after it was in phase current. An empty current phase stands
// for an unknown one.
func (p Phase) Follows(current Phase) bool {
	switch current {
	case "", PhaseCanary:
		return true
	case PhasePromoting:
		return p != PhaseCanary
	default:
		return p == current
	}
}

// Valid reports whether the phase is one of the four phases.
func (p Phase) Valid() bool { return p == PhaseCanary || p == PhasePromoting || p.Final() }
