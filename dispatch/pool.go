package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	// snapshotMaxAge is the age at which a pool's routing snapshot is rebuilt.
	snapshotMaxAge = 100 * time.Millisecond
	// popularityDecayInterval is the time between two halvings of the prompt block counts.
	popularityDecayInterval = 2 * time.Minute
	// maxBlocks is the number of blocks at the start of a prompt that routing compares.
	maxBlocks = 16
)

// Choices counts the upstreams that routing selects, by the reason of the selection.
var Choices = metrics.New("routing_choices_total", "Chosen upstreams, by the reason of the choice.")

// pool is the routing state of one pool of upstreams: the newest snapshot and this entry host's
// measurements.
type pool struct {
	current  atomic.Pointer[poolView]
	sequence atomic.Uint64
	// onHostsChanged is called with the new host list when the set of the pool's hosts changes.
	onHostsChanged func(*hosts.Snapshot)
	history        routing.History
	popularity     routing.Popularity
	// generated counts the pool's tokens that were appended to generation logs.
	generated atomic.Int64

	mu      sync.Mutex // held while a view is built
	decayed time.Time  // last halving of the popularity counts
}

// poolView is an immutable routing snapshot of a pool with the host list that it was built from.
type poolView struct {
	source   *hosts.Snapshot
	hosts    []hosts.Host
	builtAt  time.Time
	lives    map[string]*routing.UpstreamStats // measurements, by host id and address
	layout   *routing.Layout
	snapshot *routing.Snapshot
}

// pool returns the routing state of a pool, and creates it at the first call.
func (d *Dispatcher) pool(name string) *pool {
	if p, ok := d.pools.Load(name); ok {
		return p.(*pool)
	}
	p, _ := d.pools.LoadOrStore(name, &pool{onHostsChanged: d.pruneBudgets})
	return p.(*pool)
}

// GeneratedTokens returns the number of tokens that this process received for a pool since its start.
func (d *Dispatcher) GeneratedTokens(pool string) int64 { return d.pool(pool).generated.Load() }

// pruneBudgets deletes the retry budgets of hosts that are no longer in the host list.
func (d *Dispatcher) pruneBudgets(list *hosts.Snapshot) {
	listed := lo.SliceToMap(list.Hosts, func(h hosts.Host) (string, bool) { return h.ID, true })
	d.budgets.Forget(func(upstream string) bool { return listed[upstream] })
}

// view returns a routing view of the host list source, and rebuilds it at the age snapshotMaxAge.
// One caller rebuilds an expired view while the others use the old one. After a change of the list
// all callers wait for the new view.
func (p *pool) view(name string, source *hosts.Snapshot, now time.Time) *poolView {
	v := p.current.Load()
	sameList := v != nil && v.source == source
	if sameList && now.Sub(v.builtAt) < snapshotMaxAge {
		return v
	}
	if sameList && !p.mu.TryLock() {
		return v
	}
	if !sameList {
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	if v = p.current.Load(); v == nil || v.source != source || now.Sub(v.builtAt) >= snapshotMaxAge {
		v = p.build(v, source, name, now)
		p.current.Store(v)
	}
	return v
}

func (p *pool) build(old *poolView, source *hosts.Snapshot, name string, now time.Time) *poolView {
	v := &poolView{source: source, hosts: source.Pool(name), builtAt: now, lives: map[string]*routing.UpstreamStats{}}
	upstreams := lo.Map(v.hosts, func(h hosts.Host, _ int) routing.Upstream {
		key := h.ID + "@" + h.Address
		v.lives[key] = &routing.UpstreamStats{}
		if old != nil && old.lives[key] != nil {
			v.lives[key] = old.lives[key]
		}
		return routing.Upstream{
			ID: h.ID, FailureDomain: h.FailureDomain, Leaving: h.State != hosts.StateLive, Live: v.lives[key],
		}
	})
	if old != nil && slices.EqualFunc(old.hosts, v.hosts, func(a, b hosts.Host) bool { return a.ID == b.ID }) {
		v.layout = old.layout
	} else {
		v.layout = routing.NewLayout(upstreams)
		p.onHostsChanged(source)
	}
	v.snapshot = routing.NewSnapshot(upstreams, v.layout, p.history.LongShare())
	v.snapshot.Hot = p.popularity.Hot(len(upstreams))
	if now.Sub(p.decayed) > popularityDecayInterval {
		p.popularity.Decay()
		p.decayed = now
	}
	return v
}

// live returns the measurements of a host, or nil for a host outside the view.
func (v *poolView) live(host hosts.Host) *routing.UpstreamStats {
	return v.lives[host.ID+"@"+host.Address]
}

// route selects an upstream of a pool for a request. It skips the hosts in tried and prefers hosts
// outside the failure domain avoid.
func (d *Dispatcher) route(name string, tried map[string]bool, avoid string, req routing.Request) (hosts.Host, bool) {
	list := d.hosts.Fresh(context.Background(), name)
	p, now := d.pool(name), time.Now()
	v := p.view(name, list, now)
	req.Tried, req.AvoidDomain, req.Now = lo.Keys(tried), avoid, now
	req.Sequence = p.sequence.Add(1)
	choice := routing.Adaptive{}.Pick(v.snapshot, &req, rand.Uint64())
	Choices.Inc(string(choice.Reason))
	if choice.Index < 0 {
		return hosts.Host{}, false
	}
	return v.hosts[choice.Index], true
}

// recordFailure records a failed attempt in the upstream's routing measurements if the connection
// failed or broke; routing then avoids the upstream for a time.
func (d *Dispatcher) recordFailure(name string, host hosts.Host, err error) {
	switch upstream.ReasonOf(err) {
	case upstream.ReasonConnect, upstream.ReasonBroken:
		if live := d.pool(name).view(name, d.hosts.Current(), time.Now()).live(host); live != nil {
			live.Fail(time.Now())
		}
	default:
	}
}
