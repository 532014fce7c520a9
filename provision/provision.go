// Package provision keeps the pools of upstream hosts at the planner's sizes:
// it observes the cloud, asks package planner what to start and stop, and
// orders it. One entry host does this at a time, under a lease.
//
// What it remembers (refusals, risks, the trend of the demand) lives in the
// leader's memory: a new leader begins with priors and learns again, which
// costs money for a while and no correctness.
package provision

import (
	"context"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/planner"
)

// Interval is the time between two rounds.
const Interval = 5 * time.Second

// Orders counts starts and stops, and refused starts.
var Orders = metrics.New("provision_orders_total", "Orders to the cloud API, refused and failed ones, and what was held back, by kind.")

// Labels of Orders.
const (
	labelStart   = "start"
	labelStop    = "stop"
	labelRefused = "refused"
	labelFailed  = "failed"
	// labelHeld counts rounds that were left out.
	labelHeld = "held"
	// labelUntold counts rates that did not leave for a candidate.
	labelUntold = "untold"
)

// Pool is one pool of upstreams as the operators' files describe it.
type Pool struct {
	Name string
	// Capacity is what a host of each class serves at the latency target, in
	// the units of Demand.
	Capacity func() map[string]float64
	// Ready says whether the demand is known. Rounds in which it is not are
	// left out. Nil means always.
	Ready func() bool
	// Demand returns the demand now.
	Demand func() float64
	// Floor is the least demand that the pool is sized for. It is no part of
	// the forecast: a change of it is no trend. Nil means zero.
	Floor func() float64
	// Warm says whether a host has its model and takes work.
	Warm func(hostID string) bool
	// WarmUp is how long a host takes from its start until it is warm.
	WarmUp func() time.Duration
	// MaxStarts bounds the starts of one round, so that no more weights are
	// copied at once than the weight store can serve. Zero means one.
	MaxStarts func() int
}

// Provisioner keeps one pool. It is used by one goroutine.
type Provisioner struct {
	api    cloud.API
	pool   Pool
	policy planner.Policy
	logger hclog.Logger

	forecast planner.Forecast
	risk     planner.RiskEstimate
	refused  map[cloud.Market]time.Time
	leaving  map[string]bool
	lastAt   time.Time
	sequence uint64
}

// New returns a provisioner of a pool.
func New(api cloud.API, pool Pool, policy planner.Policy, logger hclog.Logger) *Provisioner {
	return &Provisioner{
		api: api, pool: pool, policy: policy, logger: logger,
		refused: map[cloud.Market]time.Time{}, leaving: map[string]bool{},
	}
}

// Run does a round at each interval until ctx ends, which it does when the
// lease is lost. The fence is the lease's fencing number: it makes the tokens
// of the starts differ from those of any other holder.
func (p *Provisioner) Run(ctx context.Context, fence uint64) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		if p.pool.Ready == nil || p.pool.Ready() {
			p.Round(ctx, fence, time.Now())
		} else {
			Orders.Inc(labelHeld)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Round observes, plans and orders once.
func (p *Provisioner) Round(ctx context.Context, fence uint64, now time.Time) {
	offers, err := p.api.Offers(ctx)
	if err != nil {
		p.fail(err)
		return
	}
	instances, err := p.api.Instances(ctx)
	if err != nil {
		p.fail(err)
		return
	}
	p.learn(instances, now)
	plan := planner.Compute(p.observe(offers, instances, now), p.policy)
	p.start(ctx, plan, fence, now)
	p.stop(ctx, plan)
}

// learn updates the demand's trend and the markets' risks.
func (p *Provisioner) learn(instances []cloud.Instance, now time.Time) {
	p.forecast = p.forecast.Add(p.pool.Demand(), now)
	held, reclaimed := map[cloud.Market]bool{}, map[cloud.Market]bool{}
	leaving := map[string]bool{}
	for _, instance := range instances {
		if instance.Pool != p.pool.Name {
			continue
		}
		held[instance.Market] = true
		if instance.State == cloud.StateLeaving {
			leaving[instance.ID] = true
			reclaimed[instance.Market] = reclaimed[instance.Market] || !p.leaving[instance.ID]
		}
	}
	for market := range held {
		if !p.lastAt.IsZero() {
			p.risk.Held(market, now.Sub(p.lastAt))
		}
		if reclaimed[market] {
			p.risk.Reclaimed(market)
			events.HostsReclaimed.Log(p.logger, "pool", p.pool.Name, "failure_domain", market.FailureDomain, "class", market.Class)
		}
	}
	p.leaving, p.lastAt = leaving, now
}

func (p *Provisioner) observe(offers []cloud.Offer, instances []cloud.Instance, now time.Time) planner.Observation {
	o := planner.Observation{
		Now: now, Demand: max(p.forecast.Demand(now), p.forecast.Demand(now.Add(p.pool.WarmUp()))),
		Capacity: p.pool.Capacity(), Offers: offers, Refused: p.refused, Risk: map[cloud.Market]float64{},
	}
	if p.pool.Floor != nil {
		o.Demand = max(o.Demand, p.pool.Floor())
	}
	for _, offer := range offers {
		o.Risk[offer.Market] = p.risk.PerHour(offer.Market)
	}
	for _, instance := range instances {
		if instance.Pool == p.pool.Name {
			o.Hosts = append(o.Hosts, planner.Host{Instance: instance, Warm: p.pool.Warm(instance.ID)})
		}
	}
	return o
}

// start orders the plan's hosts. The lease is checked before each order; an
// order whose answer was lost is found among the instances next round.
func (p *Provisioner) start(ctx context.Context, plan planner.Plan, fence uint64, now time.Time) {
	for i, market := range plan.Start {
		if ctx.Err() != nil || i >= max(1, p.pool.MaxStarts()) {
			return
		}
		p.sequence++
		token := p.pool.Name + "/" + strconv.FormatUint(fence, 10) + "/" + strconv.FormatUint(p.sequence, 10)
		instance, err := p.api.Start(ctx, cloud.StartRequest{Market: market, Pool: p.pool.Name, Token: token})
		switch {
		case err == nil:
			Orders.Inc(labelStart)
			events.HostStarted.Log(p.logger, "pool", p.pool.Name, "host", instance.ID, "failure_domain", market.FailureDomain, "class", market.Class)
		case cloud.ReasonOf(err) == cloud.ReasonRefused:
			Orders.Inc(labelRefused)
			p.refused[market] = now
			events.HostStartRefused.Log(p.logger, "pool", p.pool.Name, "failure_domain", market.FailureDomain, "class", market.Class)
		default:
			p.fail(err)
			return
		}
	}
}

func (p *Provisioner) stop(ctx context.Context, plan planner.Plan) {
	for _, id := range plan.Stop {
		if ctx.Err() != nil {
			return
		}
		if err := p.api.Stop(ctx, id); err != nil {
			p.fail(err)
			return
		}
		Orders.Inc(labelStop)
		events.HostStopped.Log(p.logger, "pool", p.pool.Name, "host", id)
	}
}

func (p *Provisioner) fail(err error) {
	Orders.Inc(labelFailed)
	events.ProvisioningFailed.Log(p.logger, "pool", p.pool.Name, "error", err)
}
