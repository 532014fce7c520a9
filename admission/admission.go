// Package admission decides whether an entry host takes a request: limits of
// client accounts that hold over all entry hosts together, and fair shares of
// the upstreams' room when it is short.
//
// Time is an argument and there is no I/O: the daemon feeds usage digests and
// the member view, experiments feed their own.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonRate: the account's requests a second are used up.
	ReasonRate Reason = "account_rate"
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
	// burstSpan is how much of its rate a host may admit at once.
	burstSpan = 200 * time.Millisecond
	// floorShare is the part of a rate that is split evenly, so that a host
	// without requests can admit its first.
	floorShare = 0.2
	// firstShare is this host's part of a rate before the first Share.
	firstShare = 0.02
	// settleRounds is the number of rounds that a raised share waits, so that
	// other hosts have lowered theirs before.
	settleRounds = 2
	// demandWeight is the weight of the newest round in a host's demand.
	demandWeight  = 0.5
	minRetryAfter = 50 * time.Millisecond
)

// Usage is one host's demand by client account, in requests a second.
type Usage map[string]float64

// Limiter holds this host's parts of the accounts' rates. The zero value is
// ready.
type Limiter struct {
	accounts sync.Map // name to *account
}

// account is one account at this host.
type account struct {
	// due is the time at which the next request is due, in unix ns (GCRA).
	due      atomic.Int64
	interval atomic.Int64 // ns between two requests; zero means no limit
	offered  atomic.Int64 // requests since the last round

	demand float64 // requests a second
	recent [settleRounds]float64
	rounds int
}

func (l *Limiter) account(name string) *account {
	if a, ok := l.accounts.Load(name); ok {
		return a.(*account)
	}
	a, _ := l.accounts.LoadOrStore(name, &account{})
	return a.(*account)
}

// Admit counts a request of a client account and says whether this host's
// part of its rate has room for it. A rate of zero means no limit.
func (l *Limiter) Admit(now time.Time, name string, rate float64) *Refusal {
	a := l.account(name)
	a.offered.Add(1)
	if rate <= 0 {
		return nil
	}
	interval := a.interval.Load()
	if interval == 0 {
		interval = intervalOf(rate * firstShare)
	}
	at := now.UnixNano()
	for {
		due := a.due.Load()
		if early := due - at - int64(burstSpan); early > 0 {
			return &Refusal{Reason: ReasonRate, RetryAfter: max(time.Duration(early), minRetryAfter)}
		}
		if a.due.CompareAndSwap(due, max(due, at)+interval) {
			return nil
		}
	}
}

// Round ends a round of the given span and returns this host's usage, to be
// spread to the other hosts. One goroutine calls Round and Share.
func (l *Limiter) Round(span time.Duration) Usage {
	usage := Usage{}
	l.accounts.Range(func(name, value any) bool {
		a := value.(*account)
		rate := float64(a.offered.Swap(0)) / span.Seconds()
		a.demand += demandWeight * (rate - a.demand)
		usage[name.(string)] = a.demand
		return true
	})
	return usage
}

// Share sets this host's part of an account's rate. usages are the newest
// digests of all live hosts, this one's among them; hosts is their number. A
// rate of zero means no limit.
func (l *Limiter) Share(name string, rate float64, self Usage, usages []Usage, hosts int) {
	a := l.account(name)
	if rate <= 0 {
		a.interval.Store(0)
		return
	}
	a.recent[a.rounds%settleRounds] = part(name, rate, self, usages, max(hosts, 1))
	a.rounds++
	share := math.Inf(1)
	for _, recent := range a.recent[:min(a.rounds, settleRounds)] {
		share = min(share, recent)
	}
	a.interval.Store(intervalOf(share))
}

func intervalOf(rate float64) int64 { return max(1, int64(float64(time.Second)/rate)) }

// part is this host's part of a rate: a floor, and the rest by demand.
func part(name string, rate float64, self Usage, usages []Usage, hosts int) float64 {
	total := 0.0
	for _, u := range usages {
		total += u[name]
	}
	if total <= 0 || self[name] <= 0 {
		even := rate / float64(hosts)
		if total > 0 {
			return even * floorShare
		}
		return even
	}
	return rate * (floorShare/float64(hosts) + (1-floorShare)*self[name]/total)
}
