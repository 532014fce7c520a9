package rollout

import (
	"math"
	"sync/atomic"
)

const (
	// creditUnit is the credit of one request. Credit is an integer, so that sums are exact.
	creditUnit = 1_000_000_000
	// creditCap is the maximum credit of a host, in requests: a burst cannot spend more.
	creditCap = 20
)

// Credit bounds the requests that one host sends to the target: the sum over any number of hosts is at most
// usedShare x Bounds.Share of their requests, without messages between them. A host starts without credit,
// so that a restart gives none. Use NewCredit.
type Credit struct {
	earned  int64
	balance atomic.Int64
}

// NewCredit returns a credit of zero.
func NewCredit(b Bounds) *Credit {
	share := min(max(b.Share, 0), 1)
	return &Credit{earned: int64(math.Floor(usedShare * share * creditUnit))}
}

// Earn adds the credit for one request that the host sends to an upstream of the pool, repeats included.
func (c *Credit) Earn() { c.add(c.earned) }

// Take pays for one request to the target and reports whether the credit sufficed.
func (c *Credit) Take() bool {
	for {
		balance := c.balance.Load()
		if balance < creditUnit {
			return false
		}
		if c.balance.CompareAndSwap(balance, balance-creditUnit) {
			return true
		}
	}
}

// Ready reports whether Take would succeed.
func (c *Credit) Ready() bool { return c.balance.Load() >= creditUnit }

// Refund returns the payment for a request that has not been sent after all.
func (c *Credit) Refund() { c.add(creditUnit) }

// add increases the balance up to the cap.
func (c *Credit) add(n int64) {
	for {
		balance := c.balance.Load()
		if c.balance.CompareAndSwap(balance, min(balance+n, creditCap*creditUnit)) {
			return
		}
	}
}
