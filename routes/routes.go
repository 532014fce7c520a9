// Package routes holds the route table for forwarding requests. For a host name
// and a path, the table gives the upstream pools that serve the request and the
// number of times that it may run; for an API key, it gives the client account.
// A Table is immutable; an update replaces the whole table.
//
// The adapters, such as package platform, read and decode tables.
package routes

import (
	"sort"
	"strings"
	"time"
)

// Kind is the kind of a route: it determines whether a request may run more than
// once and whether its response is an event stream.
type Kind uint8

// These are the kinds of routes.
const (
	// NonIdempotent marks requests that may run at most once.
	NonIdempotent Kind = iota
	// Idempotent marks requests that may run again after a failure.
	Idempotent
	// Stream marks requests that may run at most once and whose response is a
	// stream of events.
	Stream
	// ResumableStream marks requests whose event stream another upstream can
	// continue after the last event that was forwarded to the caller.
	ResumableStream
)

// Repeatable reports whether a request that may already have run can be sent
// again.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streaming reports whether the response is a stream of events.
func (k Kind) Streaming() bool { return k == Stream || k == ResumableStream }

// Target is an upstream pool with its share of a route's requests.
type Target struct {
	Pool string
	// Weight is the pool's share of the requests, relative to the weights of the
	// route's other targets.
	Weight float64
}

// Route defines how requests for a host name and a path prefix are served.
type Route struct {
	Name, Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to the end of its response.
	Timeout time.Duration
	// Objective is the latency objective: the target time for the response or, for
	// a stream, for its first event.
	Objective time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of upstreams on which one request may run.
	MaxAttempts int
	// Public marks a route whose requests need no API key.
	Public  bool
	Targets []Target
}

// Account is a client account with its rate limit.
type Account struct {
	Name string
	// Priority overrides the priority of the route; nil means no override.
	Priority *int
	// Rate is the limit per second and Burst the amount that may be used at once,
	// both in tokens if Tokens is true, otherwise in requests. A zero Rate means no
	// limit.
	Rate, Burst float64
	// Tokens is true if the limit counts tokens; otherwise it counts requests.
	Tokens bool
	// PlainTokens is the number of tokens charged for a request that states no
	// token count.
	PlainTokens float64
}

// Pool is a named group of upstreams.
type Pool struct {
	Name string
	// MaxConnections is the maximum number of connections from all entry hosts
	// together to one upstream.
	MaxConnections int
	// Engine describes the pool's model engines; nil if its upstreams are not model
	// engines.
	Engine *Engine
	// Scaling bounds the autoscaling of the pool; nil if the pool is not autoscaled.
	Scaling *Scaling
}

// Engine describes a pool's model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the memory of one engine for running requests and cached
	// prompts, in tokens.
	CacheTokens int
}

// Scaling holds the autoscaling limits and prices of a pool. Min and Max bound the
// number of upstreams in each failure domain.
type Scaling struct {
	Min, Max int
	// StartTime is the time from ordering an upstream to its first served request.
	StartTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream, which the platform
	// may take back, relative to one that is not reclaimable.
	ReclaimablePrice float64
	// DomainPrices maps failure domains to their relative prices.
	DomainPrices map[string]float64
}

// Limits holds the maximum sizes of a request's header and body, in bytes. Zero
// means no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
}

// Table is an immutable set of routes, pools and client accounts. Use New.
type Table struct {
	// Version is the version of the table; a newer table has a higher version.
	Version  uint64
	Limits   Limits
	Pools    map[string]*Pool
	Accounts map[string]*Account

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Contents holds the data from which New builds a Table.
type Contents struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Pools    []*Pool
	Accounts []*Account
	// Keys maps each API key to the name of its client account.
	Keys map[string]string
}

// New returns a table that is indexed by host name and by API key. It drops keys
// whose client account is not in c.
func New(c Contents) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, Pools: map[string]*Pool{}, Accounts: map[string]*Account{},
		byHost: map[string][]*Route{}, byKey: make(map[string]*Account, len(c.Keys)),
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
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

// Match returns the route of the host name with the longest prefix that matches
// the path, or nil if no route matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// LongestTimeout returns the longest time limit of the routes with a pool among their targets; zero if there is none.
func (t *Table) LongestTimeout(pool string) time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, r := range routes {
			for _, target := range r.Targets {
				if target.Pool == pool {
					longest = max(longest, r.Timeout)
				}
			}
		}
	}
	return longest
}

// AccountOf returns the client account of an API key, or nil if the key is unknown.
func (t *Table) AccountOf(key string) *Account { return t.byKey[key] }

// HasAccounts reports whether the table has client accounts; if so, requests to
// routes that are not public need an API key.
func (t *Table) HasAccounts() bool { return len(t.Accounts) > 0 }
