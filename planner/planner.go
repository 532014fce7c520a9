// Package planner decides which hosts to buy and what each engine runs. Its functions are pure:
// they compute a plan from a snapshot of observations, without I/O and without reading a clock.
// Callers check a plan again when they apply it.
package planner

import (
	"math"
	"sort"
	"time"

	"github.com/cardamompier/cardamompier/cloud"
)

// Observation is the input of Compute: a snapshot of one pool and of the market for hosts.
type Observation struct {
	Now time.Time
	// Demand is the work, in capacity units, predicted for the time at which a host started now
	// would be warm.
	Demand float64
	// Capacity is the work that one warm host of each class serves within the latency target, in
	// capacity units.
	Capacity map[string]float64
	Offers   []cloud.Offer
	// Hosts lists the pool's instances.
	Hosts []Host
	// Risk is the expected number of reclaims per hour in each market (failure domain and class).
	Risk map[cloud.Market]float64
	// Refused is the time at which each market last refused to start a host.
	Refused map[cloud.Market]time.Time
}

// Host is a cloud instance and whether it is ready to serve.
type Host struct {
	cloud.Instance
	// Warm reports whether the host has loaded its model and accepts work.
	Warm bool
}

// Policy holds the settings of the planner.
type Policy struct {
	// Headroom is the capacity held above the predicted demand, as a share of that demand.
	Headroom float64
	// DomainLossCover is the share of the largest failure domain's reclaimable capacity that is
	// bought in addition to the needed capacity: 1 covers the loss of that whole failure domain,
	// 0 covers none.
	DomainLossCover float64
	// MaxDomainShare bounds the reclaimable capacity in one failure domain, as a share of the
	// needed capacity from 0 to 1.
	MaxDomainShare float64
	// RefusalPause is how long a market is excluded from plans after it refused a start.
	RefusalPause time.Duration
	// RestartCost is the cost of replacing a reclaimed host, in hours of its price: copying the
	// weights and warming up.
	RestartCost float64
	// SwitchMargin is the share by which a new host must be cheaper than a running one to replace
	// it.
	SwitchMargin float64
}

// DefaultPolicy returns the policy that the daemon uses.
func DefaultPolicy() Policy {
	return Policy{
		Headroom: 0, DomainLossCover: 0, MaxDomainShare: 0.5, RefusalPause: 5 * time.Minute,
		RestartCost: 0.2, SwitchMargin: 0.1,
	}
}

// Plan lists the hosts to start and to stop.
type Plan struct {
	// Start holds one market for each host to start.
	Start []cloud.Market
	// Stop holds the ids of the hosts to stop.
	Stop []string
	// Want is the number of hosts wanted in each market.
	Want map[cloud.Market]int
}

// unlimited marks an offer without a known limit on the number of hosts.
const unlimited = math.MaxInt

// offer is a market with its price for one unit of capacity.
type offer struct {
	market   cloud.Market
	capacity float64
	// available is the number of hosts that can be bought or retained at this price.
	available int
	// unitPrice is the price of one capacity unit for an hour, including the expected cost of
	// reclaims.
	unitPrice float64
}

// Compute returns the cheapest plan that covers the demand and, as far as the policy requires, the
// loss of the largest failure domain. It returns an empty plan if the offers do not suffice.
func Compute(o Observation, p Policy) Plan {
	reclaimable, onDemand := rankOffers(o, p)
	need := o.Demand * (1 + p.Headroom)
	best := cheapestMix(reclaimable, onDemand, need, p)
	if running := runningMix(o, p, reclaimable, onDemand, need); running.preferredOver(best) {
		best = running
	}
	if best == nil {
		return Plan{}
	}
	return diffPlan(o, best.counts, need)
}

// rankOffers returns the usable offers by ascending unit price. Hosts that run already are
// separate offers, cheaper by the switch margin, so that small price changes do not replace them.
func rankOffers(o Observation, p Policy) (reclaimable, onDemand []offer) {
	have := countHosts(o.Hosts)
	add := func(ranked offer) {
		if ranked.available > 0 && ranked.market.Reclaimable {
			reclaimable = append(reclaimable, ranked)
		} else if ranked.available > 0 {
			onDemand = append(onDemand, ranked)
		}
	}
	for _, candidate := range o.Offers {
		capacity := o.Capacity[candidate.Class]
		if capacity <= 0 {
			continue
		}
		price := candidate.PricePerHour * (1 + p.RestartCost*o.Risk[candidate.Market]) / capacity
		running := offer{market: candidate.Market, capacity: capacity, available: have[candidate.Market], unitPrice: price * (1 - p.SwitchMargin)}
		add(running)
		refusedAt, refused := o.Refused[candidate.Market]
		if !refused || o.Now.Sub(refusedAt) >= p.RefusalPause {
			add(offer{market: candidate.Market, capacity: capacity, available: unlimited, unitPrice: price})
		}
	}
	sortOffers(reclaimable)
	sortOffers(onDemand)
	return reclaimable, onDemand
}

// countHosts returns the number of hosts in each market that are not leaving.
func countHosts(hosts []Host) map[cloud.Market]int {
	have := map[cloud.Market]int{}
	for _, host := range hosts {
		if host.State != cloud.StateLeaving {
			have[host.Market]++
		}
	}
	return have
}

func sortOffers(offers []offer) {
	sort.Slice(offers, func(i, j int) bool {
		a, b := offers[i], offers[j]
		if a.unitPrice != b.unitPrice {
			return a.unitPrice < b.unitPrice
		}
		return marketLess(a.market, b.market)
	})
}

func marketLess(a, b cloud.Market) bool {
	if a.FailureDomain != b.FailureDomain {
		return a.FailureDomain < b.FailureDomain
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Reclaimable && !b.Reclaimable
}

// capSteps is the number of steps in which cheapestMix varies the cap on a failure domain.
const capSteps = 48

// cheapestMix returns the cheapest mix of hosts over several caps on the reclaimable capacity of
// one failure domain. For a given cap the greedy choice is the cheapest, so the result is optimal
// up to the step between caps and up to whole hosts. It returns nil if the offers do not cover
// the need.
func cheapestMix(reclaimable, onDemand []offer, need float64, p Policy) *mix {
	var best *mix
	for step := 0; step <= capSteps; step++ {
		limit := need * p.MaxDomainShare * float64(step) / capSteps
		if m := greedyMix(reclaimable, onDemand, need, limit, p.DomainLossCover); m.enough() && (best == nil || m.price < best.price) {
			best = m
		}
	}
	return best
}

// greedyMix buys the cheapest reclaimable offers, then on-demand ones, until they cover need plus
// cover times the largest failure domain's reclaimable capacity. A failure domain that has reached
// limit gets no more reclaimable hosts.
func greedyMix(reclaimable, onDemand []offer, need, limit, cover float64) *mix {
	m := newMix(need, cover)
	for _, candidate := range reclaimable {
		for n := 0; n < candidate.available && !m.enough() && m.reclaimable[candidate.market.FailureDomain] < limit; n++ {
			m.add(candidate)
		}
	}
	for _, candidate := range onDemand {
		for n := 0; n < candidate.available && !m.enough(); n++ {
			m.add(candidate)
		}
	}
	return m
}

// runningMix returns the running hosts without those that are not needed. It returns nil if the
// running hosts do not cover the need or exceed the bound of a failure domain.
func runningMix(o Observation, p Policy, reclaimable, onDemand []offer, need float64) *mix {
	m := newMix(need, p.DomainLossCover)
	running := 0
	for _, candidate := range append(append([]offer{}, onDemand...), reclaimable...) {
		if candidate.available == unlimited {
			continue
		}
		running += candidate.available
		for range candidate.available {
			m.add(candidate)
		}
	}
	m.trim()
	allowed := need*p.MaxDomainShare + largestHost(o.Capacity)
	if !m.enough() || m.largestDomain > allowed || running == 0 {
		return nil
	}
	return m
}

func largestHost(capacity map[string]float64) float64 {
	largest := 0.0
	for _, c := range capacity {
		largest = max(largest, c)
	}
	return largest
}

// mix is a combination of hosts with its capacity and price.
type mix struct {
	counts map[cloud.Market]int
	// bought holds the offers in the order in which they were added, one entry per host.
	bought                      []offer
	reclaimable                 map[string]float64 // reclaimable capacity by failure domain
	total, price, largestDomain float64
	need, cover                 float64
}

func newMix(need, cover float64) *mix {
	return &mix{counts: map[cloud.Market]int{}, reclaimable: map[string]float64{}, need: need, cover: cover}
}

func (m *mix) enough() bool { return m.total >= m.need+m.cover*m.largestDomain }

// preferredOver reports whether m covers the need at a price no higher than that of other.
func (m *mix) preferredOver(other *mix) bool {
	return m != nil && (other == nil || m.price <= other.price)
}

func (m *mix) add(o offer) {
	m.bought = append(m.bought, o)
	m.adjust(o, 1)
}

func (m *mix) adjust(o offer, n int) {
	m.counts[o.market] += n
	m.total += float64(n) * o.capacity
	m.price += float64(n) * o.capacity * o.unitPrice
	if o.market.Reclaimable {
		m.reclaimable[o.market.FailureDomain] += float64(n) * o.capacity
		m.largestDomain = 0
		for _, capacity := range m.reclaimable {
			m.largestDomain = max(m.largestDomain, capacity)
		}
	}
}

// trim removes the hosts that are not needed, starting with the highest unit price.
func (m *mix) trim() {
	sort.SliceStable(m.bought, func(i, j int) bool { return m.bought[i].unitPrice > m.bought[j].unitPrice })
	kept := m.bought[:0]
	for _, o := range m.bought {
		m.adjust(o, -1)
		if m.enough() {
			continue
		}
		m.adjust(o, 1)
		kept = append(kept, o)
	}
	m.bought = kept
}

// diffPlan turns the wanted numbers of hosts into starts and stops. A host that is replaced stops
// once the other warm hosts cover the need.
func diffPlan(o Observation, want map[cloud.Market]int, need float64) Plan {
	plan := Plan{Want: want}
	have := countHosts(o.Hosts)
	for _, market := range sortedMarkets(want) {
		for n := have[market]; n < want[market]; n++ {
			plan.Start = append(plan.Start, market)
		}
	}
	plan.Stop = surplusHosts(o, have, want, need)
	return plan
}

// surplusHosts returns the ids of the hosts to stop in markets with more hosts than wanted: first
// those that are not warm, then the newest. It retains a warm host while the other warm hosts would
// not cover the need.
func surplusHosts(o Observation, have, want map[cloud.Market]int, need float64) []string {
	warm := 0.0
	hosts := make([]Host, 0, len(o.Hosts))
	for _, host := range o.Hosts {
		if host.State == cloud.StateLeaving {
			continue
		}
		hosts = append(hosts, host)
		if host.Warm {
			warm += o.Capacity[host.Class]
		}
	}
	sort.SliceStable(hosts, func(i, j int) bool {
		if hosts[i].Warm != hosts[j].Warm {
			return !hosts[i].Warm
		}
		return hosts[i].StartedAt.After(hosts[j].StartedAt)
	})
	var stop []string
	for _, host := range hosts {
		capacity := o.Capacity[host.Class]
		if have[host.Market] <= want[host.Market] || (host.Warm && warm-capacity < need) {
			continue
		}
		stop = append(stop, host.ID)
		have[host.Market]--
		if host.Warm {
			warm -= capacity
		}
	}
	return stop
}

func sortedMarkets(want map[cloud.Market]int) []cloud.Market {
	out := make([]cloud.Market, 0, len(want))
	for market := range want {
		out = append(out, market)
	}
	sort.Slice(out, func(i, j int) bool { return marketLess(out[i], out[j]) })
	return out
}
