package loadshare

import (
	"sync"
	"time"
)

// maxDigestAge is how long a host's digest is included in the sums without a newer one.
const maxDigestAge = time.Second

// partitionKey identifies a partition of the upstreams by its index and the number of partitions. For a
// moment, hosts that see fleets of different sizes may use different numbers of partitions.
type partitionKey struct{ partition, partitions int }

// maxPartitions is the maximum number of partitions of the upstreams whose loads one host aggregates.
const maxPartitions = 64

// aggregators holds this host's load aggregators by partition of the upstreams. The zero value is
// ready to use.
type aggregators struct {
	mu          sync.Mutex
	byPartition map[partitionKey]*aggregator
}

// exchange stores a host's digest of its loads and returns the sums over all other hosts.
func (a *aggregators) exchange(d digest, now time.Time) []Load {
	key := partitionKey{partition: d.Partition, partitions: d.Partitions}
	a.mu.Lock()
	if a.byPartition == nil || a.byPartition[key] == nil && len(a.byPartition) >= maxPartitions {
		a.byPartition = map[partitionKey]*aggregator{}
	}
	if a.byPartition[key] == nil {
		a.byPartition[key] = &aggregator{}
	}
	selected := a.byPartition[key]
	a.mu.Unlock()
	return selected.exchange(d.Host, d.Loads, now)
}

// aggregator adds up the loads in the newest digests of all hosts. The zero value is ready to use.
type aggregator struct {
	mu        sync.Mutex
	hosts     map[string]*hostLoads
	totals    map[uint32]Load // sums over all hosts by upstream
	expiredAt time.Time       // when old digests were last removed
}

// hostLoads is the newest digest of a host's loads and the time at which it was received.
type hostLoads struct {
	loads      []Load
	receivedAt time.Time
}

// exchange stores a host's digest of its loads and returns the sums over all other hosts.
func (a *aggregator) exchange(host string, loads []Load, now time.Time) []Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts, a.totals = map[string]*hostLoads{}, map[uint32]Load{}
	}
	a.remove(host)
	a.expire(now)
	others := make([]Load, 0, len(a.totals))
	for _, total := range a.totals {
		others = append(others, total)
	}
	a.hosts[host] = &hostLoads{loads: loads, receivedAt: now}
	for _, l := range loads {
		a.add(l, 1)
	}
	return others
}

// remove deletes a host's digest and subtracts its loads from the totals.
func (a *aggregator) remove(host string) {
	if old := a.hosts[host]; old != nil {
		for _, l := range old.loads {
			a.add(l, -1)
		}
		delete(a.hosts, host)
	}
}

// expire removes the digests that are older than maxDigestAge (1 s). It checks at most every 250 ms.
func (a *aggregator) expire(now time.Time) {
	if now.Sub(a.expiredAt) < maxDigestAge/4 {
		return
	}
	a.expiredAt = now
	for host, r := range a.hosts {
		if now.Sub(r.receivedAt) > maxDigestAge {
			a.remove(host)
		}
	}
}

// add adds a load to the totals for sign 1 and subtracts it for sign -1.
func (a *aggregator) add(l Load, sign int64) {
	total := a.totals[l.Upstream]
	total.Upstream = l.Upstream
	total.PendingPromptTokens += sign * l.PendingPromptTokens
	total.InFlight += sign * l.InFlight
	total.Ended += sign * l.Ended
	total.Failed += sign * l.Failed
	if total == (Load{Upstream: l.Upstream}) {
		delete(a.totals, l.Upstream)
		return
	}
	a.totals[l.Upstream] = total
}
