package admission

import (
	"sync"
	"time"
)

const (
	// grantWindow is how much of an account's rate one grant may hold, and
	// how long a grant that is not used stays valid.
	grantWindow = 100 * time.Millisecond
	// burstWindow is how much of its rate an account may save up.
	burstWindow = 50 * time.Millisecond
	// tenureDelay is how long a new granter gives nothing: the time in which
	// the old one's grants end and the entry hosts agree on the new one.
	tenureDelay = time.Second
)

// Limits are an account's limits over all entry hosts. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// GrantRequest asks an account's granter for credit.
type GrantRequest struct {
	Account string `cbor:"1,keyasint"`
	// Requests is the credit wanted, in requests.
	Requests float64 `cbor:"2,keyasint"`
	// TokensUsed is what was generated since the last request for credit.
	TokensUsed float64 `cbor:"3,keyasint,omitempty"`
}

// Grant is the credit given.
type Grant struct {
	Requests float64 `cbor:"1,keyasint"`
	// TokenDebt is set while the account has generated more than its limit.
	TokenDebt bool `cbor:"2,keyasint,omitempty"`
	// Wait is when to ask again where nothing was given, in milliseconds.
	WaitMS int64 `cbor:"3,keyasint,omitempty"`
}

// Granter gives the credit of the accounts that this host is responsible for.
type Granter struct {
	mu       sync.Mutex
	accounts map[string]*tenure
}

// tenure is the responsibility for one account.
type tenure struct {
	since            time.Time
	requests, tokens Bucket
	lastUse          time.Time
}

// idleTenure is when an account that nobody asks for is forgotten.
const idleTenure = 30 * time.Second

// NewGranter returns a granter without accounts.
func NewGranter() *Granter { return &Granter{accounts: map[string]*tenure{}} }

// newTenure begins the responsibility for an account: with its burst saved up
// when it is fresh, else with nothing until the old granter's grants ended.
func newTenure(burst float64, fresh bool, now time.Time) *tenure {
	if fresh {
		return &tenure{since: now.Add(-tenureDelay), requests: Bucket{tokens: burst, at: now}, tokens: Bucket{at: now}}
	}
	begin := now.Add(tenureDelay)
	return &tenure{since: now, requests: Bucket{at: begin}, tokens: Bucket{at: begin}}
}

// Grant answers one request for credit. The first request for an account
// begins a tenure that gives nothing for tenureDelay, unless fresh is set:
// the account's granter did not change since this process knows the others.
func (g *Granter) Grant(req GrantRequest, limits Limits, fresh bool, now time.Time) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	burst := max(1, limits.RequestsPerSecond*burstWindow.Seconds())
	t, known := g.accounts[req.Account]
	if !known {
		t = newTenure(burst, fresh, now)
		g.accounts[req.Account] = t
	}
	t.lastUse = now
	if wait := tenureDelay - now.Sub(t.since); wait > 0 {
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

// Expire forgets the accounts that nobody asks for.
func (g *Granter) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, t := range g.accounts {
		if now.Sub(t.lastUse) > idleTenure {
			delete(g.accounts, name)
		}
	}
}

// Resign ends the tenures of the accounts that this host is no longer
// responsible for.
func (g *Granter) Resign(responsible func(account string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range g.accounts {
		if !responsible(name) {
			delete(g.accounts, name)
		}
	}
}
