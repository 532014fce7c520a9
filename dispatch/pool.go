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
	// snapshotAge is the age from which a pool's snapshot is built again.
	snapshotAge   = 100 * time.Millisecond
	popularityAge = 2 * time.Minute
	maxBlocks     = 16 // of a prompt
)

// Choices counts chosen upstreams by the reason of the choice.
var Choices = metrics.New("routing_choices_total", "Chosen upstreams, by the reason of the choice.")

// pool feeds the routing of one pool: its newest snapshot, and what this host
// measured of its upstreams.
type pool struct {
	current  atomic.Pointer[poolView]
	sequence atomic.Uint64
	// relisted is called when the pool's hosts changed.
	relisted   func(*hosts.Snapshot)
	history    routing.History
	popularity routing.Popularity
	// generated counts the tokens that were passed on.
	generated atomic.Int64

	mu      sync.Mutex // held while a view is built
	decayed time.Time
}

// poolView is an immutable snapshot with the list that it was built from.
type poolView struct {
	source   *hosts.Snapshot
	hosts    []hosts.Host
	builtAt  time.Time
	lives    map[string]*routing.Live
	layout   *routing.Layout
	snapshot *routing.Snapshot
}

// pool returns the state of a pool.
func (d *Dispatcher) pool(name string) *pool {
	if p, ok := d.pools.Load(name); ok {
		return p.(*pool)
	}
	p, _ := d.pools.LoadOrStore(name, &pool{relisted: d.forgetBudgets})
	return p.(*pool)
}

// Generated returns the tokens that were passed on for a pool since the start.
func (d *Dispatcher) Generated(pool string) int64 { return d.pool(pool).generated.Load() }

// forgetBudgets drops the budgets of hosts that are not listed any more.
func (d *Dispatcher) forgetBudgets(list *hosts.Snapshot) {
	listed := lo.SliceToMap(list.Hosts, func(h hosts.Host) (string, bool) { return h.ID, true })
	d.budgets.Forget(func(upstream string) bool { return listed[upstream] })
}

// view returns a view of the newest list. One caller at a time builds it; the
// others use the last one, unless the list changed.
func (p *pool) view(name string, source *hosts.Snapshot, now time.Time) *poolView {
	v := p.current.Load()
	sameList := v != nil && v.source == source
	if sameList && now.Sub(v.builtAt) < snapshotAge {
		return v
	}
	if sameList && !p.mu.TryLock() {
		return v
	}
	if !sameList {
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	if v = p.current.Load(); v == nil || v.source != source || now.Sub(v.builtAt) >= snapshotAge {
		v = p.build(v, source, name, now)
		p.current.Store(v)
	}
	return v
}

func (p *pool) build(old *poolView, source *hosts.Snapshot, name string, now time.Time) *poolView {
	v := &poolView{source: source, hosts: source.Pool(name), builtAt: now, lives: map[string]*routing.Live{}}
	upstreams := lo.Map(v.hosts, func(h hosts.Host, _ int) routing.Upstream {
		key := h.ID + "@" + h.Address
		v.lives[key] = &routing.Live{}
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
		p.relisted(source)
	}
	v.snapshot = routing.NewSnapshot(upstreams, v.layout, p.history.LongShare())
	v.snapshot.Hot = p.popularity.Hot(len(upstreams))
	if now.Sub(p.decayed) > popularityAge {
		p.popularity.Decay()
		p.decayed = now
	}
	return v
}

// live returns the measurements of a host; nil when it is not in the list.
func (v *poolView) live(host hosts.Host) *routing.Live { return v.lives[host.ID+"@"+host.Address] }

// route chooses an upstream of a pool for a request.
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

// noteFailure tells routing of an attempt that failed at the upstream itself.
func (d *Dispatcher) noteFailure(name string, host hosts.Host, err error) {
	switch upstream.ReasonOf(err) {
	case upstream.ReasonConnect, upstream.ReasonBroken:
		if live := d.pool(name).view(name, d.hosts.Current(), time.Now()).live(host); live != nil {
			live.Fail(time.Now())
		}
	default:
	}
}
