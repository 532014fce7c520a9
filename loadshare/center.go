package loadshare

import (
	"sync"
	"time"
)

// digestAge is how long a host's digest counts without a newer one.
const digestAge = time.Second

// shareKey is one share of the upstreams; hosts that count the fleet otherwise
// have other shares for a moment.
type shareKey struct{ share, shares int }

// maxShares bounds the shares that a host is the center of.
const maxShares = 64

// centers are this host's centers, one a share. The zero value is ready.
type centers struct {
	mu      sync.Mutex
	byShare map[shareKey]*center
}

// exchange takes a host's digest and returns the sum of the others.
func (c *centers) exchange(d digest, now time.Time) []Load {
	key := shareKey{share: d.Share, shares: d.Shares}
	c.mu.Lock()
	if c.byShare == nil || c.byShare[key] == nil && len(c.byShare) >= maxShares {
		c.byShare = map[shareKey]*center{}
	}
	if c.byShare[key] == nil {
		c.byShare[key] = &center{}
	}
	share := c.byShare[key]
	c.mu.Unlock()
	return share.exchange(d.Host, d.Loads, now)
}

// center adds up the digests of all hosts. The zero value is ready.
type center struct {
	mu      sync.Mutex
	hosts   map[string]*reported
	totals  map[uint32]Load
	checked time.Time
}

// reported is the newest digest of a host.
type reported struct {
	loads []Load
	at    time.Time
}

// exchange takes a host's digest and returns the sum of the others.
func (c *center) exchange(host string, loads []Load, now time.Time) []Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts == nil {
		c.hosts, c.totals = map[string]*reported{}, map[uint32]Load{}
	}
	c.drop(host)
	c.expire(now)
	others := make([]Load, 0, len(c.totals))
	for _, total := range c.totals {
		others = append(others, total)
	}
	c.hosts[host] = &reported{loads: loads, at: now}
	for _, l := range loads {
		c.add(l, 1)
	}
	return others
}

// drop takes a host's digest out of the totals.
func (c *center) drop(host string) {
	if old := c.hosts[host]; old != nil {
		for _, l := range old.loads {
			c.add(l, -1)
		}
		delete(c.hosts, host)
	}
}

// expire drops the digests of hosts that are not heard of any more.
func (c *center) expire(now time.Time) {
	if now.Sub(c.checked) < digestAge/4 {
		return
	}
	c.checked = now
	for host, r := range c.hosts {
		if now.Sub(r.at) > digestAge {
			c.drop(host)
		}
	}
}

func (c *center) add(l Load, sign int64) {
	total := c.totals[l.Upstream]
	total.Upstream = l.Upstream
	total.Unread += sign * l.Unread
	total.InFlight += sign * l.InFlight
	total.Ended += sign * l.Ended
	total.Failed += sign * l.Failed
	if total == (Load{Upstream: l.Upstream}) {
		delete(c.totals, l.Upstream)
		return
	}
	c.totals[l.Upstream] = total
}
