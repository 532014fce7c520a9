// Package retry bounds repeated attempts. A retry, a hedge (a second attempt in
// parallel) or a move of a stream spends one attempt from the budget of the
// target upstream and one from that of the client account. Only successes refill
// the budgets.
//
// Package dispatch decides which attempts to repeat.
package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Ratio is the number of repeated attempts that one success adds to a budget.
	Ratio = 0.09
	// Burst is the maximum content of a budget, in attempts.
	Burst = 8
	// initialAttempts is the content of a new budget, in attempts.
	initialAttempts = 2
	// timedInterval is how often a client account with an empty budget is allowed
	// one attempt, so that accepted requests can proceed even if no other request
	// succeeds.
	timedInterval = 10 * time.Second

	// moveReserve is the number of attempts in a client account's budget that
	// moves of stalled streams must leave for hedges and failed attempts.
	moveReserve = 2

	unitsPerAttempt = 1000 // budgets are counted in thousandths of an attempt
)

// Reason is the reason why an attempt is repeated or rejected.
type Reason string

// These constants are the reasons to repeat or reject an attempt.
const (
	ReasonFailed   Reason = "attempt_failed"
	ReasonHedge    Reason = "hedge"
	ReasonStalled  Reason = "stalled"
	ReasonUpstream Reason = "upstream_budget"
	ReasonAccount  Reason = "account_budget"
)

// Budget is a token bucket of repeated attempts. Use newBudget.
type Budget struct {
	units     atomic.Int64
	lastTimed atomic.Int64 // start of the current timedInterval, in Unix nanoseconds
}

func newBudget() *Budget {
	b := &Budget{}
	b.units.Store(initialAttempts * unitsPerAttempt)
	return b
}

// AddSuccess adds Ratio attempts for one success, up to Burst attempts in total.
func (b *Budget) AddSuccess() {
	const earned = int64(Ratio * unitsPerAttempt)
	if units := b.units.Add(earned); units > Burst*unitsPerAttempt {
		b.units.Add(Burst*unitsPerAttempt - units)
	}
}

// take removes one attempt and returns true if at least reserve attempts remain.
// Otherwise it leaves the budget unchanged and returns false.
func (b *Budget) take(reserve int64) bool {
	if b.units.Add(-unitsPerAttempt) >= reserve*unitsPerAttempt {
		return true
	}
	b.units.Add(unitsPerAttempt)
	return false
}

// takeTimed reports whether an empty budget allows an attempt because
// timedInterval has passed since the last one. The first call only starts the
// interval.
func (b *Budget) takeTimed(now time.Time) bool {
	last := b.lastTimed.Load()
	if last == 0 {
		b.lastTimed.CompareAndSwap(0, now.UnixNano())
		return false
	}
	return now.UnixNano()-last >= int64(timedInterval) && b.lastTimed.CompareAndSwap(last, now.UnixNano())
}

// Budgets holds one host's budgets of upstreams and client accounts. The zero
// value is ready to use.
type Budgets struct {
	upstreams, accounts sync.Map // *Budget by name
}

// Success adds one success to the budgets of an upstream and a client account.
func (b *Budgets) Success(upstream, account string) {
	budgetOf(&b.upstreams, upstream).AddSuccess()
	budgetOf(&b.accounts, account).AddSuccess()
}

// Allow removes one repeated attempt from the budgets of an upstream and a client
// account and reports whether the attempt is allowed. If it is not, the returned
// Reason names the empty budget.
func (b *Budgets) Allow(now time.Time, reason Reason, upstream, account string) (Reason, bool) {
	accounts := budgetOf(&b.accounts, account)
	reserve := int64(0)
	if reason == ReasonStalled {
		reserve = moveReserve
	}
	if !accounts.take(reserve) && !accounts.takeTimed(now) {
		return ReasonAccount, false
	}
	if !budgetOf(&b.upstreams, upstream).take(0) {
		accounts.units.Add(unitsPerAttempt)
		return ReasonUpstream, false
	}
	return "", true
}

// Forget removes the budgets of upstreams that are no longer listed.
func (b *Budgets) Forget(listed func(upstream string) bool) {
	b.upstreams.Range(func(name, _ any) bool {
		if !listed(name.(string)) {
			b.upstreams.Delete(name)
		}
		return true
	})
}

func budgetOf(m *sync.Map, name string) *Budget {
	if b, ok := m.Load(name); ok {
		return b.(*Budget)
	}
	b, _ := m.LoadOrStore(name, newBudget())
	return b.(*Budget)
}
