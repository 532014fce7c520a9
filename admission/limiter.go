package admission

import (
	"sync"
	"time"
)

// Verdict is the answer to a request for admission.
type Verdict uint8

// The answers to a request for admission.
const (
	// Admitted: the request may go on.
	Admitted Verdict = iota
	// Empty: there is no credit yet; ask the granter and try again.
	Empty
	// Limited: the account is over its limit.
	Limited
)

// Limiter spends the credit of this host's accounts.
type Limiter struct {
	mu       sync.RWMutex
	accounts map[string]*credit
}

// credit is what one account may still use here.
type credit struct {
	mu       sync.Mutex
	requests float64
	// until is when unused credit ends.
	until time.Time
	// limitedUntil is when to ask the granter again.
	limitedUntil time.Time
	tokensUsed   float64
	asking       bool
	// rate is the smoothed number of requests in a grant window.
	rate      float64
	counted   int
	windowEnd time.Time
	local     Bucket // used while the granter cannot be reached
}

// rateWeight is the weight of the newest window in a smoothed rate.
const rateWeight = 0.3

// NewLimiter returns a limiter without accounts.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*credit{}} }

func (l *Limiter) account(name string) *credit {
	l.mu.RLock()
	c, ok := l.accounts[name]
	l.mu.RUnlock()
	if ok {
		return c
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok = l.accounts[name]; !ok {
		c = &credit{}
		l.accounts[name] = c
	}
	return c
}

// Admit spends credit for one request of an account with limits. On Empty
// the caller asks the granter with Need; on Limited it refuses, and wait is
// when to come again.
func (l *Limiter) Admit(name string, limits Limits, now time.Time) (verdict Verdict, wait time.Duration) {
	if limits == (Limits{}) {
		return Admitted, 0
	}
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.until) {
		c.requests = 0
	}
	switch {
	case now.Before(c.limitedUntil):
		return Limited, c.limitedUntil.Sub(now)
	case c.requests < 1:
		return Empty, 0
	}
	c.requests--
	c.count(now)
	return Admitted, 0
}

// count keeps the number of requests of a window, from which Need predicts.
func (c *credit) count(now time.Time) {
	if now.After(c.windowEnd) {
		c.rate += rateWeight * (float64(c.counted) - c.rate)
		c.counted, c.windowEnd = 0, now.Add(grantWindow)
	}
	c.counted++
}

// Need returns the request for credit that should be sent to the granter
// now; false while one is on its way.
func (l *Limiter) Need(name string, now time.Time) (GrantRequest, bool) {
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asking {
		return GrantRequest{}, false
	}
	c.asking = true
	c.count(now)
	c.counted--
	req := GrantRequest{Account: name, Requests: max(1, c.rate), TokensUsed: c.tokensUsed}
	c.tokensUsed = 0
	return req, true
}

// Granted takes the granter's answer to a request for credit that was sent at
// the given time.
func (l *Limiter) Granted(name string, grant Grant, sent, now time.Time) {
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking = false
	if now.After(c.until) {
		c.requests = 0
	}
	if grant.Requests > 0 && !grant.TokenDebt {
		c.requests += grant.Requests
		c.until = sent.Add(grantWindow)
	}
	if grant.WaitMS > 0 {
		c.limitedUntil = now.Add(time.Duration(grant.WaitMS) * time.Millisecond)
	}
}

// Unreachable notes that the granter did not answer. For a while the account
// gets an equal share of its limit here: limits divided by the entry hosts.
func (l *Limiter) Unreachable(req GrantRequest, limits Limits, hosts int, now time.Time) {
	c := l.account(req.Account)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking = false
	c.tokensUsed += req.TokensUsed
	share := limits.RequestsPerSecond / float64(max(1, hosts))
	c.local.Fill(share, max(1, share*grantWindow.Seconds()), now)
	taken := req.Requests
	if limits.RequestsPerSecond > 0 {
		taken = c.local.TakeWhole(max(1, req.Requests))
	}
	if taken == 0 {
		c.limitedUntil = now.Add(grantWindow)
		return
	}
	c.requests, c.until = taken, now.Add(grantWindow)
}

// Used counts the tokens that were generated for an account.
func (l *Limiter) Used(name string, tokens int) {
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokensUsed += float64(tokens)
}
