// Package routes holds the table by which requests are forwarded: which
// upstream pool serves a path of a host name, how often it may be sent, and
// which client account holds a key. A Table is immutable and replaced whole.
//
// It leaves where tables come from to the adapters.
package routes

import (
	"sort"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after a failure.
	Idempotent
	// Stream requests run at most once and are answered by events.
	Stream
	// ResumableStream answers may be continued by another upstream after the
	// last event that was passed on.
	ResumableStream
)

// Repeatable says whether a request that may have run may be sent again.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming says whether the answer is a series of events.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }

// Target is a pool with its share of a route's requests.
type Target struct {
	Pool string
	// Weight is the share relative to the other targets.
	Weight float64
}

// Route says how requests under a prefix are served.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the time by which the answer, or its first event, is wanted.
	Objective time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams on which one request may run.
	MaxAttempts int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Account is a client account and its limit.
type Account struct {
	Name string
	// Priority goes before the priority of a route where it is set.
	Priority *int
	// Rate is the limit a second and Burst what may be used at once, in tokens
	// or requests as Tokens says. Zero means no limit.
	Rate, Burst float64
	// Tokens says that a request counts by its tokens.
	Tokens bool
	// PlainTokens is what a request without a token count counts as.
	PlainTokens float64
}

// Pool is a group of upstreams.
type Pool struct {
	Name string
	// MaxConnections bounds the connections of all entry hosts to one upstream.
	MaxConnections int
	// Engine says that the pool's upstreams are model engines.
	Engine *Engine
	// Scaling is set where the number of upstreams can be ordered.
	Scaling *Scaling
}

// Engine describes a pool's model engines.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prompts.
	CacheTokens int
}

// Scaling bounds the upstreams that can be ordered in each failure domain.
type Scaling struct {
	Min, Max int
	// StartTime passes between an order and the first request served.
	StartTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream relative to another.
	ReclaimablePrice float64
	// DomainPrices are relative prices by failure domain.
	DomainPrices map[string]float64
}

// Limits bound what callers may send. Zero means no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
}

// Table is an immutable set of routes and accounts. Use New.
type Table struct {
	// Version orders tables; it only grows.
	Version  uint64
	Limits   Limits
	Pools    map[string]*Pool
	Accounts map[string]*Account

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Contents are what a table is made of.
type Contents struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Pools    []*Pool
	Accounts []*Account
	// Keys maps each key to its account's name.
	Keys map[string]string
}

// New indexes the contents.
func New(c Contents) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, Pools: map[string]*Pool{}, Accounts: map[string]*Account{},
		byHost: map[string][]*Route{}, byKey: make(map[string]*Account, len(c.Keys)),
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, p := range c.Pools {
		t.Pools[p.Name] = p
	}
	for _, a := range c.Accounts {
		t.Accounts[a.Name] = a
	}
	for key, name := range c.Keys {
		if account := t.Accounts[name]; account != nil {
			t.byKey[key] = account
		}
	}
	return t
}

// Match returns the route with the longest prefix of the path; nil for none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountOf returns the account that holds a key; nil for none.
func (t *Table) AccountOf(key string) *Account { return t.byKey[key] }

// HasAccounts says whether requests need a key.
func (t *Table) HasAccounts() bool { return len(t.Accounts) > 0 }
