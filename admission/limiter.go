package admission

import (
	"sync"
	"time"
)

// Verdict is the result of Limiter.Admit.
type Verdict uint8

// Results of Limiter.Admit.
const (
	// Admitted means that the request may proceed.
	Admitted Verdict = iota
	// Empty means that no credit is left on this host: the caller requests credit
	// from the granter and calls Admit again.
	Empty
	// Limited means that the client account is over its limit.
	Limited
)

// Limiter holds the credit that this host has received for client accounts and
// spends it on requests. Use NewLimiter.
type Limiter struct {
	mu       sync.RWMutex
	accounts map[string]*credit
}

// credit is the state of one client account on this host.
type credit struct {
	mu sync.Mutex
	// requests is the unspent credit, in requests.
	requests float64
	// expiresAt is when unspent credit expires.
	expiresAt time.Time
	// limitedUntil is when the granter may be asked for credit again. Admit
	// returns Limited before it.
	limitedUntil time.Time
	// tokensUsed counts generated tokens not yet reported to the granter.
	tokensUsed float64
	// inFlight is set while a request for credit awaits its response.
	inFlight bool
	// windowRequests is the smoothed number of requests per grantWindow.
	windowRequests float64
	// counted is the number of requests in the current window, which ends at windowEnd.
	counted   int
	windowEnd time.Time
	// local is this host's equal share of the limit, used while the granter is
	// unreachable.
	local Bucket
}

// windowWeight is the weight of the newest window in credit.windowRequests.
const windowWeight = 0.3

// NewLimiter returns a Limiter without client accounts.
func NewLimiter() *Limiter { return &Limiter{accounts: map[string]*credit{}} }

// account returns the credit of the client account name and creates it if missing.
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

// Admit spends credit for one request of the client account name. On Empty the
// caller sends the granter the request that CreditRequest returns. On Limited the caller
// rejects the request, which may be retried after wait. Zero limits always admit.
func (l *Limiter) Admit(name string, limits Limits, now time.Time) (verdict Verdict, wait time.Duration) {
	if limits == (Limits{}) {
		return Admitted, 0
	}
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.expiresAt) {
		c.requests = 0
	}
	switch {
	case now.Before(c.limitedUntil):
		return Limited, c.limitedUntil.Sub(now)
	case c.requests < 1:
		return Empty, 0
	}
	c.requests--
	c.countRequest(now)
	return Admitted, 0
}

// countRequest counts one request at now. CreditRequest predicts the credit to request from
// the counts of past windows.
func (c *credit) countRequest(now time.Time) {
	if now.After(c.windowEnd) {
		c.windowRequests += windowWeight * (float64(c.counted) - c.windowRequests)
		c.counted, c.windowEnd = 0, now.Add(grantWindow)
	}
	c.counted++
}

// CreditRequest returns the request for credit that the caller must send to the granter
// now. It returns false while an earlier request for credit is in flight.
func (l *Limiter) CreditRequest(name string, now time.Time) (GrantRequest, bool) {
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight {
		return GrantRequest{}, false
	}
	c.inFlight = true
	c.countRequest(now)
	c.counted--
	req := GrantRequest{Account: name, Requests: max(1, c.windowRequests), TokensUsed: c.tokensUsed}
	c.tokensUsed = 0
	return req, true
}

// ApplyGrant records the granter's response to the request for credit that was sent
// at the time sent. The granted credit expires grantWindow after sent.
func (l *Limiter) ApplyGrant(name string, grant Grant, sent, now time.Time) {
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
	if now.After(c.expiresAt) {
		c.requests = 0
	}
	if grant.Requests > 0 && !grant.TokenDebt {
		c.requests += grant.Requests
		c.expiresAt = sent.Add(grantWindow)
	}
	if grant.WaitMS > 0 {
		c.limitedUntil = now.Add(time.Duration(grant.WaitMS) * time.Millisecond)
	}
}

// UseEqualShare records that the granter did not respond to req. For the next
// grantWindow the client account gets an equal share of its limit on this host:
// the limit divided by hosts, the number of entry hosts.
func (l *Limiter) UseEqualShare(req GrantRequest, limits Limits, hosts int, now time.Time) {
	c := l.account(req.Account)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = false
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
	c.requests, c.expiresAt = taken, now.Add(grantWindow)
}

// AddTokens adds the tokens generated for a client account. The next request for credit
// reports them to the granter.
func (l *Limiter) AddTokens(name string, tokens int) {
	c := l.account(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokensUsed += float64(tokens)
}
