package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/rollout"
	"github.com/cardamompier/cardamompier/rollout/agent"
	"github.com/cardamompier/cardamompier/routes"
)

const statusKey = "status/p"

// fleet is a set of hosts without listeners that share a store.
type fleet struct {
	store   *kvmem.Store
	network *innermem.Network
	view    *membership.View
	list    atomic.Pointer[hosts.Snapshot]
	table   atomic.Pointer[routes.Table]
	hosts   []*fleetHost
}

type fleetHost struct {
	name  string
	agent *agent.Agent
	stop  context.CancelFunc
	ended sync.WaitGroup
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{store: kvmem.New(), network: innermem.New(1), view: &membership.View{}}
	f.network.SetDelay(2 * time.Millisecond)
	f.setPools("p")
	f.listVersions("v1", "v2")
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		f.view.Members = append(f.view.Members, membership.Member{ID: name, InnerAddress: name, Capacity: 1})
	}
	for _, m := range f.view.Members {
		h := &fleetHost{name: m.ID}
		f.start(h)
		f.hosts = append(f.hosts, h)
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			f.network.Resume(h.name)
			h.kill()
		}
	})
	return f
}

// setPools replaces the route table by one with the given pools.
func (f *fleet) setPools(names ...string) {
	c := routes.Contents{Version: 1}
	for _, name := range names {
		c.Pools = append(c.Pools, &routes.Pool{Name: name})
		c.Routes = append(c.Routes, &routes.Route{Name: name, Prefix: "/", Timeout: time.Second, Targets: []routes.Target{{Pool: name, Weight: 1}}})
	}
	f.table.Store(routes.New(c))
}

// listVersions replaces the list by 4 upstreams of each version.
func (f *fleet) listVersions(versions ...string) {
	var list []hosts.Host
	for v, version := range versions {
		for i := range 4 {
			list = append(list, hosts.Host{ID: fmt.Sprintf("%s-%d", version, i), Pool: "p", State: hosts.StateLive, Slots: 4, Version: version, StartedMS: int64(1 + v)})
		}
	}
	f.list.Store(hosts.NewSnapshot(list, time.Now()))
}

// start starts a process of the host.
func (f *fleet) start(h *fleetHost) {
	bounds := rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
	logger, elapsed := hclog.NewNullLogger(), clock.SinceBoot
	h.agent = agent.New(agent.Config{
		Host: h.name, Bounds: bounds, HoldBack: 4500 * time.Millisecond, Store: f.store, Upstreams: f.list.Load,
		Withdraw: func(string, func(hosts.Host) bool) int { return 0 }, Now: time.Now, Elapsed: elapsed, Logger: logger,
	})
	server := inner.NewServer()
	h.agent.Serve(server)
	f.network.Serve(h.name, server)
	c := New(Config{
		Host: h.name, Bounds: bounds, Agent: h.agent, Store: f.store, Transport: f.network.Client(h.name),
		Members: func() *membership.View { return f.view }, Table: f.table.Load, Upstreams: f.list.Load,
		Status: func(r rollout.Record) (string, []byte, error) {
			value, err := json.Marshal(map[string]any{"phase": r.Phase, "target": r.Target, "revision": r.Revision})
			return "status/" + r.Pool, value, err
		},
		Now: time.Now, Elapsed: elapsed, Logger: logger,
	})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.ended.Go(func() { h.agent.Run(ctx) })
	h.ended.Go(func() { c.Run(ctx) })
	h.ended.Go(func() { h.sendRequests(ctx, f) })
}

// kill ends the process of the host.
func (h *fleetHost) kill() {
	h.stop()
	h.ended.Wait()
}

// sendRequests sends requests until ctx ends. All are answered at once.
func (h *fleetHost) sendRequests(ctx context.Context, f *fleet) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(5 * time.Millisecond)
		list := f.list.Load()
		first, _ := h.agent.Choose("p", list)
		pool := list.Pool("p")
		for k := range pool {
			if u := pool[(i+k)%len(pool)]; first == nil || first(u.ID) {
				if use, ok := h.agent.Send(u, "r", false); ok {
					use.Record(false, 5*time.Millisecond)
					use.End()
				}
				break
			}
		}
	}
}

// order gives the hosts with the given indexes an order; all hosts if there are none.
func (f *fleet) order(target string, duration time.Duration, revision uint64, to ...int) {
	if len(to) == 0 {
		for i := range f.hosts {
			to = append(to, i)
		}
	}
	for _, i := range to {
		f.hosts[i].agent.ApplyOrders([]rollout.Order{{Pool: "p", Target: target, Duration: duration, Revision: revision}})
	}
}

// phase returns the phase and the revision of the written status.
func (f *fleet) phase() (phase string, revision uint64) {
	var status struct {
		Phase    string
		Revision uint64
	}
	if e, err := f.store.Get(context.Background(), statusKey); err == nil {
		_ = json.Unmarshal(e.Value, &status)
	}
	return status.Phase, status.Revision
}

// await waits until the status of a revision shows a phase.
func (f *fleet) await(t *testing.T, limit time.Duration, revision uint64, want rollout.Phase) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if phase, r := f.phase(); phase == string(want) && r == revision {
			return
		}
	}
	phase, r := f.phase()
	t.Fatalf("the status is %q of revision %d after %v, want %s of %d", phase, r, limit, want, revision)
}

// leader returns the index of the host that holds the lease.
func (f *fleet) leader(t *testing.T) int {
	t.Helper()
	e, err := f.store.Get(context.Background(), agent.RecordPrefix+"p")
	if err != nil {
		t.Fatal(err)
	}
	r, err := agent.DecodeRecord(e.Key, e.Value)
	if err != nil {
		t.Fatal(err)
	}
	for i, h := range f.hosts {
		if h.name == r.Writer {
			return i
		}
	}
	t.Fatalf("unknown writer %s", r.Writer)
	return 0
}

// TestGoodTargetCompletes guards against a roll-out that does not end, and against a host that hears of the order by
// the directives only.
func TestGoodTargetCompletes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.order("v2", 6*time.Second, 5, 0, 1, 2) // the last host has not received the order
	f.await(t, 4*time.Second, 5, rollout.PhaseCanary)
	f.await(t, 8*time.Second, 5, rollout.PhaseComplete)
	for _, h := range f.hosts {
		if s := h.agent.Status(); len(s) != 1 || s[0].AtOld != 0 {
			t.Errorf("%s shows %+v", h.name, s)
		}
	}
}

// TestCoordinatorKilled guards against a roll-out that ends with its coordinator.
func TestCoordinatorKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.order("v2", 10*time.Second, 5)
	f.await(t, 4*time.Second, 5, rollout.PhaseCanary)
	f.hosts[f.leader(t)].kill()
	f.await(t, 14*time.Second, 5, rollout.PhaseComplete)
}

// TestCoordinatorSuspended guards against two coordinators: one that was suspended must not change what its successor
// has written, nor may hosts obey it.
func TestCoordinatorSuspended(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.order("v2", 10*time.Second, 5)
	f.await(t, 4*time.Second, 5, rollout.PhaseCanary)
	first := f.hosts[f.leader(t)].name
	f.network.Pause(first)
	time.Sleep(5 * time.Second)
	f.network.Resume(first)
	f.await(t, 9*time.Second, 5, rollout.PhaseComplete)
	for range 50 {
		if phase, _ := f.phase(); phase != string(rollout.PhaseComplete) {
			t.Fatalf("the status is %s after complete", phase)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestOppositeOutcomes guards against two holders of the lease that write opposite outcomes. Both write from the same
// record, and one of them must fail.
func TestOppositeOutcomes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.hosts[0].kill()
	ctx := t.Context()
	base := agent.Record{Base: 5, Record: rollout.Record{
		Order: rollout.Order{Pool: "p", Target: "v2", Duration: 10 * time.Second, Revision: 5}, Phase: rollout.PhaseCanary, Old: []string{"v1"},
		Started: time.Now(), Since: time.Now(), Ended: rollout.Evidence{},
	}}
	value, err := agent.EncodeRecord(base)
	if err != nil {
		t.Fatal(err)
	}
	version, err := f.store.CompareAndSwap(ctx, kv.Write{Key: agent.RecordPrefix + "p", Value: value})
	if err != nil {
		t.Fatal(err)
	}
	promoted, rolledBack := base, base
	promoted.Phase, rolledBack.Phase = rollout.PhaseComplete, rollout.PhaseRolledBack
	applied := 0
	for i, next := range []agent.Record{promoted, rolledBack} {
		next.Writer, next.Nonce = fmt.Sprint(i), uint64(i+1)
		value, err := agent.EncodeRecord(next)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.CompareAndSwap(ctx, kv.Write{Key: agent.RecordPrefix + "p", Value: value, Expect: version}); err == nil {
			applied++
		}
	}
	if applied != 1 {
		t.Errorf("%d opposite outcomes were stored", applied)
	}
	// A coordinator that starts now finds the final record and derives the status from it.
	f.start(f.hosts[0])
	f.order("v2", 10*time.Second, 5)
	f.await(t, 6*time.Second, 5, rollout.PhaseComplete)
}

// TestStoreDown guards against a rollback that a store which is down causes, and against a roll-out that stands still
// afterwards.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.order("v2", 12*time.Second, 5)
	f.await(t, 4*time.Second, 5, rollout.PhaseCanary)
	f.store.SetFaults(kvmem.Faults{Outage: true})
	time.Sleep(3 * time.Second)
	f.store.SetFaults(kvmem.Faults{})
	f.await(t, 12*time.Second, 5, rollout.PhaseComplete)
}

// TestTargetInForceAlready guards against a roll-out that waits for its promotion although there is nothing to replace.
func TestTargetInForceAlready(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.listVersions("v2")
	f.order("v2", 60*time.Second, 5)
	f.await(t, 5*time.Second, 5, rollout.PhaseComplete)
}

// TestTargetThatNeverStarts guards against a promotion without upstreams.
func TestTargetThatNeverStarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.listVersions("v1")
	f.order("v2", 6*time.Second, 5)
	f.await(t, 8*time.Second, 5, rollout.PhaseRolledBack)
}

// TestUnknownService guards against a status for a service that no route table contains, and against an order that is
// forgotten when the service appears.
func TestUnknownService(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.setPools("other")
	f.order("v2", 6*time.Second, 5)
	time.Sleep(2 * time.Second)
	if phase, _ := f.phase(); phase != "" {
		t.Errorf("the status of an unknown service is %s", phase)
	}
	f.setPools("p")
	f.await(t, 5*time.Second, 5, rollout.PhaseCanary)
}

// TestChangedOrder guards against an order that is not carried out because another one ran, and against a roll-out
// after a rollback that takes the old outcome.
func TestChangedOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.listVersions("v1", "v2", "v3")
	f.order("v2", 60*time.Second, 5)
	f.await(t, 4*time.Second, 5, rollout.PhaseCanary)
	f.order("v3", 6*time.Second, 6)
	f.await(t, 3*time.Second, 6, rollout.PhaseCanary)
	f.await(t, 9*time.Second, 6, rollout.PhaseComplete)
	f.listVersions("v3")
	f.order("v4", 4*time.Second, 7)
	f.await(t, 8*time.Second, 7, rollout.PhaseRolledBack)
	f.listVersions("v3", "v4")
	f.order("v4", 6*time.Second, 8)
	f.await(t, 10*time.Second, 8, rollout.PhaseComplete)
}
