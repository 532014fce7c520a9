// Package scaling orders the upstreams of pools from the platform. It runs only on the host that
// holds the duties lease. Package planner computes the orders.
package scaling

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/planner"
	"github.com/cardamompier/cardamompier/routes"
	"github.com/cardamompier/cardamompier/wait"
)

const (
	// planInterval is the time between two plans; it is short because a reclaim is announced only
	// 2 s ahead.
	planInterval = 250 * time.Millisecond
	// repeatInterval is the time until an unchanged order is sent again while fewer upstreams run
	// than ordered, or after a refusal: the platform does not replace upstreams that it reclaimed
	// while it had none to offer. confirmInterval is the time until an order is sent again while
	// enough upstreams run.
	repeatInterval  = 2 * time.Second
	confirmInterval = 30 * time.Second
	// refusalPause is how long the planner counts a kind of upstream as unavailable in a failure
	// domain after a refused order.
	refusalPause = 3 * time.Second
	// needWindow is how long a peak of the needed number of upstreams is held: a stopped upstream
	// loses its cache, and a new one takes seconds to start.
	needWindow = 8 * time.Second
	// listingDelay is added to the start time of an upstream until the upstream list shows it.
	listingDelay = 2 * time.Second
	// callTimeout bounds the call that sends one order.
	callTimeout = time.Second
)

// Orders counts the orders sent to the platform, by outcome.
var Orders = metrics.New("scaling_orders_total", "Orders for upstreams, by outcome.")

const labelDone = "done"

// Scaler orders upstreams for all pools that have scaling settings.
type Scaler struct {
	Cloud     cloud.Scaler
	Table     func() *routes.Table
	Upstreams func() *hosts.Snapshot
	// Domains lists the names of the failure domains in sorted order.
	Domains []string
	// Demand returns the current load of a pool over all hosts.
	Demand func(pool string) planner.Demand
	// Held reports whether the orders of a pool must not be lowered, because a roll-out of the pool runs. Nil means
	// that they may always be.
	Held   func(pool string) bool
	Logger hclog.Logger

	needs   map[string][]needSample // recent needs by pool
	sent    map[orderKey]sentOrder
	refused map[orderKey]time.Time
}

// orderKey identifies one kind of upstream of a pool in a failure domain.
type orderKey struct {
	pool, domain string
	reclaimable  bool
}

// sentOrder is the last order for an orderKey that the platform accepted or refused.
type sentOrder struct {
	count   int
	at      time.Time
	refused bool
	raised  time.Time // when the count last increased
}

// Run plans and sends orders until ctx ends. The caller ends ctx when this host no longer holds the
// duties lease, whose current holding is term.
func (s *Scaler) Run(ctx context.Context, term *lease.Term) {
	s.needs, s.sent, s.refused = map[string][]needSample{}, map[orderKey]sentOrder{}, map[orderKey]time.Time{}
	for ctx.Err() == nil {
		table, list := s.Table(), s.Upstreams()
		if table != nil && list != nil {
			for _, pool := range table.Pools {
				if pool.Scaling != nil {
					s.planPool(ctx, term, pool, list)
				}
			}
		}
		wait.For(ctx, planInterval)
	}
}

func (s *Scaler) planPool(ctx context.Context, term *lease.Term, pool *routes.Pool, list *hosts.Snapshot) {
	now := time.Now()
	demand := s.Demand(pool.Name)
	input := planner.UpstreamPool{
		Min: pool.Scaling.Min, Max: pool.Scaling.Max, Needed: s.peakNeed(pool.Name, planner.Needed(demand), now), ReclaimablePrice: pool.Scaling.ReclaimablePrice,
	}
	for _, name := range s.Domains {
		price, priced := pool.Scaling.DomainPrices[name]
		if len(pool.Scaling.DomainPrices) > 0 && !priced {
			continue
		}
		d := planner.UpstreamDomain{
			Name: name, Price: price,
			ReclaimableRefused: now.Sub(s.refused[orderKey{pool.Name, name, true}]) < refusalPause,
			OnDemandRefused:    now.Sub(s.refused[orderKey{pool.Name, name, false}]) < refusalPause,
		}
		for _, h := range list.Pool(pool.Name) {
			switch {
			case h.FailureDomain != name || h.State != hosts.StateLive:
			case h.Reclaimable:
				d.Reclaimable++
			default:
				d.OnDemand++
			}
		}
		d.Starting = s.starting(orderKey{pool.Name, name, false}, d.OnDemand, pool.Scaling.StartTime, now)
		input.Domains = append(input.Domains, d)
	}
	for i, o := range planner.PlanUpstreams(input) {
		d := input.Domains[i]
		s.sendOrder(ctx, term, cloud.ScaleOrder{Pool: pool.Name, FailureDomain: o.Domain, Count: o.Reclaimable, Reclaimable: true}, d.Reclaimable, demand)
		s.sendOrder(ctx, term, cloud.ScaleOrder{Pool: pool.Name, FailureDomain: o.Domain, Count: o.OnDemand}, d.OnDemand, demand)
	}
}

// starting returns how many upstreams of the last order for key have yet to start. It returns zero
// after a refusal, and once the start time has passed, because upstreams still missing by then were
// reclaimed or will never start.
func (s *Scaler) starting(key orderKey, live int, startTime time.Duration, now time.Time) int {
	last := s.sent[key]
	if last.refused || now.Sub(last.raised) > startTime+listingDelay {
		return 0
	}
	return max(0, last.count-live)
}

// needSample is the number of upstreams that a pool needed at one time.
type needSample struct {
	at    time.Time
	count int
}

// peakNeed records the current need of a pool and returns the largest one within needWindow.
func (s *Scaler) peakNeed(pool string, count int, now time.Time) int {
	kept := s.needs[pool][:0]
	for _, n := range s.needs[pool] {
		if now.Sub(n.at) < needWindow && n.count > count {
			kept = append(kept, n)
		}
	}
	s.needs[pool] = append(kept, needSample{at: now, count: count})
	return s.needs[pool][0].count
}

// sendOrder sends o if its count is new or its resend interval has passed, and if term covers the call.
// live is the number of upstreams that accept work; demand is only logged.
func (s *Scaler) sendOrder(ctx context.Context, term *lease.Term, o cloud.ScaleOrder, live int, demand planner.Demand) {
	key := orderKey{o.Pool, o.FailureDomain, o.Reclaimable}
	last, known := s.sent[key]
	resendInterval := confirmInterval
	if last.refused || live < o.Count {
		resendInterval = repeatInterval
	}
	if s.Held != nil && s.Held(o.Pool) {
		if !known && o.Count < live {
			return // the order of the previous holder may be higher
		}
		o.Count = max(o.Count, last.count)
	}
	if known && last.count == o.Count && time.Since(last.at) < resendInterval || !term.Covers(cloud.CallLifetime) {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.Cloud.Scale(call, term.Fence, o)
	fields := []any{
		"pool", o.Pool, "domain", o.FailureDomain, "count", o.Count, "reclaimable", o.Reclaimable,
		"before", last.count, "there", live, "needed", planner.Needed(demand),
		"tokens_per_s", int(demand.TokensPerSecond), "read_per_s", int(demand.PrefillTokensPerSecond), "in_flight", demand.InFlight, "fence", term.Fence,
		"lease_age_ms", term.Age().Milliseconds(), "lease_left_ms", term.Remaining().Milliseconds(),
	}
	if err != nil {
		Orders.Inc(string(cloud.ReasonOf(err)))
		if cloud.ReasonOf(err) == cloud.ReasonRefused {
			s.refused[key] = time.Now()
			s.sent[key] = sentOrder{count: o.Count, at: time.Now(), refused: true}
		}
		events.ScaleRefused.Log(s.Logger, append(fields, "error", err)...)
		return
	}
	Orders.Inc(labelDone)
	if !known || last.count != o.Count {
		events.ScaleOrdered.Log(s.Logger, fields...)
	}
	now := time.Now()
	raised := last.raised
	if !known || o.Count > last.count {
		raised = now
	}
	s.sent[key] = sentOrder{count: o.Count, at: now, raised: raised}
}
