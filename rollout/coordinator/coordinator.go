// Package coordinator makes the decisions on roll-outs of upstream versions for all entry hosts. One host at a time
// does so, the holder of the lease "rollouts". It keeps the state of each roll-out in the key-value service, calls
// all hosts every 250 ms, and writes the status for the operators.
package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/rollout/agent"
	"github.com/cardamompier/cardamompier/routes"
	"github.com/cardamompier/cardamompier/wait"
)

// Counters of the coordinator.
var (
	Phases     = metrics.New("rollout_phases_total", "Phases of roll-outs that this host stored as the coordinator, by phase.")
	Directives = metrics.New("rollout_directives_total", "Calls of the coordinator to hosts, by outcome.")
	Restored   = metrics.New("rollout_restored_total", "Records of roll-outs that were stored again because the key-value service had come back from an older copy, by phase.")
	Writes     = metrics.New("rollout_writes_total", "Writes of records and statuses of roll-outs, by outcome.")
)

const (
	// leaseName is the name of the lease that the coordinator holds, and also the key of the rendezvous hashing that
	// selects its candidates.
	leaseName = "rollouts"
	// candidates is the number of hosts that campaign for the lease.
	candidates = 4
	// leaseTTL is short, as exposure is paused until a successor of a coordinator that was killed has the lease.
	leaseTTL = 2 * time.Second
	// directiveInterval is the interval between two directives to a host.
	directiveInterval = 250 * time.Millisecond
	// callTimeout bounds one call to a host or to the key-value service.
	callTimeout = 700 * time.Millisecond
	// saveInterval is the interval at which changed evidence is stored.
	saveInterval = time.Second
	// haltSpan is the time after which a host that has not answered sends nothing to a target that was rolled back:
	// its directive has expired.
	haltSpan = 2 * time.Second
)

// Config holds the dependencies of a Coordinator. All are required.
type Config struct {
	// Host is the name of this host among the entry hosts.
	Host      string
	Bounds    rollout.Bounds
	Agent     *agent.Agent
	Store     kv.Store
	Transport inner.Transport
	Members   func() *membership.View
	Table     func() *routes.Table
	Upstreams func() *hosts.Snapshot
	// Status returns the key and the value of the status that tells operators of a roll-out.
	Status func(rollout.Record) (key string, value []byte, err error)
	// Now returns the estimated true time; time limits are measured by it.
	Now func() time.Time
	// Elapsed measures the lease and the age of reports.
	Elapsed clock.Elapsed
	Logger  hclog.Logger
}

// Coordinator campaigns for the lease while an order is undecided, and decides while it holds the lease. Use New.
type Coordinator struct{ Config }

// New returns a Coordinator. The caller must start Run.
func New(c Config) *Coordinator { return &Coordinator{Config: c} }

// Run campaigns for the lease and decides roll-outs until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	holder := lease.New(c.Store, leaseName, c.Host, c.Logger, lease.Options{TTL: leaseTTL, Candidate: c.candidate, Elapsed: c.Elapsed})
	holder.Run(ctx, func(ctx context.Context, term *lease.Term) { newTenure(c, term).run(ctx) })
}

// candidate reports whether this host campaigns for the lease.
func (c *Coordinator) candidate() bool {
	if len(c.orders()) == 0 {
		return false
	}
	chosen := c.Members().Chosen(leaseName, candidates)
	return slices.ContainsFunc(chosen, func(m membership.Member) bool { return m.ID == c.Host })
}

// orders returns the undecided orders for services that the route table contains.
func (c *Coordinator) orders() []agent.Order {
	table := c.Table()
	if table == nil {
		return nil
	}
	return slices.DeleteFunc(c.Agent.Undecided(), func(o agent.Order) bool { return table.Pools[o.Pool] == nil })
}

// tenure is the work of one term of the coordinator.
type tenure struct {
	*Coordinator
	term *lease.Term

	mu    sync.Mutex
	seq   uint64
	pools map[string]*course
	peers map[string]*peer // by host name
	calls sync.WaitGroup
}

// peer is what the coordinator knows of one host.
type peer struct {
	calling bool   // whether a call is under way
	process string // of the last answer
	stamp   time.Duration
}

func newTenure(c *Coordinator, term *lease.Term) *tenure {
	return &tenure{Coordinator: c, term: term, pools: map[string]*course{}, peers: map[string]*peer{}}
}

// run decides and calls the hosts until ctx ends.
func (t *tenure) run(ctx context.Context) {
	defer t.calls.Wait()
	for ctx.Err() == nil {
		if list := t.Upstreams(); list != nil && t.term.Valid() {
			t.broadcast(ctx, t.decide(ctx, list))
		}
		wait.For(ctx, directiveInterval)
	}
}

// decide returns the directives for all undecided roll-outs and starts the calls to the store that they need.
func (t *tenure) decide(ctx context.Context, list *hosts.Snapshot) []agent.Directive {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []agent.Directive
	for _, o := range t.orders() {
		c := t.pools[o.Pool]
		if c == nil {
			c = &course{tenure: t, pool: o.Pool, began: t.Elapsed(), processes: map[string]rollout.HostReport{}, sentAt: map[string]time.Duration{}}
			t.pools[o.Pool] = c
		}
		if d, ok := c.advance(o, list); ok {
			out = append(out, d)
		}
		if !c.storing && c.needsStore() {
			c.storing = true
			t.calls.Go(func() { c.store(ctx) })
		}
	}
	return out
}

// broadcast sends directives to all listed hosts. A host whose last call is still under way is left out.
func (t *tenure) broadcast(ctx context.Context, directives []agent.Directive) {
	if len(directives) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	members := t.Members().Members
	if !slices.ContainsFunc(members, func(m membership.Member) bool { return m.ID == t.Host }) {
		members = append(slices.Clone(members), membership.Member{ID: t.Host})
	}
	for _, m := range members {
		p := t.peers[m.ID]
		if p == nil {
			p = &peer{}
			t.peers[m.ID] = p
		}
		if p.calling {
			continue
		}
		p.calling = true
		t.seq++
		message := agent.Directives{Fence: t.term.Fence, Seq: t.seq, Process: p.process, Stamp: p.stamp, Pools: directives}
		t.calls.Go(func() { t.call(ctx, m, message) })
	}
}

// call sends directives to one host and takes its answer.
func (t *tenure) call(ctx context.Context, m membership.Member, message agent.Directives) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := t.Elapsed()
	var answer agent.Answer
	var err error
	if m.ID == t.Host {
		answer, err = t.Agent.Handle(ctx, message)
	} else {
		err = t.Transport.Call(ctx, m.InnerAddress, inner.KindRolloutDirective, message, &answer)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.ID]
	p.calling = false
	if err != nil {
		Directives.Inc("failed")
		events.RolloutUnreachable.Log(t.Logger, "host", m.ID, "fence", message.Fence, "error", err)
		return
	}
	Directives.Inc("answered")
	p.process, p.stamp = answer.Process, answer.Stamp
	for _, r := range answer.Reports {
		if c := t.pools[r.Pool]; c != nil {
			r.Report.Host, r.Report.Process = m.ID, answer.Process
			c.take(r.Report, sent)
		}
	}
}
