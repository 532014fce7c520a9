package cardamompier

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/guard"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/replica"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/rollout/agent"
	"github.com/cardamompier/cardamompier/rollout/coordinator"
	"github.com/cardamompier/cardamompier/routes"
)

const (
	// contactSpan is the time for which a host may be cut off from the store without being excused from the bounds
	// of roll-outs.
	contactSpan = 4 * time.Second
	// holdMargin is added to contactSpan for a host that reads an order as soon as it has contact again.
	holdMargin = 500 * time.Millisecond
	// holdRoutesFactor multiplies the time in which a change of the routes is in force on every host.
	holdRoutesFactor = 1.5
)

// rollouts are the parts of an entry host that roll out upstream versions. A nil pointer stands for a deployment
// without roll-outs.
type rollouts struct {
	server      *ForwardServer
	agent       *agent.Agent
	coordinator *coordinator.Coordinator
	applied     atomic.Bool           // whether orders were taken over from a view of the store
	read        map[string]kv.Version // newest version of each order that was read; used by applyOrders only
	unserved    map[string]uint64     // revision of the logged order by unknown service; used by applyOrders only
}

// newRollouts creates the parts for roll-outs; it returns nil if the settings have no bounds for them.
func (f *ForwardServer) newRollouts() *rollouts {
	s := f.settings.Rollout
	bounds := rollout.Bounds{Share: s.Share, Slack: s.Slack, Rollback: milliseconds(s.RollbackMS)}
	if !bounds.Enabled() {
		return nil
	}
	r := &rollouts{server: f, read: map[string]kv.Version{}, unserved: map[string]uint64{}}
	r.agent = agent.New(agent.Config{
		Host: f.settings.HostID, Bounds: bounds, HoldBack: max(milliseconds(holdRoutesFactor*f.settings.RoutesMS), contactSpan+holdMargin),
		Store: f.store, Upstreams: f.upstreams.Load,
		Withdraw: func(pool string, old func(hosts.Host) bool) int { return f.forwarder.WithdrawStreams(pool, old) },
		Now:      f.clock.Now, Elapsed: clock.SinceBoot, Logger: f.logger.Named("rollout"),
	})
	r.agent.Serve(f.innerServer)
	r.coordinator = coordinator.New(coordinator.Config{
		Host: f.settings.HostID, Bounds: bounds, Agent: r.agent, Store: f.store, Transport: f.peers, Members: f.hosts,
		Table: f.table.Load, Upstreams: f.upstreams.Load, Status: rolloutStatus,
		Now: f.clock.Now, Elapsed: clock.SinceBoot, Logger: f.logger.Named("rollout"),
	})
	return r
}

// rolloutStatus returns the key and the value of the status of a roll-out.
func rolloutStatus(r rollout.Record) (key string, value []byte, err error) {
	value, err = platform.EncodeRolloutStatus(platform.RolloutStatusOf(r))
	return platform.RolloutStatusKey(r.Pool), value, err
}

// versions returns what restricts the forwarder; nil without roll-outs.
func (r *rollouts) versions() forward.Versions {
	if r == nil {
		return nil
	}
	return r.agent
}

// run runs the parts until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	if r == nil {
		return
	}
	shownRollouts.Store(r, nil)
	defer shownRollouts.Delete(r)
	var running sync.WaitGroup
	running.Go(func() { guard.Run(ctx, r.server.logger, "rollout coordinator", r.coordinator.Run) })
	r.agent.Run(ctx)
	running.Wait()
}

// applyOrders takes over the operators' orders from a view of the store. A malformed order changes nothing.
func (r *rollouts) applyOrders(view *replica.View, table func() *routes.Table) {
	if r == nil {
		return
	}
	var orders []rollout.Order
	for key, entry := range view.Entries {
		if !strings.HasPrefix(key, platform.RolloutPrefix) {
			continue
		}
		order, err := platform.DecodeRollout(key, entry.Value)
		if err != nil {
			if r.read[key] != entry.Version {
				events.RolloutInvalid.Log(r.server.logger, "source", "order", "revision", uint64(entry.Version), "error", err)
			}
			r.read[key] = entry.Version
			continue
		}
		r.read[key] = entry.Version
		order.Revision = uint64(entry.Version)
		orders = append(orders, order)
		if t := table(); t != nil && t.Pools[order.Pool] == nil && r.unserved[order.Pool] != order.Revision {
			r.unserved[order.Pool] = order.Revision
			events.RolloutUnserved.Log(r.server.logger, "pool", order.Pool, "target", order.Target, "revision", order.Revision)
		}
	}
	r.agent.ApplyOrders(orders)
	r.applied.Store(true)
}

// settled reports whether this host knows enough of the roll-outs with which it has started to serve requests.
func (r *rollouts) settled() bool { return r == nil || r.applied.Load() && r.agent.Settled() }

// rolloutRuns reports whether a roll-out of a pool is undecided.
func (f *ForwardServer) rolloutRuns(pool string) bool {
	return f.rollouts != nil && f.rollouts.agent.Running(pool)
}

// shownRollouts holds the running *rollouts of all servers of this process, for the metrics endpoint.
var shownRollouts sync.Map

// rolloutsVar is the name under which the metrics endpoint shows the roll-outs.
const rolloutsVar = "rollouts"

// init shows the roll-outs of all servers of this process at the metrics endpoint. Names of package expvar are
// global, so that they must be published once only.
func init() {
	expvar.Publish(rolloutsVar, expvar.Func(func() any {
		out := []agent.Status{}
		shownRollouts.Range(func(key, _ any) bool {
			out = append(out, key.(*rollouts).agent.Status()...)
			return true
		})
		slices.SortFunc(out, func(x, y agent.Status) int {
			return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Pool, y.Pool))
		})
		return out
	}))
}
