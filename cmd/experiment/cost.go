package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/cloud/cloudmem"
	"github.com/cardamompier/cardamompier/planner"
)

// Parameters of the simulated host market in the cost experiment.
const (
	costTick      = time.Minute
	startDelay    = 2 * time.Minute
	copyTime      = 2 * time.Minute // time to copy the weights from the weight store to one host
	copiesAtOnce  = 4
	waveNotice    = 30 * time.Second
	wavesPerDay   = 0.7 // reclaim waves per failure domain
	refusalSpan   = 20 * time.Minute
	refusalSpread = 0.3 // probability that a wave blocks reclaimable starts in all domains
	forecastSpan  = 6 * time.Minute
	warmUpSpan    = time.Hour // excluded from the results
	classSmall    = "small"
	classLarge    = "large"
)

// costUser describes a user's demand on one pool of hosts, in capacity units.
type costUser struct {
	name string
	peak float64
	// trough is the lowest demand at night, as a share of the peak.
	trough float64
}

var costUsers = []costUser{{"ubumwe", 12, 0.35}, {"lanka", 20, 0.45}}

var costCapacity = map[string]float64{classSmall: 1, classLarge: 2}

// costPolicy is a policy for buying hosts.
type costPolicy struct {
	name   string
	policy planner.Policy
	// keep returns the offers that the policy may choose from.
	keep func([]cloud.Offer) []cloud.Offer
}

type costOptions struct {
	days  int
	seeds int
}

func costExperiment() experiment {
	o := costOptions{days: 7, seeds: 10}
	parser := flaggy.NewSubcommand("cost")
	parser.Description = "Cost of hosts at the latency target, against hindsight and baselines. Example: experiment cost --days 7 --seeds 10"
	parser.Int(&o.days, "", "days", "days of virtual time")
	parser.Int(&o.seeds, "", "seeds", "number of seeds")
	return experiment{parser: parser, run: func() int { return runCost(o) }}
}

func costPolicies() []costPolicy {
	all := func(offers []cloud.Offer) []cloud.Offer { return offers }
	sticky, covered, cheapest := planner.DefaultPolicy(), planner.DefaultPolicy(), planner.DefaultPolicy()
	cheapest.MaxDomainShare = 1
	sticky.SwitchMargin = 0.99
	covered.DomainLossCover = 1
	third := planner.DefaultPolicy()
	third.DomainLossCover = 0.33
	return []costPolicy{
		{"planner", planner.DefaultPolicy(), all},
		{"without switching", sticky, all},
		{"cheapest-first", cheapest, all},
		{"a third covered", third, all},
		{"whole domain covered", covered, all},
		{"all-on-demand", planner.DefaultPolicy(), onDemandOnly},
	}
}

func onDemandOnly(offers []cloud.Offer) []cloud.Offer {
	var out []cloud.Offer
	for _, o := range offers {
		if !o.Reclaimable {
			out = append(out, o)
		}
	}
	return out
}

func runCost(o costOptions) int {
	fmt.Printf("%-8s %-20s %10s %10s %10s %12s %10s %8s %10s\n", "user", "policy", "cost/day", "hindsight", "on-demand", "late share", "worst day", "bought", "worst min")
	for _, user := range costUsers {
		results := map[string]costResult{}
		for _, p := range costPolicies() {
			var sum costResult
			for seed := range o.seeds {
				sum.add(newMarketRun(user, p, uint64(seed)+1).run(o.days))
			}
			results[p.name] = sum
		}
		onDemand := results["all-on-demand"].cost
		for _, p := range costPolicies() {
			r := results[p.name]
			fmt.Printf("%-8s %-20s %10.1f %9.3fx %9.3fx %11.3f%% %9.2f%% %7.2fx %9.0f%%\n", user.name, p.name,
				r.cost/float64(o.days*o.seeds), r.cost/r.hindsight, r.cost/onDemand, 100*r.late/r.demand, 100*r.worstDay, r.bought/r.demand, 100*r.worstMinute)
		}
	}
	return 0
}

// costResult holds the outcome of one run. The fields demand and late are in capacity units
// times minutes.
type costResult struct {
	cost, hindsight, demand, late, worstDay float64
	// bought is the paid capacity, in capacity units times minutes.
	bought float64
	// worstMinute is the largest share of the demand that was not served within one minute.
	worstMinute float64
}

func (r *costResult) add(other costResult) {
	r.cost += other.cost
	r.hindsight += other.hindsight
	r.demand += other.demand
	r.late += other.late
	r.bought += other.bought
	r.worstMinute = max(r.worstMinute, other.worstMinute)
	r.worstDay = max(r.worstDay, other.worstDay)
}

// marketRun is one simulation of the host market in virtual time.
type marketRun struct {
	user   costUser
	policy costPolicy
	random *rand.Rand // used by the market only: all policies get the same market
	now    time.Time
	cloud  *cloudmem.Cloud
	prices map[cloud.Market]float64
	// warmAt is the time, by host ID, at which a host finishes copying its weights.
	warmAt  map[string]time.Time
	copies  []time.Time // when each download slot of the weight store becomes free
	refused map[cloud.Market]time.Time
	noise   float64
	started int
}

var costDomains = []string{"a", "b", "c", "d"}

func newMarketRun(user costUser, policy costPolicy, seed uint64) *marketRun {
	r := &marketRun{
		user: user, policy: policy, random: rand.New(rand.NewPCG(seed, 7)),
		now:    time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC),
		prices: map[cloud.Market]float64{}, warmAt: map[string]time.Time{},
		refused: map[cloud.Market]time.Time{}, copies: make([]time.Time, copiesAtOnce),
	}
	r.cloud = cloudmem.New(func() time.Time { return r.now }, startDelay)
	for _, domain := range costDomains {
		for class, base := range map[string]float64{classSmall: 1, classLarge: 1.9} {
			r.prices[cloud.Market{FailureDomain: domain, Class: class}] = base
			r.prices[cloud.Market{FailureDomain: domain, Class: class, Reclaimable: true}] = base * 0.35
		}
	}
	return r
}

func (r *marketRun) run(days int) costResult {
	var total, warmUp costResult
	for range int(warmUpSpan / costTick) {
		r.step(&warmUp)
	}
	for range days {
		var day costResult
		for range int(24 * time.Hour / costTick) {
			r.step(&day)
		}
		day.worstDay = day.late / day.demand
		total.add(day)
	}
	return total
}

func (r *marketRun) step(out *costResult) {
	r.moveMarket()
	r.tick(out)
	r.now = r.now.Add(costTick)
}

// moveMarket changes the prices and reclaims hosts of failure domains. It draws the same
// random numbers for every policy.
func (r *marketRun) moveMarket() {
	for _, domain := range costDomains {
		for _, class := range []string{classSmall, classLarge} {
			market := cloud.Market{FailureDomain: domain, Class: class, Reclaimable: true}
			base := r.prices[cloud.Market{FailureDomain: domain, Class: class}]
			moved := r.prices[market] * math.Exp(0.01*r.random.NormFloat64())
			r.prices[market] = min(max(moved, 0.2*base), 0.6*base)
		}
	}
	for market, price := range r.prices {
		r.cloud.SetPrice(market, price)
	}
	r.noise = 0.98*r.noise + 0.01*r.random.NormFloat64()
	for _, domain := range costDomains {
		wave := r.random.Float64() < wavesPerDay*costTick.Hours()/24
		spread := r.random.Float64()
		if wave {
			r.cloud.Reclaim(domain, waveNotice)
			r.refuseAround(domain, spread < refusalSpread)
		}
	}
}

func (r *marketRun) refuseAround(domain string, others bool) {
	for market := range r.prices {
		if market.Reclaimable && (others || market.FailureDomain == domain) {
			r.cloud.RefuseStarts(market, r.now.Add(refusalSpan))
		}
	}
}

// demandAt returns the demand at the given time: a daily sine wave with noise.
func (r *marketRun) demandAt(at time.Time) float64 {
	hour := at.Sub(at.Truncate(24 * time.Hour)).Hours()
	wave := 0.5 - 0.5*math.Cos(2*math.Pi*(hour-4)/24)
	return r.user.peak * (r.user.trough + (1-r.user.trough)*wave) * (1 + r.noise)
}

// tick adds the cost, the demand and the unserved demand of one minute to out, then computes
// and applies a new plan.
func (r *marketRun) tick(out *costResult) {
	ctx := context.Background()
	instances, _ := r.cloud.Instances(ctx)
	r.copyWeights(instances)
	warm := 0.0
	for _, instance := range instances {
		out.cost += r.prices[instance.Market] * costTick.Hours()
		out.bought += costCapacity[instance.Class]
		if r.isWarm(instance) {
			warm += costCapacity[instance.Class]
		}
	}
	demand := r.demandAt(r.now)
	out.demand += demand
	late := max(0, demand-warm)
	out.late += late
	out.worstMinute = max(out.worstMinute, late/demand)
	out.hindsight += demand * r.cheapestUnit() * costTick.Hours()
	r.apply(ctx, instances)
}

func (r *marketRun) isWarm(i cloud.Instance) bool {
	at, copied := r.warmAt[i.ID]
	return copied && !r.now.Before(at)
}

// copyWeights assigns a download slot of the rate-limited weight store to each live host
// that has none yet.
func (r *marketRun) copyWeights(instances []cloud.Instance) {
	for _, instance := range instances {
		if _, copying := r.warmAt[instance.ID]; copying || instance.State != cloud.StateLive {
			continue
		}
		slot := 0
		for i := range r.copies {
			if r.copies[i].Before(r.copies[slot]) {
				slot = i
			}
		}
		begin := r.now
		if r.copies[slot].After(begin) {
			begin = r.copies[slot]
		}
		r.copies[slot] = begin.Add(copyTime)
		r.warmAt[instance.ID] = r.copies[slot]
	}
}

// cheapestUnit returns the current lowest price of one capacity unit. The hindsight baseline
// pays this price, because it buys fractions of hosts and its hosts start without delay.
func (r *marketRun) cheapestUnit() float64 {
	best := math.Inf(1)
	for market, price := range r.prices {
		best = min(best, price/costCapacity[market.Class])
	}
	return best
}

func (r *marketRun) apply(ctx context.Context, instances []cloud.Instance) {
	offers, _ := r.cloud.Offers(ctx)
	observed := planner.Observation{
		Now: r.now, Demand: max(r.demandAt(r.now), r.demandAt(r.now.Add(forecastSpan))), Capacity: costCapacity,
		Offers: r.policy.keep(offers), Refused: r.refused, Risk: map[cloud.Market]float64{},
	}
	for _, offer := range offers {
		if offer.Reclaimable {
			observed.Risk[offer.Market] = wavesPerDay / 24
		}
	}
	for _, instance := range instances {
		observed.Hosts = append(observed.Hosts, planner.Host{Instance: instance, Warm: r.isWarm(instance)})
	}
	plan := planner.Compute(observed, r.policy.policy)
	for _, market := range plan.Start {
		r.started++
		token := fmt.Sprintf("start-%d", r.started)
		if _, err := r.cloud.Start(ctx, cloud.StartRequest{Market: market, Token: token}); err != nil {
			r.refused[market] = r.now
		}
	}
	for _, id := range plan.Stop {
		_ = r.cloud.Stop(ctx, id)
	}
}
