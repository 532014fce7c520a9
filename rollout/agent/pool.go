package agent

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/rollout"
)

// pool is what this host knows of the versions of one pool's upstreams.
type pool struct {
	agent    *Agent
	name     string
	current  atomic.Pointer[view]
	counters sync.Map // version (string) to *inFlight
	// asked is whether the stored record was read, or could not be.
	asked atomic.Bool

	mu        sync.Mutex // serializes changes of current, and guards the fields below
	firstSeen map[string]time.Duration
	known     map[string]bool // versions that count as ordinary ones
	listed    bool            // whether a list with upstreams of the pool was seen
	readAt    time.Duration   // when the stored record was last read; used by readRecords only
}

func newPool(a *Agent, name string) *pool {
	p := &pool{agent: a, name: name, firstSeen: map[string]time.Duration{}, known: map[string]bool{}}
	p.current.Store(&view{state: &state{}})
	return p
}

// state is what this host knows of the newest roll-out order of a pool. It is immutable.
type state struct {
	order  rollout.Order // zero: none
	seenAt time.Time
	// base is the revision of the order since which the evidence counts. A repeated order keeps it.
	base uint64
	// phase is empty until a directive or a record is known.
	phase rollout.Phase
	open  bool
	step  float64
	// expires is when the directive of the canary phase loses its validity.
	expires time.Duration
	// heardAt is when the newest directive arrived, and promotedAt when this host began to promote.
	heardAt, promotedAt time.Duration
	// old are the versions that the target replaces, and barred those that earlier orders had as targets.
	old, barred []string
	// stopped is why this host has stopped the exposure before the coordinator has stored an outcome, and stoppedAt when;
	// empty if it has not.
	stopped   string
	stoppedAt time.Duration
	// bad is the number of the target's bad answers by the newest directive.
	bad int64
	// done is whether the outcome is stored and published.
	done bool
	// replaced are the newest orders that the order has replaced, at most maxReplaced.
	replaced []rollout.Order

	credit   *rollout.Credit
	recorder *rollout.Recorder
}

func (s *state) ordered() bool { return s.order.Revision != 0 }

func (s *state) undecided() bool { return s.ordered() && !s.phase.Final() }

// exposes reports whether requests may be sent to the canaries, within the credit.
func (s *state) exposes(now time.Duration) bool {
	return s.phase == rollout.PhaseCanary && s.open && s.stopped == "" && now < s.expires
}

// promotedShare returns the share of the requests that goes to the target in the promoting phase.
func (s *state) promotedShare(now time.Duration) float64 {
	if s.phase != rollout.PhasePromoting || s.stopped != "" {
		return 0
	}
	if now-s.promotedAt >= promotionSpan {
		return 1
	}
	return s.step
}

// class is what a version of a pool's upstreams is to this host.
type class string

const (
	// classOld marks versions that get requests without restriction.
	classOld class = "old"
	// classTarget marks the version that the newest order moves the traffic to.
	classTarget class = "target"
	// classHeld marks versions that were first seen a short time ago without an order.
	classHeld class = "held"
	// classBarred marks versions that get no requests.
	classBarred class = "barred"
)

// view is the state of a pool together with the list of upstreams that it was applied to. It is immutable.
type view struct {
	state      *state
	list       *hosts.Snapshot
	restricted bool          // whether not all upstreams may be used
	useHeld    bool          // whether held versions are used because no other upstream is live
	until      time.Duration // when the first held version becomes an ordinary one; zero if none is held
	classes    map[string]class
	canaries   map[string]bool

	onlyOld, onlyTarget, onlyCanaries func(id string) bool
}

// change replaces the state by a copy that update has changed. If update returns false, nothing changes.
func (p *pool) change(update func(*state) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.current.Load()
	s := *v.state
	if update(&s) {
		p.current.Store(p.build(&s, v.list))
	}
}

// view returns the view of the pool for a list of upstreams.
func (p *pool) view(list *hosts.Snapshot) *view {
	v := p.current.Load()
	if p.upToDate(v, list) {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if v = p.current.Load(); !p.upToDate(v, list) {
		v = p.build(v.state, list)
		p.current.Store(v)
	}
	return v
}

func (p *pool) upToDate(v *view, list *hosts.Snapshot) bool {
	return v.list == list && (v.until == 0 || p.agent.Elapsed() < v.until)
}

// build returns a view. The caller holds p.mu.
func (p *pool) build(s *state, list *hosts.Snapshot) *view {
	v := &view{state: s, list: list, classes: map[string]class{}}
	if list == nil {
		return v
	}
	upstreams, now := list.Pool(p.name), p.agent.Elapsed()
	p.noteVersions(upstreams, now)
	ids := map[class]map[string]bool{classOld: {}, classTarget: {}, classHeld: {}, classBarred: {}}
	var targets []string
	for _, h := range upstreams {
		c, until := p.classOf(s, h.Version, now)
		v.classes[h.Version] = c
		if h.State != hosts.StateLive {
			continue
		}
		ids[c][h.ID] = true
		if c == classTarget {
			targets = append(targets, h.ID)
		}
		if c == classHeld && (v.until == 0 || until < v.until) {
			v.until = until
		}
	}
	v.useHeld = len(ids[classOld]) == 0 // the target of an undecided order is not among the held ones
	if v.useHeld {
		for id := range ids[classHeld] {
			ids[classOld][id] = true
		}
	}
	v.canaries = map[string]bool{}
	for _, id := range rollout.Canaries(p.name, targets, p.agent.Bounds.Share) {
		v.canaries[id] = true
	}
	v.restricted = s.undecided() || len(ids[classHeld]) > 0 && !v.useHeld || len(ids[classBarred]) > 0
	old, target := ids[classOld], ids[classTarget]
	v.onlyOld = func(id string) bool { return old[id] }
	v.onlyTarget = func(id string) bool { return target[id] }
	v.onlyCanaries = func(id string) bool { return v.canaries[id] }
	return v
}

// noteVersions notes when the versions of a list were first seen. Of the first list, the version of the upstream
// that has run longest is an ordinary one: the others may have been started for a roll-out whose order has not
// arrived yet. The caller holds p.mu.
func (p *pool) noteVersions(upstreams []hosts.Host, now time.Duration) {
	if !p.listed && len(upstreams) > 0 {
		p.listed = true
		oldest := slices.MinFunc(upstreams, func(x, y hosts.Host) int { return int(min(max(x.StartedMS-y.StartedMS, -1), 1)) })
		p.known[oldest.Version] = true
	}
	for _, h := range upstreams {
		if _, seen := p.firstSeen[h.Version]; seen || p.known[h.Version] {
			continue
		}
		if len(p.firstSeen) >= maxVersions {
			clear(p.firstSeen)
		}
		p.firstSeen[h.Version] = now
		events.RolloutUnknown.Log(p.agent.Logger, "pool", p.name, "version", h.Version, "upstream", h.ID, "hold_ms", p.agent.HoldBack.Milliseconds())
	}
}

// maxVersions limits the versions of a pool for which the time of their first sight is kept.
const maxVersions = 256

// classOf returns what a version is to this host, and for a held one until when. The caller holds p.mu.
func (p *pool) classOf(s *state, version string, now time.Duration) (class, time.Duration) {
	if s.ordered() {
		switch {
		case version == s.order.Target && s.phase == rollout.PhaseRolledBack, slices.Contains(s.barred, version):
			return classBarred, 0
		case version == s.order.Target && s.phase == rollout.PhaseComplete:
			return classOld, 0
		case version == s.order.Target:
			return classTarget, 0
		case slices.Contains(s.old, version) && s.phase == rollout.PhaseComplete:
			return classBarred, 0
		case slices.Contains(s.old, version):
			return classOld, 0
		}
	}
	if p.known[version] {
		return classOld, 0
	}
	seen, ok := p.firstSeen[version]
	if until := seen + p.agent.HoldBack; !ok || now < until {
		return classHeld, until
	}
	p.known[version] = true
	return classOld, 0
}

// applyOrder takes over an order if it is newer than the known one.
func (p *pool) applyOrder(o rollout.Order) {
	p.change(func(s *state) bool {
		if o.Revision <= s.order.Revision || s.replacedBefore(o) {
			return false
		}
		s.replaceOrder(o, p.agent.Now(), p.agent.Bounds)
		events.RolloutOrder.Log(p.agent.Logger, "pool", p.name, "target", o.Target, "duration_ms", o.Duration.Milliseconds(), "revision", o.Revision)
		return true
	})
}

// replaceOrder changes s to that of a newer order. The same target, while its roll-out runs, keeps its phase and
// its evidence. An order that is read again after the store has come back from a copy keeps everything, but its outcome
// has to be stored and published again. The target of an undecided roll-out that the order replaces is barred, as is one that was rolled back.
func (s *state) replaceOrder(o rollout.Order, now time.Time, bounds rollout.Bounds) {
	if o.Restores(s.order) {
		s.order, s.done = o, false
		return
	}
	if s.undecided() && o.Target == s.order.Target {
		s.order, s.seenAt = o, now
		return
	}
	next := state{order: o, seenAt: now, base: o.Revision, credit: rollout.NewCredit(bounds), recorder: &rollout.Recorder{}}
	next.barred = slices.Clone(s.barred)
	if s.ordered() {
		next.replaced = append(slices.Clone(s.replaced[max(0, len(s.replaced)-maxReplaced+1):]), s.order)
	}
	switch {
	case s.undecided() || s.phase == rollout.PhaseRolledBack:
		next.barred = append(next.barred, s.order.Target)
		next.old = slices.Clone(s.old)
	case s.phase == rollout.PhaseComplete:
		next.old = []string{s.order.Target}
	}
	next.barred = slices.DeleteFunc(next.barred, func(v string) bool { return v == o.Target })
	next.old = slices.DeleteFunc(next.old, func(v string) bool { return v == o.Target })
	*s = next
}

// maxReplaced limits the replaced orders in memory.
const maxReplaced = 8

// replacedBefore reports whether an order is one that the known order has replaced: the store shows it again with the
// revision that it had, after it has come back from a copy that lacks the known order.
func (s *state) replacedBefore(o rollout.Order) bool {
	return slices.ContainsFunc(s.replaced, func(r rollout.Order) bool {
		return o.Restores(r) && kv.Version(o.Revision).Revision() == kv.Version(r.Revision).Revision()
	})
}

// restoredBefore reports whether a directive is for the known order, from a coordinator that takes it for a new one since
// it does not know the order from before the store came back from a copy. The coordinator learns the phase from the report.
func (s *state) restoredBefore(d Directive) bool {
	era := kv.Version(s.order.Revision).Era()
	return d.Order.Revision == s.order.Revision && kv.Version(s.base).Era() < era && kv.Version(d.Base).Era() == era
}
