// Package control reconciles engines (model servers) with their wanted state. It
// runs on the elected leader: it compares what each engine serves with the
// engine's wanted state, and orders the whole wanted state where they differ.
//
// A WantedStateSource determines the wanted state, and package lease elects the leader. An
// engine that ignores fencing numbers may accept a delayed order of a former
// leader; the next comparison detects the difference and sends a new order.
package control

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/upstream"
	"github.com/cardamompier/cardamompier/wait"
)

// Orders counts orders to engines, by result: orderAccepted, orderNotLeader or an
// error reason of package upstream.
var Orders = metrics.New("control_orders_total", "Orders to engines, by result.")

// orderAccepted and orderNotLeader are the result labels of Orders that are not
// error reasons of package upstream.
const (
	orderAccepted  = "taken"
	orderNotLeader = "not_leader"
)

const (
	defaultInterval = time.Second
	callTimeout     = 2 * time.Second
)

// WantedState is the complete state that an engine has to serve.
type WantedState struct {
	Role     string
	Model    string
	Adapters []string
	Version  string
}

// WantedStateSource provides the wanted state of each engine, keyed by the ID of the
// engine's host. The state may change at any time; engines without a wanted
// state remain unchanged.
type WantedStateSource interface {
	Wanted() map[string]WantedState
}

// Engines finds an engine by the ID of the engine's host.
type Engines interface {
	Engine(id string) (upstream.Engine, bool)
}

// Reconciler orders engines to serve their wanted state. New creates a Reconciler.
type Reconciler struct {
	source   WantedStateSource
	engines  Engines
	logger   hclog.Logger
	interval time.Duration
}

// New returns a reconciler that compares all engines with their wanted state once
// per interval. An interval of zero means one second.
func New(source WantedStateSource, engines Engines, logger hclog.Logger, interval time.Duration) *Reconciler {
	if interval == 0 {
		interval = defaultInterval
	}
	return &Reconciler{source: source, engines: engines, logger: logger, interval: interval}
}

// Lead reconciles engines until ctx or the leader's term ends. It can be passed to
// lease.Holder.Run.
func (r *Reconciler) Lead(ctx context.Context, term *lease.Term) {
	ticker := wait.NewTicker(r.interval)
	defer ticker.Stop()
	for ctx.Err() == nil && term.Valid() {
		r.reconcile(ctx, term)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// reconcile compares every engine with its wanted state once, all concurrently.
func (r *Reconciler) reconcile(ctx context.Context, term *lease.Term) {
	wanted := r.source.Wanted()
	done := make(chan struct{})
	for id, state := range wanted {
		go func() {
			defer func() { done <- struct{}{} }()
			r.reconcileEngine(ctx, term, id, state)
		}()
	}
	for range wanted {
		<-done
	}
}

// reconcileEngine orders one engine to its wanted state if the engine serves a
// different state.
func (r *Reconciler) reconcileEngine(ctx context.Context, term *lease.Term, id string, state WantedState) {
	engine, ok := r.engines.Engine(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, max(0, term.Remaining())))
	defer cancel()
	report, err := engine.Load(ctx)
	if err != nil || serves(report.Serving, state) {
		return
	}
	// The term may have ended during the load query, for example while the process
	// was paused.
	if !term.Valid() {
		Orders.Inc(orderNotLeader)
		return
	}
	err = engine.Order(ctx, upstream.Order{
		Fence: term.Fence, Role: state.Role, Model: state.Model, Adapters: state.Adapters, Version: state.Version,
	})
	if err != nil {
		Orders.Inc(string(upstream.ReasonOf(err)))
		events.EngineRefused.Log(r.logger, "upstream", id, "fence", term.Fence, "error", err)
		return
	}
	Orders.Inc(orderAccepted)
	events.EngineOrdered.Log(r.logger, "upstream", id, "fence", term.Fence, "role", state.Role, "model", state.Model)
}

// serves reports whether the order that an engine serves matches the wanted
// state, regardless of the order's fencing number.
func serves(order upstream.Order, state WantedState) bool {
	return order.Role == state.Role && order.Model == state.Model && order.Version == state.Version &&
		slices.Equal(order.Adapters, state.Adapters)
}
