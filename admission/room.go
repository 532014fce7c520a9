package admission

import (
	"sync"
	"sync/atomic"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonShare: the upstreams are full and the account has its fair share.
	ReasonShare Reason = "account_share"
	// ReasonFull: the upstreams are full.
	ReasonFull Reason = "pool_full"
)

// Refusal is a refused request. RetryAfter is when a repeat may be taken.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "not admitted: " + string(r.Reason) }

const (
	// lendUntil is the used part of a room up to which any account may use
	// what others leave.
	lendUntil = 0.85
	// fullRetryAfter is when a repeat may find room.
	fullRetryAfter = time.Second
)

// Room shares the streams that this host may have in progress at one pool
// among client accounts. The zero value is ready.
type Room struct {
	used     atomic.Int64
	accounts sync.Map // name to *atomic.Int64
}

// Enter takes one place for a client account. capacity is the number of
// places; share is the account's part by weight of all accounts with work in
// progress, 0 to 1. Up to lendUntil of the room, shares do not matter; above
// it, an account that has its share is refused. Each Enter that is not refused
// is followed by one Leave.
func (r *Room) Enter(name string, capacity int, share float64) *Refusal {
	own := r.of(name)
	used := r.used.Add(1)
	mine := own.Add(1)
	switch {
	case used > int64(capacity):
		r.Leave(name)
		return &Refusal{Reason: ReasonFull, RetryAfter: fullRetryAfter}
	case float64(used) > lendUntil*float64(capacity) && float64(mine) > max(1, share*float64(capacity)):
		r.Leave(name)
		return &Refusal{Reason: ReasonShare, RetryAfter: fullRetryAfter}
	default:
		return nil
	}
}

// Leave gives a place back.
func (r *Room) Leave(name string) {
	r.of(name).Add(-1)
	r.used.Add(-1)
}

// Share is an account's part by weight among the accounts that have work in
// progress and itself.
func (r *Room) Share(name string, weight func(account string) float64) float64 {
	own := weight(name)
	total := own
	r.accounts.Range(func(other, places any) bool {
		if other != name && places.(*atomic.Int64).Load() > 0 {
			total += weight(other.(string))
		}
		return true
	})
	if total <= 0 {
		return 1
	}
	return own / total
}

func (r *Room) of(name string) *atomic.Int64 {
	if places, ok := r.accounts.Load(name); ok {
		return places.(*atomic.Int64)
	}
	places, _ := r.accounts.LoadOrStore(name, &atomic.Int64{})
	return places.(*atomic.Int64)
}
