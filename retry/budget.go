// Package retry bounds repeated attempts: a retry, a hedge or a move takes a
// token from the budget of the upstream that it goes to and from that of the
// client account, and both are fed by successes only.
//
// It leaves the choice of what to repeat to package dispatch.
package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Ratio is the number of repeated attempts that one success pays for.
	Ratio = 0.09
	// Burst bounds a budget, in attempts.
	Burst = 8
	// firstTokens is what a new budget holds, in attempts.
	firstTokens = 2
	// trickle is how often an account's empty budget gets one attempt, so that
	// an accepted request goes on where nothing else succeeds.
	trickle = 10 * time.Second

	// movesLeave is what the move of a stalled stream leaves in an account's
	// budget for hedges and failed attempts, in attempts.
	movesLeave = 2

	unit = 1000 // budget units of one attempt
)

// Reason says why an attempt is repeated, or why it is not.
type Reason string

// The reasons for and against another attempt.
const (
	ReasonFailed   Reason = "attempt_failed"
	ReasonHedge    Reason = "hedge"
	ReasonStalled  Reason = "stalled"
	ReasonUpstream Reason = "upstream_budget"
	ReasonAccount  Reason = "account_budget"
)

// Budget is a token bucket. Use newBudget.
type Budget struct {
	units   atomic.Int64
	trickle atomic.Int64 // unix ns of the last trickled attempt
}

func newBudget() *Budget {
	b := &Budget{}
	b.units.Store(firstTokens * unit)
	return b
}

// Earn adds what one success pays for.
func (b *Budget) Earn() {
	const earned = int64(Ratio * unit)
	if units := b.units.Add(earned); units > Burst*unit {
		b.units.Add(Burst*unit - units)
	}
}

// take removes one attempt and says whether there was one over the rest.
func (b *Budget) take(rest int64) bool {
	if b.units.Add(-unit) >= rest*unit {
		return true
	}
	b.units.Add(unit)
	return false
}

// trickled says whether the empty budget's next attempt by time is due.
func (b *Budget) trickled(now time.Time) bool {
	last := b.trickle.Load()
	if last == 0 {
		b.trickle.CompareAndSwap(0, now.UnixNano())
		return false
	}
	return now.UnixNano()-last >= int64(trickle) && b.trickle.CompareAndSwap(last, now.UnixNano())
}

// Budgets holds the budgets of one host. The zero value is ready.
type Budgets struct {
	upstreams, accounts sync.Map // name to *Budget
}

// Success feeds the budgets of an upstream and a client account.
func (b *Budgets) Success(upstream, account string) {
	budgetOf(&b.upstreams, upstream).Earn()
	budgetOf(&b.accounts, account).Earn()
}

// Allow takes one repeated attempt to an upstream for a client account from
// both budgets. Where it may not be made, the reason says which was empty.
func (b *Budgets) Allow(now time.Time, why Reason, upstream, account string) (Reason, bool) {
	accounts := budgetOf(&b.accounts, account)
	rest := int64(0)
	if why == ReasonStalled {
		rest = movesLeave
	}
	if !accounts.take(rest) && !accounts.trickled(now) {
		return ReasonAccount, false
	}
	if !budgetOf(&b.upstreams, upstream).take(0) {
		accounts.units.Add(unit)
		return ReasonUpstream, false
	}
	return "", true
}

// Forget drops the budgets of upstreams that are not listed any more.
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
