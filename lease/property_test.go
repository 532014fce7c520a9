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
	orderTime   = 100 * time.Millisecond // from the check to the engine
	callTime    = 200 * time.Millisecond // of the key-value service
)

// gate holds up all that a paused host does.
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

// gatedStore is a store as a host that can be paused sees it.
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

// gatedEngine is an engine as a host that can be paused reaches it: an order
// that it had begun to send is held up and leaves when it wakes.
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

// leaders are what the hosts share.
type leaders struct {
	mu       sync.Mutex
	terms    map[string]*lease.Term
	fences   []uint64
	wanted   control.Wanted
	checked  *enginesim.Engine // checks fencing numbers
	heedless *enginesim.Engine
	fault    string
}

// Wanted implements control.Source.
func (l *leaders) Wanted() map[string]control.Wanted {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]control.Wanted{"checked": l.wanted, "heedless": l.wanted}
}

// engines finds the engines for one host.
type engines struct {
	leaders *leaders
	gate    *gate
}

// Engine implements control.Engines.
func (e engines) Engine(id string) (upstream.Engine, bool) {
	if id == "checked" {
		return gatedEngine{engine: e.leaders.checked, gate: e.gate}, true
	}
	return gatedEngine{engine: e.leaders.heedless, gate: e.gate}, true
}

// sample notes a fault when two hosts hold the duty at once.
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
		l.fault = fmt.Sprintf("%d hosts hold the duty at once", holders)
	}
}

func (l *leaders) lead(name string, r *control.Reconciler) func(context.Context, *lease.Term) {
	return func(ctx context.Context, term *lease.Term) {
		l.mu.Lock()
		l.terms[name] = term
		if n := len(l.fences); n > 0 && term.Fence <= l.fences[n-1] {
			l.fault = fmt.Sprintf("fence %d after %d", term.Fence, l.fences[n-1])
		}
		l.fences = append(l.fences, term.Fence)
		l.mu.Unlock()
		r.Lead(ctx, term)
	}
}

// TestOneLeaderAtATime drives leaders through pauses, outages, lost answers
// and late writes. No two hold the duty at once, fencing numbers grow, and both
// kinds of engine end up in the wanted state.
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
	l := &leaders{
		terms: map[string]*lease.Term{}, checked: enginesim.New(enginesim.Options{}),
		heedless: enginesim.New(enginesim.Options{IgnoreFence: true}),
	}
	ctx, stop := context.WithCancel(context.Background())
	gates := make([]*gate, testHosts)
	var running sync.WaitGroup
	for n := range gates {
		gates[n] = &gate{}
		name := fmt.Sprintf("h%d", n)
		client := kv.NewClient(gatedStore{store, gates[n]}, kv.Options{})
		holder := lease.New(client, "engines", name, hclog.NewNullLogger(), lease.Options{TTL: testTTL})
		reconciler := control.New(l, engines{l, gates[n]}, hclog.NewNullLogger(), 200*time.Millisecond)
		running.Go(func() { holder.Run(ctx, l.lead(name, reconciler)) })
	}
	for step := range testSteps {
		disturb(random, store, gates)
		l.mu.Lock()
		l.wanted = control.Wanted{Role: "decode", Model: fmt.Sprintf("m%d", step)}
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
	fault := l.verdict()
	stop()
	running.Wait()
	return fault
}

func disturb(random *rand.Rand, store *kvmem.Store, gates []*gate) {
	share := func() float64 { return random.Float64() / 2 }
	switch g := gates[random.IntN(len(gates))]; random.IntN(6) {
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
			DelayBy: time.Duration(random.IntN(8000)) * time.Millisecond,
		})
	}
}

// verdict returns the first fault, or nothing.
func (l *leaders) verdict() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	checked, heedless := l.checked.Orders(), l.heedless.Orders()
	switch {
	case l.fault != "":
		return l.fault
	case checked.Older > 0:
		return fmt.Sprintf("a checking engine took %d old orders", checked.Older)
	case checked.Serving.Model != l.wanted.Model:
		return fmt.Sprintf("the checking engine serves %q, wanted %q, fences %v", checked.Serving.Model, l.wanted.Model, l.fences)
	case heedless.Serving.Model != l.wanted.Model:
		return fmt.Sprintf("the heedless engine serves %q, wanted %q, fences %v", heedless.Serving.Model, l.wanted.Model, l.fences)
	}
	return ""
}
