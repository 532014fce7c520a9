// Package agent applies roll-outs of upstream versions on one entry host. It follows the operators' orders, the
// coordinator's directives and the stored records, decides which upstreams a request may use, counts the outcomes
// of requests by version, and reports them to the coordinator.
//
// A request's path uses atomics and immutable views only. A view is replaced whole when an order, a directive, a
// record or the list of upstreams changes.
package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/wait"
)

// Counters of the agent.
var (
	Sends    = metrics.New("rollout_sends_total", "Requests sent to upstreams of pools with an undecided roll-out, by the kind of version: target or old.")
	Refusals = metrics.New("rollout_refused_sends_total", "Requests that were not sent to a chosen upstream because the roll-out did not allow it any more, by the kind of version.")
	Outcomes = metrics.New("rollout_outcomes_total", "Ended requests that count as evidence, by the kind of version and the outcome.")
	Applied  = metrics.New("rollout_applied_total", "Phases that this host applied, by phase.")
)

const (
	// directiveTTL is how long a directive of the canary phase is in force. It allows for five lost directives.
	directiveTTL = 1500 * time.Millisecond
	// promotionSpan is the time from the start of the promotion until all requests go to the target, also on a host
	// that receives no further directive.
	promotionSpan = time.Second
	// judgeInterval is the interval at which a host judges its own evidence.
	judgeInterval = 100 * time.Millisecond
	// judgeSpan is the time without a directive after which a host judges its own evidence. Before it the coordinator
	// does so, on the evidence of all hosts: hundreds of hosts that judge theirs would stop good targets by chance.
	judgeSpan = 500 * time.Millisecond
	// silentSpan is the time without a directive after which a host reads the stored record.
	silentSpan = time.Second
	// recordInterval is the interval between two reads of a record, and recordTimeout bounds one read.
	recordInterval = time.Second
	recordTimeout  = 700 * time.Millisecond
)

// Config holds the dependencies of an Agent. All are required.
type Config struct {
	// Host is the name of this host among the entry hosts.
	Host   string
	Bounds rollout.Bounds
	// HoldBack is how long upstreams of a version that the pool did not have before get no requests without an order.
	HoldBack  time.Duration
	Store     kv.Store
	Upstreams func() *hosts.Snapshot
	// Withdraw ends the resumable streams at the upstreams of a pool for which old returns true, so that they
	// continue elsewhere. It returns their number.
	Withdraw func(pool string, old func(hosts.Host) bool) int
	// Now returns the estimated true time.
	Now func() time.Time
	// Elapsed measures the validity of directives; it runs on while the host is suspended.
	Elapsed clock.Elapsed
	Logger  hclog.Logger
}

// Agent applies the roll-outs on one host. Use New.
type Agent struct {
	Config
	process string
	pools   sync.Map // pool name (string) to *pool
	settled atomic.Bool

	mu    sync.Mutex // guards the fields below
	fence uint64     // greatest fencing token seen
	seq   uint64     // number of the newest directives under fence
}

// New returns an Agent without orders.
func New(c Config) *Agent { return &Agent{Config: c, process: uuid.NewString()} }

// pool returns the state of a pool and creates it if there is none.
func (a *Agent) pool(name string) *pool {
	if p, ok := a.pools.Load(name); ok {
		return p.(*pool)
	}
	p, _ := a.pools.LoadOrStore(name, newPool(a, name))
	return p.(*pool)
}

// eachPool calls visit for each pool, in no particular order.
func (a *Agent) eachPool(visit func(*pool)) {
	a.pools.Range(func(_, value any) bool {
		visit(value.(*pool))
		return true
	})
}

// ApplyOrders takes over the operators' orders. An order that is missing here stays in force until its roll-out has
// ended.
func (a *Agent) ApplyOrders(orders []rollout.Order) {
	for _, o := range orders {
		a.pool(o.Pool).applyOrder(o)
	}
}

// Order is an operator's order as this host knows it.
type Order struct {
	rollout.Order
	// SeenAt is when this host first saw the order, by Config.Now.
	SeenAt time.Time
	// Base and Phase are those that this host applies, and Old and Barred the versions; see Record. The phase is empty
	// if this host knows none.
	Base        uint64
	Phase       rollout.Phase
	Old, Barred []string
}

// Undecided returns the orders whose outcome is not known to be published, sorted by pool.
func (a *Agent) Undecided() []Order {
	var out []Order
	a.eachPool(func(p *pool) {
		if s := p.current.Load().state; s.ordered() && !s.done {
			out = append(out, Order{Order: s.order, SeenAt: s.seenAt, Base: s.base, Phase: s.phase, Old: s.old, Barred: s.barred})
		}
	})
	slices.SortFunc(out, func(x, y Order) int { return cmp.Compare(x.Pool, y.Pool) })
	return out
}

// Settled reports whether this host has tried to learn the outcomes of the orders with which it started. Before that it
// may send requests to upstreams whose roll-out is complete. Once true, it stays true.
func (a *Agent) Settled() bool {
	if a.settled.Load() {
		return true
	}
	settled := true
	a.eachPool(func(p *pool) {
		s := p.current.Load().state
		settled = settled && (!s.ordered() || s.heardAt != 0 || p.asked.Load())
	})
	if settled {
		a.settled.Store(true)
	}
	return settled
}

// Running reports whether a roll-out of the pool is undecided.
func (a *Agent) Running(name string) bool {
	p, ok := a.pools.Load(name)
	return ok && p.(*pool).current.Load().state.undecided()
}

// Run judges the evidence of this host, reads stored records and follows the list of upstreams until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var reading sync.WaitGroup
	defer reading.Wait()
	reading.Go(func() { a.readRecords(ctx) })
	for wait.For(ctx, judgeInterval) {
		list := a.Upstreams()
		if list == nil {
			continue
		}
		for _, h := range list.Hosts {
			a.pool(h.Pool)
		}
		a.eachPool(func(p *pool) {
			p.view(list)
			p.judge()
		})
	}
}

// judge stops the exposure if no directives arrive and this host's own evidence shows that the target is bad.
func (p *pool) judge() {
	s := p.current.Load().state
	if !s.undecided() || s.stopped != "" || s.phase == "" || p.agent.Elapsed()-s.heardAt < judgeSpan {
		return
	}
	judge := rollout.Judge
	if s.phase == rollout.PhasePromoting {
		judge = rollout.JudgePromoted
	}
	if v := judge(s.order.Target, s.old, s.recorder.Snapshot()); v.Bad && v.Sure {
		p.stop(s.order.Revision, v.Reason)
	}
}

// stop ends the exposure of this host in the roll-out with the given revision.
func (p *pool) stop(revision uint64, reason string) {
	p.change(func(s *state) bool {
		if s.order.Revision != revision || !s.undecided() || s.stopped != "" {
			return false
		}
		s.stopped, s.stoppedAt = reason, p.agent.Elapsed()
		events.RolloutStopped.Log(p.agent.Logger, "pool", p.name, "target", s.order.Target, "revision", revision, "reason", reason)
		return true
	})
}
