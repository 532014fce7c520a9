package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/routing"
)

// poolState is what this host knows of one pool.
type poolState struct {
	current atomic.Pointer[poolView]
	mu      sync.Mutex // held while a view is built
	mix     routing.Mix
	demand  meter
	memory  routing.Memory
}

// poolView is a routing snapshot with the list that it was built from.
type poolView struct {
	source   *hosts.Snapshot
	hosts    []hosts.Host
	lives    map[string]*routing.Live
	snapshot *routing.Snapshot
}

// target is a chosen upstream.
type target struct {
	hosts.Host
	live   *routing.Live
	reason routing.Reason
	// unread are the prompt tokens that it is expected to read.
	unread int
	list   *hosts.Snapshot
}

func (f *Forwarder) pool(name string) *poolState {
	if p, ok := f.pools.Load(name); ok {
		return p.(*poolState)
	}
	p, _ := f.pools.LoadOrStore(name, &poolState{})
	return p.(*poolState)
}

// view returns a view of the newest list.
func (p *poolState) view(name string, list *hosts.Snapshot) *poolView {
	if v := p.current.Load(); v != nil && v.source == list {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	if old != nil && old.source == list {
		return old
	}
	v := &poolView{source: list, hosts: list.Pool(name), lives: map[string]*routing.Live{}}
	upstreams := make([]routing.Upstream, 0, len(v.hosts))
	for _, h := range v.hosts {
		key := liveKey(h)
		live := &routing.Live{}
		if old != nil && old.lives[key] != nil {
			live = old.lives[key]
		}
		v.lives[key] = live
		upstreams = append(upstreams, routing.Upstream{
			ID: h.ID, FailureDomain: h.FailureDomain, Leaving: h.State != hosts.StateLive, Slots: h.Slots, Live: live,
		})
	}
	v.snapshot = routing.NewSnapshot(upstreams, routing.NewLayout(upstreams), 0)
	p.current.Store(v)
	return v
}

// liveKey tells one start of an upstream from the next.
func liveKey(h hosts.Host) string { return h.ID + "@" + h.Address }

// choose picks an upstream that was not tried.
func (e *exchange) choose(now time.Time) (target, bool) {
	list := e.f.Upstreams()
	if list == nil {
		return target{}, false
	}
	v := e.f.pool(e.pool).view(e.pool, list)
	req := routing.Request{Tried: e.tried, Now: now}
	if e.shared != 0 {
		req.Blocks = []uint64{e.shared}
	}
	choice := e.policy(now).Pick(v.snapshot, &req, rand.Uint64())
	if choice.Index < 0 {
		return target{}, false
	}
	host := v.hosts[choice.Index]
	if e.shared != 0 {
		e.f.pool(e.pool).memory.Sent(e.shared, host.ID, now)
		e.f.Prompts.Sent(e.shared, host.ID)
	}
	return target{Host: host, live: v.lives[liveKey(host)], reason: choice.Reason, unread: choice.Unread, list: list}, true
}

// locate asks which upstreams have read the shared part of the request's prompt.
func (e *exchange) locate() {
	if e.meta.sharedTokens() < minShared {
		return
	}
	e.shared = sharedDigest(e.meta.Prompt)
	e.readers, e.located = e.f.Prompts.Upstreams(e.ctx, e.shared)
}

// minShared is the least shared part of a prompt that is worth a question: an
// engine reads it in about the time that the question takes.
const minShared = 500

// policy returns how an upstream is chosen for the request.
func (e *exchange) policy(now time.Time) routing.Policy {
	if e.meta.PromptTokens == 0 {
		return routing.LeastBacklog{Domain: e.f.Domain}
	}
	p := e.f.pool(e.pool)
	policy := routing.Prefill{Tokens: e.meta.PromptTokens, Shared: e.meta.sharedTokens(), ShortShare: p.mix.ShortShare()}
	if e.shared != 0 {
		policy.Cached = func(id string) bool { return slices.Contains(e.readers, id) || p.memory.Has(e.shared, id, now) }
	}
	return policy
}

// sharedTokens is the size of the parts that other requests may share.
func (m *Metadata) sharedTokens() int {
	if len(m.Prompt) < 2 {
		return 0
	}
	return max(0, m.PromptTokens-m.Prompt[len(m.Prompt)-1].Tokens)
}

// hundredths is the unit of outcomes among the loads that hosts share.
const hundredths = 100

// Loads returns what this host has sent to each upstream.
func (f *Forwarder) Loads() []loadshare.Load {
	var out []loadshare.Load
	now := time.Now()
	f.eachLive(func(h hosts.Host, live *routing.Live) {
		outcomes := live.Outcomes(now)
		l := loadshare.Load{
			Upstream: loadshare.Key(h.ID), Unread: live.Unread(), InFlight: int64(live.InFlight()),
			Ended: int64(hundredths * outcomes.Ended), Failed: int64(hundredths * outcomes.Failed),
		}
		if l != (loadshare.Load{Upstream: l.Upstream}) {
			out = append(out, l)
		}
	})
	f.pools.Range(func(name, value any) bool {
		demand := &value.(*poolState).demand
		if rate := int64(demand.rate(now)); rate > 0 {
			out = append(out, loadshare.Load{Upstream: demandKey(name.(string)), Unread: rate})
		}
		if speed := int64(math.Float64frombits(demand.speed.Load())); speed > 0 {
			out = append(out, loadshare.Load{Upstream: speedKey(name.(string)), Unread: speed, InFlight: 1})
		}
		return true
	})
	return out
}

// SetOthers takes what the other hosts have sent to each upstream.
func (f *Forwarder) SetOthers(loads []loadshare.Load) {
	byKey := make(map[uint32]loadshare.Load, len(loads))
	for _, l := range loads {
		byKey[l.Upstream] = l
	}
	f.viewAll()
	f.eachLive(func(h hosts.Host, live *routing.Live) {
		l := byKey[loadshare.Key(h.ID)]
		live.SetOthers(l.Unread, l.InFlight, routing.Outcomes{Ended: float64(l.Ended) / hundredths, Failed: float64(l.Failed) / hundredths})
	})
	f.pools.Range(func(name, value any) bool {
		demand := &value.(*poolState).demand
		demand.others.Store(byKey[demandKey(name.(string))].Unread)
		speed := byKey[speedKey(name.(string))]
		demand.othersSpeed.Store(speed.Unread)
		demand.othersMeasured.Store(speed.InFlight)
		return true
	})
}

// viewAll makes a view of each pool of the routes in force, so that a host knows
// what the others do there before it has a request for it.
func (f *Forwarder) viewAll() {
	table, list := f.Table(), f.Upstreams()
	if table == nil || list == nil {
		return
	}
	for _, p := range table.Pools {
		f.pool(p.Name).view(p.Name, list)
	}
}

func (f *Forwarder) eachLive(visit func(hosts.Host, *routing.Live)) {
	f.pools.Range(func(_, value any) bool {
		if v := value.(*poolState).current.Load(); v != nil {
			for _, h := range v.hosts {
				visit(h, v.lives[liveKey(h)])
			}
		}
		return true
	})
}

// sharedDigest identifies the parts of a prompt that other requests may share;
// zero where there is only the request's own part.
func sharedDigest(prompt []PromptPart) uint64 {
	if len(prompt) < 2 {
		return 0
	}
	const prime = 1099511628211 // of the FNV-1a hash
	digest := uint64(14695981039346656037)
	for _, part := range prompt[:len(prompt)-1] {
		digest = (digest ^ part.Digest) * prime
	}
	return digest
}
