package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/control"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/standin/enginesim"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	testTTL     = 3 * time.Second
	testHosts   = 3
	testSteps   = 40
	samplePause = 50 * time.Millisecond
	orderTime   = 100 * time.Millisecond // delay of an order between the lease check and the engine
	callTime    = 200 * time.Millisecond // latency of a call to the key-value service
	// maxClockDrift is the largest share by which a host's clock runs faster or slower than true time.
	maxClockDrift = 0.02
)

// gate blocks the calls of one host while that host is paused.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) set(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused && g.closed == nil {
		g.closed = make(chan struct{})
	}
	if !paused && g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// gatedStore is a key-value store whose calls block while the calling host is paused.
type gatedStore struct {
	kv.Store
	gate *gate
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.gate.wait()
	defer s.gate.wait()
	return s.Store.Get(ctx, key)
}

func (s gatedStore) CompareAndSwap(ctx context.Context, w kv.Write) (kv.Version, error) {
	s.gate.wait()
	defer s.gate.wait()
	return s.Store.CompareAndSwap(ctx, w)
}

// gatedEngine is an engine whose calls block while the calling host is paused. An order that the
// host was sending when it was paused is delivered when the host resumes.
type gatedEngine struct {
	upstream.Engine
	engine *enginesim.Engine
	gate   *gate
}

func (e gatedEngine) Load(context.Context) (upstream.LoadReport, error) {
	e.gate.wait()
	defer e.gate.wait()
	return upstream.LoadReport{Serving: e.engine.Orders().Serving}, nil
}

func (e gatedEngine) Order(_ context.Context, order upstream.Order) error {
	time.Sleep(orderTime)
	e.gate.wait()
	if reason := e.engine.Order(order); reason != "" {
		return &upstream.Error{Op: "order", Reason: reason}
	}
	return nil
}

// leaders is the state that all hosts of the test share.
type leaders struct {
	mu       sync.Mutex
	terms    map[string]*lease.Term
	fences   []uint64
	wanted   control.WantedState
	checked  *enginesim.Engine // rejects orders with an old fencing number
	unfenced *enginesim.Engine // accepts orders with any fencing number
	fault    string
}

// Wanted returns the same wanted state for both engines. It implements control.WantedStateSource.
func (l *leaders) Wanted() map[string]control.WantedState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]control.WantedState{"checked": l.wanted, "unfenced": l.wanted}
}

// engines returns the test's engines as one host reaches them, behind the gate of that host.
type engines struct {
	leaders *leaders
	gate    *gate
}

// Engine returns the engine with the given id. It implements control.Engines.
func (e engines) Engine(id string) (upstream.Engine, bool) {
	if id == "checked" {
		return gatedEngine{engine: e.leaders.checked, gate: e.gate}, true
	}
	return gatedEngine{engine: e.leaders.unfenced, gate: e.gate}, true
}

// sample records a fault when two hosts hold the lease at once.
func (l *leaders) sample() {
	l.mu.Lock()
	defer l.mu.Unlock()
	holders := 0
	for _, term := range l.terms {
		if term.Valid() {
			holders++
		}
	}
	if holders > 1 {
		l.fault = fmt.Sprintf("%d hosts hold the lease at once, want at most 1", holders)
	}
}

func (l *leaders) lead(name string, r *control.Reconciler) func(context.Context, *lease.Term) {
	return func(ctx context.Context, term *lease.Term) {
		l.mu.Lock()
		l.terms[name] = term
		if n := len(l.fences); n > 0 && term.Fence <= l.fences[n-1] {
			l.fault = fmt.Sprintf("term began with fencing number %d after one with %d, want a greater number",
				term.Fence, l.fences[n-1])
		}
		l.fences = append(l.fences, term.Fence)
		l.mu.Unlock()
		r.Lead(ctx, term)
	}
}

// TestOneLeaderAtATime runs three hosts that compete for one lease through random pauses, suspensions, store outages,
// lost answers, delayed writes and returns of the store from older copies, with clocks that run at different rates. It
// checks that no two hosts hold the lease at once, that fencing numbers grow, and that engines with and without a
// fencing check reach the wanted state.
func TestOneLeaderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = runLeaders(seed) })
		if fault != "" {
			rt.Fatalf("seed %d: %s", seed, fault)
		}
	})
}

func runLeaders(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 2))
	store := kvmem.New()
	store.SetFaults(kvmem.Faults{Latency: callTime})
	var taken []*kvmem.Copy
	l := &leaders{
		terms: map[string]*lease.Term{}, checked: enginesim.New(enginesim.Options{}),
		unfenced: enginesim.New(enginesim.Options{IgnoreFence: true}),
	}
	ctx, stop := context.WithCancel(context.Background())
	gates, clocks := make([]*gate, testHosts), make([]*clocktest.Clock, testHosts)
	var running sync.WaitGroup
	for n := range gates {
		gates[n], clocks[n] = &gate{}, clocktest.New(1+maxClockDrift*(2*random.Float64()-1))
		name := fmt.Sprintf("h%d", n)
		client := kv.NewClient(gatedStore{store, gates[n]}, kv.Options{})
		holder := lease.New(client, "engines", name, hclog.NewNullLogger(), lease.Options{TTL: testTTL, Elapsed: clocks[n].Elapsed})
		reconciler := control.New(l, engines{l, gates[n]}, hclog.NewNullLogger(), 200*time.Millisecond)
		running.Go(func() { holder.Run(ctx, l.lead(name, reconciler)) })
	}
	for step := range testSteps {
		taken = append(taken, store.Copy())
		injectFault(random, store, gates, clocks, taken)
		l.mu.Lock()
		l.wanted = control.WantedState{Role: "decode", Model: fmt.Sprintf("m%d", step)}
		l.mu.Unlock()
		for end := time.Now().Add(time.Duration(random.IntN(3000)) * time.Millisecond); time.Now().Before(end); time.Sleep(samplePause) {
			l.sample()
		}
	}
	store.SetFaults(kvmem.Faults{})
	for _, g := range gates {
		g.set(false)
	}
	time.Sleep(10 * testTTL)
	l.sample()
	fault := l.firstFault()
	stop()
	running.Wait()
	return fault
}

func injectFault(random *rand.Rand, store *kvmem.Store, gates []*gate, clocks []*clocktest.Clock, copies []*kvmem.Copy) {
	share := func() float64 { return random.Float64() / 2 }
	switch g := gates[random.IntN(len(gates))]; random.IntN(9) {
	case 0, 1:
		g.set(true)
	case 2:
		g.set(false)
	case 3:
		store.SetFaults(kvmem.Faults{Outage: true, Latency: callTime})
	case 4:
		store.SetFaults(kvmem.Faults{Latency: callTime})
	case 5:
		store.SetFaults(kvmem.Faults{
			LoseAnswers: share(), DelayWrites: share(), StaleReads: share() / 2, Seed: random.Uint64(),
			Latency: callTime,
			DelayBy: time.Duration(random.IntN(8000)) * time.Millisecond, IgnoreEras: random.IntN(2) == 0,
		})
	case 6:
		// Time passes that no host's timers count. A host that was suspended alone looks the same to itself,
		// and the others may begin a term afterwards.
		d := time.Duration(random.IntN(3*int(testTTL/time.Millisecond))) * time.Millisecond
		for _, c := range clocks {
			c.Suspend(d)
		}
	case 7, 8:
		store.Restore(copies[max(0, len(copies)-1-random.IntN(4))])
	}
}

// firstFault returns a description of the first fault found, or an empty string.
func (l *leaders) firstFault() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	checked, unfenced := l.checked.Orders(), l.unfenced.Orders()
	switch {
	case l.fault != "":
		return l.fault
	case checked.Older > 0:
		return fmt.Sprintf("engine that checks fencing numbers accepted %d orders with an old one", checked.Older)
	case checked.Serving.Model != l.wanted.Model:
		return fmt.Sprintf("engine that checks fencing numbers serves model %q, want %q; fencing numbers of the terms: %v",
			checked.Serving.Model, l.wanted.Model, l.fences)
	case unfenced.Serving.Model != l.wanted.Model:
		return fmt.Sprintf("engine that ignores fencing numbers serves model %q, want %q; fencing numbers of the terms: %v",
			unfenced.Serving.Model, l.wanted.Model, l.fences)
	}
	return ""
}
