package replica

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
)

var (
	fleetSeeds = flag.Uint64("fleet.seeds", 2, "how many seeds of TestChangesReachHostsInTouch are played, from fleet.first on, beside those that ever failed")
	fleetFirst = flag.Uint64("fleet.first", 14, "the first seed")
)

// failedFleetSeeds lists the seeds that have failed before.
var failedFleetSeeds = []uint64{
	135, // hosts with a copy of the greatest allowed age waited for peers that were gone
}

const (
	// fleetHosts is a number of hosts with relays between the readers and the others.
	fleetHosts = 130
	// routesWatchTimeout equals the timeout of a watch on the routes' keys in production.
	routesWatchTimeout = 1600 * time.Millisecond
	// applyBound is the time within which a change must reach every host that was without a fault for
	// contactSpan before it.
	applyBound, contactSpan = 4 * time.Second, 5 * time.Second
	// faultySpan is how long faults are induced, and maxFaultSpan how long one lasts at most.
	faultySpan, maxFaultSpan = 45 * time.Second, 7 * time.Second
	// maxViewDelay is the longest time until a host knows that another one has joined or left.
	maxViewDelay  = 3 * time.Second
	configKey     = "op/config"
	messageDelay  = 4 * time.Millisecond
	storeDelay    = 5 * time.Millisecond
	drainSpan     = 2 * time.Second
	meanFaultGap  = 200 * time.Millisecond
	meanChangeGap = 3 * time.Second
)

// fleet is a set of hosts that copy one key from a store and from each other.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	network *innermem.Network
	store   *kvmem.Store
	hosts   []*fleetHost
	copied  fleetCopy

	version kv.Version // newest version of the key

	mu     sync.Mutex
	left   map[string]bool // hosts that are not members
	delays *rand.Rand      // of changes of membership
}

// fleetCopy is what the hosts of a fleet copy, and from where.
type fleetCopy struct {
	prefix       string
	watchTimeout time.Duration
	// store returns the store as one host reaches it.
	store func(*fleetHost) kv.Store
	// installed is called with each copy that a host installs.
	installed func(*fleetHost, *View)
	retain    func(held, next kv.Entry) bool // may be nil
}

// fleetHost is one host of a fleet.
type fleetHost struct {
	f       *fleet
	id      string
	view    atomic.Pointer[membership.View]
	stop    context.CancelFunc
	faulty  atomic.Bool
	faultAt atomic.Int64  // end of the last fault, in Unix nanoseconds
	cutOff  atomic.Int64  // until when the store does not answer, in Unix nanoseconds
	newest  atomic.Uint64 // newest version that was installed
	replica atomic.Pointer[Replica]
}

// String returns the host's place in the tree and the state of its copy, for messages about late changes.
func (h *fleetHost) String() string {
	r := h.replica.Load()
	view := r.Current()
	if view == nil {
		return h.id + " (no copy)"
	}
	return fmt.Sprintf("%s (depth %d, revision %d by %s, confirmed %v ago)", h.id, r.peers.Depth(), view.Revision, view.Source, time.Since(view.ReadAt))
}

// fleetPeers are the peers of a host on the in-memory network.
type fleetPeers struct {
	host   *fleetHost
	client *innermem.Client
}

func (p fleetPeers) position() TreePosition { return TreePositionOf(p.host.id, p.host.view.Load()) }

// Depth implements Peers.
func (p fleetPeers) Depth() int { return p.position().Depth }

// Newer implements Peers as InnerPeers does.
func (p fleetPeers) Newer(ctx context.Context, peerIndex int, prefix string, after kv.Version, wait time.Duration) (*Change, error) {
	sources := p.position().Sources
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	var change Change
	request := readRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()}
	err := p.client.Call(ctx, sources[peerIndex%len(sources)].InnerAddress, inner.KindReplicaRead, request, &change)
	if err != nil {
		return nil, err
	}
	return &change, unpack(&change)
}

// cutStore is the store as one host reaches it.
type cutStore struct {
	kv.Store
	host *fleetHost
}

// answer waits until the store's answer has reached the host.
func (s cutStore) answer(ctx context.Context) error {
	s.host.f.network.AwaitResume(s.host.id)
	if time.Now().UnixNano() < s.host.cutOff.Load() {
		<-ctx.Done()
		return &kv.Error{Reason: kv.ReasonUnknown}
	}
	time.Sleep(storeDelay)
	return nil
}

// List implements kv.Store.
func (s cutStore) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Version, error) {
	if err := s.answer(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Watch implements kv.Store.
func (s cutStore) Watch(ctx context.Context, prefix string, after kv.Version) ([]kv.Event, kv.Version, error) {
	if err := s.answer(ctx); err != nil {
		return nil, 0, err
	}
	held, cancel := context.WithTimeout(ctx, routesWatchTimeout-100*time.Millisecond)
	defer cancel()
	events, revision, err := s.Store.Watch(held, prefix, after)
	if held.Err() != nil && ctx.Err() == nil {
		events, revision, err = nil, after, nil // nothing has changed
	}
	if lost := s.answer(ctx); lost != nil {
		return nil, 0, lost
	}
	return events, revision, err
}

// start starts the host's process.
func (h *fleetHost) start() {
	r := New(h.f.copied.store(h), h.f.copied.prefix, h.f.copied.watchTimeout, fleetPeers{h, h.f.network.Client(h.id)}, hclog.NewNullLogger())
	h.replica.Store(r)
	r.Retain(h.f.copied.retain)
	r.Subscribe(func(v *View) { h.f.copied.installed(h, v) })
	server := inner.NewServer()
	Serve(server, r)
	h.f.network.Serve(h.id, server)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go r.Run(ctx)
}

// fleetFaults are the faults of one host; each returns when it has ended.
var fleetFaults = []func(h *fleetHost, span time.Duration){
	func(h *fleetHost, span time.Duration) { // paused
		h.f.network.Pause(h.id)
		time.Sleep(span)
		h.f.network.Resume(h.id)
	},
	func(h *fleetHost, span time.Duration) { // cut off from the store
		h.cutOff.Store(time.Now().Add(span).UnixNano())
		time.Sleep(span)
	},
	func(h *fleetHost, span time.Duration) { // drained; it still answers peers for a while after its copy stands still
		h.f.setMember(h, false)
		time.Sleep(drainSpan)
		h.stop()
		time.Sleep(span / 4)
		h.f.network.Serve(h.id, nil)
		time.Sleep(span / 8)
		h.start()
		h.f.setMember(h, true)
	},
	func(h *fleetHost, span time.Duration) { // killed
		h.stop()
		h.f.network.Serve(h.id, nil)
		time.Sleep(span)
		h.start()
	},
}

// setMember changes whether the host is a member; each host learns it after a time of its own.
func (f *fleet) setMember(h *fleetHost, member bool) {
	f.mu.Lock()
	f.left[h.id] = !member
	view := &membership.View{Members: lo.FilterMap(f.hosts, func(h *fleetHost, _ int) (membership.Member, bool) {
		return membership.Member{ID: h.id, InnerAddress: h.id, Capacity: 1}, !f.left[h.id]
	})}
	delays := lo.Map(f.hosts, func(*fleetHost, int) time.Duration { return time.Duration(f.delays.Int64N(int64(maxViewDelay))) })
	f.mu.Unlock()
	for i, h := range f.hosts {
		time.AfterFunc(delays[i], func() { h.view.Store(view) })
	}
}

// induceFault begins a fault at a host, more often at a reader or relay than at another one.
func (f *fleet) induceFault() {
	candidates := f.hosts
	if f.random.IntN(3) > 0 {
		candidates = lo.Filter(f.hosts, func(h *fleetHost, _ int) bool { return fleetPeers{host: h}.Depth() < 2 })
	}
	h := candidates[f.random.IntN(len(candidates))]
	fault := fleetFaults[f.random.IntN(len(fleetFaults))]
	span := time.Duration(f.random.Int64N(int64(maxFaultSpan)))
	if h.faulty.Swap(true) {
		return
	}
	go func() {
		fault(h, span)
		h.faultAt.Store(time.Now().UnixNano())
		h.faulty.Store(false)
	}()
}

// publish changes the key, and checks applyBound later that every host in touch has the change.
func (f *fleet) publish() {
	version, err := f.store.CompareAndSwap(context.Background(), kv.Write{Key: configKey, Value: []byte("value"), Expect: f.version})
	if err != nil {
		f.t.Error(err)
		return
	}
	f.version = version
	now := time.Now()
	inTouch := f.inTouch(now)
	time.AfterFunc(applyBound, func() {
		for _, h := range inTouch {
			if h.undisturbed(now) && kv.Version(h.newest.Load()) < version {
				f.t.Errorf("%s does not have version %d %v after it was published", h.id, version, applyBound)
			}
		}
	})
}

// TestChangesReachHostsInTouch guards against copies that stand still while readers, relays and other hosts are
// paused, cut off from the store, drained or killed one after the other: a change must reach every other
// host in time.
func TestChangesReachHostsInTouch(t *testing.T) {
	seeds := failedFleetSeeds
	for seed := *fleetFirst; seed < *fleetFirst+*fleetSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playFleet(t, seed) })
		})
	}
}

func playFleet(t *testing.T, seed uint64) {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), delays: rand.New(rand.NewPCG(seed, 1)),
		network: innermem.New(seed), store: kvmem.New(), left: map[string]bool{},
	}
	f.copied = fleetCopy{
		prefix: "op/", watchTimeout: routesWatchTimeout,
		store: func(h *fleetHost) kv.Store { return cutStore{f.store, h} },
		installed: func(h *fleetHost, v *View) {
			h.newest.Store(max(h.newest.Load(), uint64(v.Entries[configKey].Version)))
		},
	}
	f.publish()
	f.startHosts(fleetHosts)
	var nextFault, nextChange time.Time
	for began := time.Now(); time.Since(began) < faultySpan; time.Sleep(10 * time.Millisecond) {
		if now := time.Now(); now.After(nextFault) {
			f.induceFault()
			nextFault = now.Add(time.Duration(f.random.Int64N(int64(2 * meanFaultGap))))
		}
		if now := time.Now(); now.After(nextChange) {
			f.publish()
			nextChange = now.Add(time.Duration(f.random.Int64N(int64(2 * meanChangeGap))))
		}
	}
	time.Sleep(2*maxFaultSpan + drainSpan + applyBound)
	f.stopHosts()
}

// startHosts starts a number of hosts and waits until they count as without a fault.
func (f *fleet) startHosts(count int) {
	f.network.SetDelay(messageDelay)
	for i := range count {
		f.hosts = append(f.hosts, &fleetHost{f: f, id: fmt.Sprintf("h%d", i)})
	}
	view := &membership.View{Members: lo.Map(f.hosts, func(h *fleetHost, _ int) membership.Member {
		return membership.Member{ID: h.id, InnerAddress: h.id, Capacity: 1}
	})}
	for _, h := range f.hosts {
		h.faultAt.Store(time.Now().UnixNano())
		h.view.Store(view)
		h.start()
	}
	time.Sleep(contactSpan)
}

// stopHosts stops all hosts and waits until the calls that are under way have ended.
func (f *fleet) stopHosts() {
	for _, h := range f.hosts {
		h.stop()
	}
	time.Sleep(time.Minute)
}

// inTouch returns the hosts that have been without a fault for contactSpan.
func (f *fleet) inTouch(now time.Time) []*fleetHost {
	return lo.Filter(f.hosts, func(h *fleetHost, _ int) bool {
		return !h.faulty.Load() && now.UnixNano()-h.faultAt.Load() > int64(contactSpan)
	})
}

// undisturbed reports whether the host has had no fault since a time.
func (h *fleetHost) undisturbed(since time.Time) bool {
	return !h.faulty.Load() && h.faultAt.Load() < since.UnixNano()
}
