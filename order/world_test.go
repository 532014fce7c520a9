package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/membership"
)

// gate holds up all that a paused host does.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
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

// gatedStore is a store as a host that can be paused sees it: before a call
// leaves, and before its answer is seen.
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

func (s gatedStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.gate.wait()
	defer s.gate.wait()
	return s.Store.Grant(ctx, ttl)
}

func (s gatedStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	s.gate.wait()
	defer s.gate.wait()
	return s.Store.KeepAlive(ctx, id)
}

// testHost is one entry host.
type testHost struct {
	name   string
	gate   gate
	view   atomic.Pointer[membership.View]
	owner  *Partitioned
	ledger *Recorder
}

// View implements Members.
func (h *testHost) View() *membership.View { return h.view.Load() }

// execution and answer are what the history holds of a request. Moments count up.
type execution struct{ request, moment int }

type answer struct {
	request    int
	begin, end int
	kind       string // "ran", "done", "not_run", "unknown"
	body       string
}

type history struct {
	executions []execution
	answers    []answer
}

// world is a set of entry hosts, a service and a desk that counts executions.
type world struct {
	store  *kvmem.Store
	hosts  map[string]*testHost
	names  []string
	random *rand.Rand

	mu      sync.Mutex
	moment  int
	orders  map[ID]*history
	lossy   float64 // share of calls between hosts that fail
	created time.Time
}

func newWorld(seed uint64, hosts int, mode string) *world {
	w := &world{
		store: kvmem.New(), hosts: map[string]*testHost{}, orders: map[ID]*history{},
		random: rand.New(rand.NewPCG(seed, 1)), created: time.Now(),
	}
	for n := range hosts {
		h := &testHost{name: fmt.Sprintf("h%d", n)}
		store := kv.NewClient(gatedStore{w.store, &h.gate}, kv.Options{})
		options := Options{Partitions: 2, Interval: 5 * time.Millisecond}
		var ledger Ledger
		switch mode {
		case "direct":
			ledger = NewDirect(store, h.name)
		case "shared":
			shared := NewShared(store, h.name, options)
			sealEarly(shared.committers)
			ledger = shared
		default:
			h.owner = NewPartitioned(store, h.name, h, w, options)
			sealEarly(h.owner.committers)
			ledger = h.owner
		}
		h.ledger = NewRecorder(ledger, store, hclog.NewNullLogger())
		w.hosts[h.name], w.names = h, append(w.names, h.name)
	}
	for _, h := range w.hosts {
		w.show(h, w.names)
	}
	return w
}

// sealEarly makes segments of a few records.
func sealEarly(committers []*committer) {
	for _, c := range committers {
		c.log.sealSize = 600
	}
}

// show sets the members that a host believes in.
func (w *world) show(h *testHost, names []string) {
	view := &membership.View{}
	for _, name := range names {
		view.Members = append(view.Members, membership.Member{ID: name, InnerAddress: name})
	}
	h.view.Store(view)
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

// linkFails says that a message between hosts is lost.
func (w *world) linkFails() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < w.lossy
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// Call implements Peers between the hosts of the world.
func (w *world) Call(ctx context.Context, address string, kind inner.Kind, req, resp any) error {
	fail := func(reason inner.Reason) error { return &inner.Error{Peer: address, Kind: kind, Reason: reason} }
	if w.linkFails() {
		return fail(inner.ReasonConnect)
	}
	h := w.hosts[address]
	if release, ok := req.(releaseRequest); ok {
		h.gate.wait()
		_, err := h.owner.serveRelease(ctx, release)
		return err
	}
	type result struct {
		answer verdict
		err    error
	}
	answers := make(chan result, 1)
	go func() {
		h.gate.wait()
		got, err := h.owner.serve(context.WithoutCancel(ctx), req.(operation))
		h.gate.wait()
		answers <- result{got, err}
	}()
	select {
	case r := <-answers:
		var failure *inner.Failure
		if errors.As(r.err, &failure) {
			return &inner.Error{Peer: address, Kind: kind, Reason: inner.ReasonHandler, Code: failure.Code}
		}
		if w.linkFails() {
			return fail(inner.ReasonBroken)
		}
		*resp.(*verdict) = r.answer
		return nil
	case <-ctx.Done():
		return fail(inner.ReasonTimeout)
	}
}

func (w *world) tick() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moment++
	return w.moment
}

func (w *world) of(id ID) *history {
	if w.orders[id] == nil {
		w.orders[id] = &history{}
	}
	return w.orders[id]
}

// place does what the gateway does with an order, at one host.
func (w *world) place(h *testHost, id ID, request int) {
	a := answer{request: request, begin: w.tick()}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	claim, record, err := h.ledger.Claim(ctx, Request{ID: id, Digest: Digest{1}, Created: w.created})
	h.gate.wait()
	switch {
	case err != nil:
		a.kind = "unknown"
		var failed *Error
		if errors.As(err, &failed) && failed.Reason == ReasonUnavailable {
			a.kind = "not_run"
		}
	case claim == nil && record.State == StateDone:
		a.kind, a.body = "done", string(record.Outcome.Body)
	case claim == nil && record.State == StateNotRun:
		a.kind = "not_run"
	case claim == nil:
		a.kind = "unknown"
	default:
		a.kind, a.body = w.dispatch(ctx, h, claim, request)
	}
	a.end = w.tick()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.of(id).answers = append(w.of(id).answers, a)
}

// dispatch sends a claimed order to the desk: it may not reach it, run, or run
// with its answer lost.
func (w *world) dispatch(ctx context.Context, h *testHost, claim *Claim, request int) (kind, body string) {
	if w.chance(0.3) {
		_ = h.ledger.Finish(ctx, claim, StateNotRun, nil)
		return "not_run", ""
	}
	moment := w.tick()
	w.mu.Lock()
	w.of(claim.ID).executions = append(w.of(claim.ID).executions, execution{request, moment})
	w.mu.Unlock()
	time.Sleep(time.Duration(w.draw(200)) * time.Millisecond)
	h.gate.wait()
	if w.chance(0.2) {
		_ = h.ledger.Finish(ctx, claim, StateUnknown, nil)
		return "unknown", ""
	}
	body = fmt.Sprintf("job-%d", request)
	_ = h.ledger.Finish(ctx, claim, StateDone, &Outcome{Status: 200, Body: []byte(body)})
	return "ran", body
}

// check returns the first fault of the histories, or nothing.
func (w *world) check() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, h := range w.orders {
		if len(h.executions) > 1 {
			return fmt.Sprintf("%s ran %d times: %+v", id.Key, len(h.executions), h)
		}
		body := ""
		for _, a := range h.answers {
			if a.kind == "not_run" && h.ranBefore(a) {
				return fmt.Sprintf("%s was said not to have run: %+v in %+v", id.Key, a, h)
			}
			if a.body != "" && body != "" && a.body != body {
				return fmt.Sprintf("%s has two outcomes: %+v", id.Key, h)
			}
			if a.body != "" {
				body = a.body
			}
			if a.body != "" && len(h.executions) == 0 {
				return fmt.Sprintf("%s has an outcome and did not run: %+v", id.Key, h)
			}
		}
	}
	return ""
}

// ranBefore says that the order had run when a request of it began, or ran by it.
func (h *history) ranBefore(a answer) bool {
	for _, e := range h.executions {
		if e.request == a.request || e.moment < a.begin {
			return true
		}
	}
	return false
}
