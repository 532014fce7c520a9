package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream/condition"
)

// poolState is the state of one upstream pool at this host.
type poolState struct {
	current atomic.Pointer[poolView]
	mu      sync.Mutex // held while a poolView is built
	mix     routing.WorkMix
	demand  demandMeter
	memory  routing.SentPrompts
	// reference holds the typical speeds of the pool's answers.
	reference routing.RateReference
	// othersRequests and othersTokens are the requests and the prompt tokens that the other hosts send to
	// the pool per second, as float64 bits. They are kept only with Balance.ByRate.
	othersRequests, othersTokens atomic.Uint64
	// ranks holds the parts of the prompts' work by rank, and answerTime the time of plain answers at
	// upstreams with a free slot. They are kept only with Balance.RefuseHopeless.
	ranks      admission.RankWork
	answerTime routing.DurationEstimate
}

// poolView is a routing snapshot of one pool, with the list of upstreams from which it
// was built.
type poolView struct {
	source    *hosts.Snapshot
	hosts     []hosts.Host
	liveByKey map[string]*routing.UpstreamStats
	startedMS map[string]int64 // start of the listed run by upstream id
	meters    map[condition.Run]*routing.RateMeter
	snapshot  *routing.Snapshot
}

// selectedUpstream is the upstream that a routing policy selected for one attempt.
type selectedUpstream struct {
	hosts.Host
	live   *routing.UpstreamStats
	meter  *routing.RateMeter
	reason routing.Reason
	// prefillTokens is the number of prompt tokens that the upstream is expected to
	// process, without those that its prompt cache is expected to hold.
	prefillTokens int
	list          *hosts.Snapshot
	// permitted is whether the request has a permit, because the upstream names a limit.
	permitted bool
}

func (f *Forwarder) pool(name string) *poolState {
	if p, ok := f.pools.Load(name); ok {
		return p.(*poolState)
	}
	p, _ := f.pools.LoadOrStore(name, &poolState{})
	return p.(*poolState)
}

// view returns the upstream pool's routing view for the given list of upstreams. It
// builds a new view if the current one was built from another list.
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
	v := &poolView{
		source: list, hosts: list.Pool(name), liveByKey: map[string]*routing.UpstreamStats{}, startedMS: map[string]int64{},
		meters: map[condition.Run]*routing.RateMeter{},
	}
	upstreams := make([]routing.Upstream, 0, len(v.hosts))
	for _, h := range v.hosts {
		key := upstreamKey(h)
		live := &routing.UpstreamStats{}
		if old != nil && old.liveByKey[key] != nil {
			live = old.liveByKey[key]
		}
		v.liveByKey[key] = live
		v.startedMS[h.ID] = h.StartedMS
		v.meters[runOf(h)] = meterOf(old, h, live)
		upstreams = append(upstreams, routing.Upstream{
			ID: h.ID, FailureDomain: h.FailureDomain, Leaving: h.State != hosts.StateLive, Slots: h.Slots, Live: live,
		})
	}
	v.snapshot = routing.NewSnapshot(upstreams, routing.NewLayout(upstreams), 0)
	p.current.Store(v)
	return v
}

// upstreamKey returns a key made of an upstream's id and address. An upstream that
// restarts at another address gets a new key.
func upstreamKey(h hosts.Host) string { return h.ID + "@" + h.Address }

// choose selects an upstream that this request has not tried yet and that takes it now. It
// returns false if no such upstream is available.
func (e *exchange) choose(now time.Time) (selectedUpstream, bool) {
	for range maxClosedAttempts {
		t, ok := e.pick(now)
		if !ok {
			return selectedUpstream{}, false
		}
		if t.permitted, ok = e.takePermit(t.Host); !ok {
			continue
		}
		e.reportSent(t, now)
		return t, true
	}
	return selectedUpstream{}, false
}

// pick returns the upstream that the routing policy selects. It returns false if none is allowed.
func (e *exchange) pick(now time.Time) (selectedUpstream, bool) {
	list := e.f.Upstreams()
	if list == nil {
		return selectedUpstream{}, false
	}
	v := e.f.pool(e.pool).view(e.pool, list)
	req := e.routingRequest(v, now)
	choice := e.policy(now).Pick(v.snapshot, &req, rand.Uint64())
	if choice.Index < 0 {
		return selectedUpstream{}, false
	}
	host := v.hosts[choice.Index]
	return selectedUpstream{
		Host: host, live: v.liveByKey[upstreamKey(host)], meter: v.meters[runOf(host)],
		reason: choice.Reason, prefillTokens: choice.PrefillTokens, list: list,
	}, true
}

// routingRequest returns the properties of the request that a routing policy uses.
func (e *exchange) routingRequest(v *poolView, now time.Time) routing.Request {
	req := routing.Request{Tried: e.tried, Now: now}
	if e.sharedPrompt != 0 {
		req.Blocks = []uint64{e.sharedPrompt}
	}
	if !e.f.conditions.Empty() {
		req.Closed = func(id string) bool {
			_, closed := e.f.conditions.ClosedUntil(condition.Run{ID: id, StartedMS: v.startedMS[id]}, now)
			return closed
		}
	}
	return req
}

// locateCachedPrompt finds the upstreams that have already processed the part of the
// prompt that other requests share.
func (e *exchange) locateCachedPrompt() {
	if e.f.CachedParts != nil {
		e.locateCachedParts()
		return
	}
	if e.meta.sharedTokens() < minSharedTokens {
		return
	}
	e.sharedPrompt = sharedDigest(e.meta.Prompt)
	e.cachedOn, e.cachedOnKnown = e.f.Prompts.Upstreams(e.ctx, e.sharedPrompt)
}

// minSharedTokens is the smallest shared part of a prompt, in tokens, for which this
// host asks other hosts which upstreams have it cached. An engine processes 500 tokens
// in about the time of this lookup.
const minSharedTokens = 500

// policy returns the routing policy that selects an upstream for the request.
func (e *exchange) policy(now time.Time) routing.Policy {
	if e.meta.PromptTokens == 0 {
		if e.f.Balance.ByRate {
			return routing.LeastExpectedWait{Domain: e.f.Domain, Arrived: e.f.arrivedSince(&e.f.pool(e.pool).othersRequests, now)}
		}
		return routing.LeastBacklog{Domain: e.f.Domain}
	}
	p := e.f.pool(e.pool)
	policy := routing.Prefill{Tokens: e.meta.PromptTokens, Shared: e.meta.sharedTokens(), ShortShare: p.mix.ShortShare()}
	if e.sharedPrompt != 0 {
		policy.Cached = func(id string) bool { return slices.Contains(e.cachedOn, id) || p.memory.Has(e.sharedPrompt, id, now) }
	}
	if e.f.Balance.ByRate {
		return e.weighHeldByRate(routing.ExpectedFinish{Prefill: policy, Arrived: e.f.arrivedSince(&p.othersTokens, now)})
	}
	return e.weighHeld(policy)
}

// sharedTokens returns the number of prompt tokens in the parts that other requests
// may share: all parts except the last.
func (m *Metadata) sharedTokens() int {
	if len(m.Prompt) < 2 {
		return 0
	}
	return max(0, m.PromptTokens-m.Prompt[len(m.Prompt)-1].Tokens)
}

// outcomeScale converts counts of ended and failed requests to hundredths, the unit in
// which hosts exchange these counts.
const outcomeScale = 100

// LocalLoads returns the unfinished requests and prompt tokens that this host has sent to
// each upstream, and the outcomes of recent requests there. It also returns the demand
// and the prompt processing speed of each upstream pool.
func (f *Forwarder) LocalLoads() []loadshare.Load {
	var out []loadshare.Load
	now := time.Now()
	f.eachLive(func(h hosts.Host, live *routing.UpstreamStats) {
		outcomes := live.Outcomes(now)
		l := loadshare.Load{
			Upstream: loadshare.UpstreamHash(h.ID), PendingPromptTokens: live.Unread(), InFlight: int64(live.InFlight()),
			Ended: int64(outcomeScale * outcomes.Ended), Failed: int64(outcomeScale * outcomes.Failed),
		}
		if l != (loadshare.Load{Upstream: l.Upstream}) {
			out = append(out, l)
		}
	})
	out = append(out, f.localConditions(now)...)
	out = append(out, f.localRates(now)...)
	f.pools.Range(func(name, value any) bool {
		demand := &value.(*poolState).demand
		if rate := int64(demand.rate(now)); rate > 0 {
			out = append(out, loadshare.Load{Upstream: demandKey(name.(string)), PendingPromptTokens: rate})
		}
		if speed := int64(math.Float64frombits(demand.speedBits.Load())); speed > 0 {
			out = append(out, loadshare.Load{Upstream: speedKey(name.(string)), PendingPromptTokens: speed, InFlight: 1})
		}
		return true
	})
	return out
}

// SetPeerLoads sets the loads that the other hosts have reported for each upstream and
// each pool of upstreams.
func (f *Forwarder) SetPeerLoads(loads []loadshare.Load) {
	byKey := make(map[uint32]loadshare.Load, len(loads))
	for _, l := range loads {
		byKey[l.Upstream] = l
	}
	f.refreshViews()
	f.eachLive(func(h hosts.Host, live *routing.UpstreamStats) {
		l := byKey[loadshare.UpstreamHash(h.ID)]
		live.SetOthers(l.PendingPromptTokens, l.InFlight, routing.Outcomes{Ended: float64(l.Ended) / outcomeScale, Failed: float64(l.Failed) / outcomeScale})
	})
	f.applyPeerConditions(byKey)
	f.applyPeerRates(byKey, time.Now())
	f.pools.Range(func(name, value any) bool {
		demand := &value.(*poolState).demand
		demand.peerDemand.Store(byKey[demandKey(name.(string))].PendingPromptTokens)
		speed := byKey[speedKey(name.(string))]
		demand.peerSpeedSum.Store(speed.PendingPromptTokens)
		demand.peerSpeedCount.Store(speed.InFlight)
		return true
	})
	f.updatePromptTracker(time.Now())
}

// refreshViews builds the routing view of every upstream pool in the current route
// table, so that the loads of other hosts are recorded for a pool before this host
// receives a request for the pool.
func (f *Forwarder) refreshViews() {
	table, list := f.Table(), f.Upstreams()
	if table == nil || list == nil {
		return
	}
	for _, p := range table.Pools {
		f.pool(p.Name).view(p.Name, list)
	}
}

func (f *Forwarder) eachLive(visit func(hosts.Host, *routing.UpstreamStats)) {
	f.pools.Range(func(_, value any) bool {
		if v := value.(*poolState).current.Load(); v != nil {
			for _, h := range v.hosts {
				visit(h, v.liveByKey[upstreamKey(h)])
			}
		}
		return true
	})
}

// sharedDigest returns a digest of the prompt parts that other requests may share: all
// parts except the last. It returns zero for a prompt of fewer than two parts.
func sharedDigest(prompt []PromptPart) uint64 {
	if len(prompt) < 2 {
		return 0
	}
	const prime = 1099511628211 // 64-bit FNV-1a prime
	digest := uint64(14695981039346656037)
	for _, part := range prompt[:len(prompt)-1] {
		digest = (digest ^ part.Digest) * prime
	}
	return digest
}
