// Package provision scales the pools of upstream hosts to the sizes that package planner computes.
// It reads the state of the cloud, computes a plan, and starts and stops hosts accordingly. For each
// pool, one entry host at a time does this, under a lease.
//
// Refused starts, reclaim risks and the demand trend are stored only in the lease holder's memory.
// A new holder starts from default estimates, which raises costs for a while but does not affect
// correctness.
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

// Interval is the time between two provisioning rounds.
const Interval = 5 * time.Second

// Orders counts starts and stops of hosts, refused starts, failed calls, skipped rounds and unsent
// rate reports, by kind.
var Orders = metrics.New("provision_orders_total", "Starts and stops ordered from the cloud API, refused starts, failed calls, skipped rounds and unsent rate reports, by kind.")

// Label values of the Orders counter.
const (
	labelStart   = "start"
	labelStop    = "stop"
	labelRefused = "refused"
	labelFailed  = "failed"
	// labelHeld counts rounds that were skipped because the demand was not known.
	labelHeld = "held"
	// labelUntold counts rate reports that could not be sent to a lease candidate.
	labelUntold = "untold"
)

// Pool describes one pool of upstreams, as set in the operators' configuration files.
type Pool struct {
	Name string
	// Capacity returns the load that a host of each machine class serves within the latency target,
	// in the unit of Demand.
	Capacity func() map[string]float64
	// Ready reports whether the demand is known. Rounds are skipped while it returns false. A nil
	// Ready means that the demand is always known.
	Ready func() bool
	// Demand returns the current demand of the pool.
	Demand func() float64
	// Floor returns the minimum demand that the pool is sized for. The forecast ignores it, so that
	// a change of the floor is not extrapolated as a trend. A nil Floor means zero.
	Floor func() float64
	// Warm reports whether a host has loaded its model and accepts work.
	Warm func(hostID string) bool
	// WarmUp returns the expected time from the start of a host until it accepts work.
	WarmUp func() time.Duration
	// MaxStarts returns the maximum number of host starts in one round. It limits concurrent copies
	// of model weights to what the weight store can serve. Values below one count as one.
	MaxStarts func() int
}

// Provisioner scales one pool. It is not safe for concurrent use.
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

// New returns a Provisioner for one pool.
func New(api cloud.API, pool Pool, policy planner.Policy, logger hclog.Logger) *Provisioner {
	return &Provisioner{
		api: api, pool: pool, policy: policy, logger: logger,
		refused: map[cloud.Market]time.Time{}, leaving: map[string]bool{},
	}
}

// Run executes a provisioning round at each Interval until ctx ends. The caller must end ctx when
// the lease is lost. The fence is the lease's fencing number: it distinguishes the idempotency
// tokens of this holder's starts from those of any other holder.
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

// Round reads the state of the cloud, computes a plan, and starts and stops hosts once.
func (p *Provisioner) Round(ctx context.Context, fence uint64, now time.Time) {
	offers, err := p.api.Offers(ctx)
	if err != nil {
		p.recordFailure(err)
		return
	}
	instances, err := p.api.Instances(ctx)
	if err != nil {
		p.recordFailure(err)
		return
	}
	p.recordObservation(instances, now)
	plan := planner.Compute(p.observe(offers, instances, now), p.policy)
	p.start(ctx, plan, fence, now)
	p.stop(ctx, plan)
}

// recordObservation updates the demand forecast and the reclaim risk of each market.
func (p *Provisioner) recordObservation(instances []cloud.Instance, now time.Time) {
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
			p.risk.AddHeldTime(market, now.Sub(p.lastAt))
		}
		if reclaimed[market] {
			p.risk.AddReclaim(market)
			events.HostsReclaimed.Log(p.logger, "pool", p.pool.Name, "failure_domain", market.FailureDomain, "class", market.Class)
		}
	}
	p.leaving, p.lastAt = leaving, now
}

// observe returns the planner's input: the higher of the current and the forecast demand, the
// offers, and the hosts of the pool.
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

// start starts the hosts of the plan. Before each start it checks that ctx, and with it the lease,
// has not ended. If an answer is lost, the next round finds the new host among the instances.
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
			p.recordFailure(err)
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
			p.recordFailure(err)
			return
		}
		Orders.Inc(labelStop)
		events.HostStopped.Log(p.logger, "pool", p.pool.Name, "host", id)
	}
}

func (p *Provisioner) recordFailure(err error) {
	Orders.Inc(labelFailed)
	events.ProvisioningFailed.Log(p.logger, "pool", p.pool.Name, "error", err)
}
