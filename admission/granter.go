package admission

import (
	"sync"
	"time"
)

const (
	// grantWindow is how long an unused grant of credit stays valid, and how long a
	// host waits after it received none. A host requests the credit that it expects
	// to use in this time. Credit is the permission to admit a number of requests.
	grantWindow = 100 * time.Millisecond
	// burstWindow limits the unused credit of a client account to the amount that
	// accrues at its rate in this time, but to no less than one request.
	burstWindow = 50 * time.Millisecond
	// tenureDelay is how long a new granter of a client account grants nothing. In
	// this time, grants of the previous granter expire and the entry hosts agree on
	// the new granter.
	tenureDelay = time.Second
)

// Limits are the limits of a client account across all entry hosts. A rate of
// zero is unlimited.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// GrantRequest is a request for credit, sent to the granter of a client account:
// the entry host that grants its credit to all entry hosts.
type GrantRequest struct {
	Account string `cbor:"1,keyasint"`
	// Requests is the amount of credit wanted, in requests.
	Requests float64 `cbor:"2,keyasint"`
	// TokensUsed is the number of tokens generated since the last request for credit.
	TokensUsed float64 `cbor:"3,keyasint,omitempty"`
}

// Grant is the response to a GrantRequest: the credit granted, or when to retry.
type Grant struct {
	// Requests is the credit granted, in requests; zero if none.
	Requests float64 `cbor:"1,keyasint"`
	// TokenDebt is set while the client account has generated more tokens than its
	// limit allows.
	TokenDebt bool `cbor:"2,keyasint,omitempty"`
	// WaitMS is the time to wait before the next request for credit, in
	// milliseconds. It is set when Requests is zero or TokenDebt is set.
	WaitMS int64 `cbor:"3,keyasint,omitempty"`
}

// Granter grants the credit of the client accounts that this host is responsible
// for. Use NewGranter.
type Granter struct {
	mu       sync.Mutex
	accounts map[string]*tenure
}

// tenure is the period in which this host is the granter of one client account,
// with the credit left to grant.
type tenure struct {
	startedAt        time.Time
	requests, tokens Bucket
	lastUse          time.Time
}

// tenureIdleTimeout is the time without a request for credit after which Expire
// removes a client account.
const tenureIdleTimeout = 30 * time.Second

// NewGranter returns a Granter without client accounts.
func NewGranter() *Granter { return &Granter{accounts: map[string]*tenure{}} }

// newTenure returns the tenure of a client account, the period in which this host
// grants its credit, starting at now. With settled set, it starts with a full burst
// of credit and grants at once. Otherwise it starts empty and fills after
// tenureDelay, when grants of the previous granter have expired.
func newTenure(burst float64, settled bool, now time.Time) *tenure {
	if settled {
		return &tenure{startedAt: now.Add(-tenureDelay), requests: Bucket{tokens: burst, filledAt: now}, tokens: Bucket{filledAt: now}}
	}
	begin := now.Add(tenureDelay)
	return &tenure{startedAt: now, requests: Bucket{filledAt: begin}, tokens: Bucket{filledAt: begin}}
}

// Grant decides one request for credit. After the first request for a client account,
// it grants nothing for tenureDelay. The delay is skipped if settled is set: the set
// of entry hosts has not changed recently, so no grant of another host is still valid.
func (g *Granter) Grant(req GrantRequest, limits Limits, settled bool, now time.Time) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	burst := max(1, limits.RequestsPerSecond*burstWindow.Seconds())
	t, exists := g.accounts[req.Account]
	if !exists {
		t = newTenure(burst, settled, now)
		g.accounts[req.Account] = t
	}
	t.lastUse = now
	if wait := tenureDelay - now.Sub(t.startedAt); wait > 0 {
		t.tokens.Charge(req.TokensUsed)
		return Grant{WaitMS: max(1, wait.Milliseconds())}
	}
	t.requests.Fill(limits.RequestsPerSecond, burst, now)
	t.tokens.Fill(limits.TokensPerSecond, limits.TokensPerSecond*burstWindow.Seconds(), now)
	t.tokens.Charge(req.TokensUsed)
	grant := Grant{Requests: req.Requests, TokenDebt: limits.TokensPerSecond > 0 && t.tokens.tokens < 0}
	if limits.RequestsPerSecond > 0 {
		grant.Requests = t.requests.TakeWhole(min(req.Requests, burst))
	}
	if grant.Requests == 0 || grant.TokenDebt {
		grant.WaitMS = grantWindow.Milliseconds()
	}
	return grant
}

// Expire removes client accounts without a request for credit in the last 30 s.
func (g *Granter) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, t := range g.accounts {
		if now.Sub(t.lastUse) > tenureIdleTimeout {
			delete(g.accounts, name)
		}
	}
}

// DropUnowned removes the client accounts that this host is no longer responsible
// for.
func (g *Granter) DropUnowned(responsible func(account string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range g.accounts {
		if !responsible(name) {
			delete(g.accounts, name)
		}
	}
}
