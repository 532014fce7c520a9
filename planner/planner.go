// Package planner decides which hosts to buy and what each engine runs. Its
// functions are pure: from a snapshot of observations to a plan, without I/O
// or a clock of their own. The plan is checked again when it is applied.
package planner

import (
	"math"
	"sort"
	"time"

	"github.com/cardamompier/cardamompier/cloud"
)

// Observation is the snapshot that a plan is made from, for one pool.
type Observation struct {
	Now time.Time
	// Demand is the predicted work by the time a host started now is warm,
	// in capacity units.
	Demand float64
	// Capacity is what one warm host of each class serves at the latency
	// target, in capacity units.
	Capacity map[string]float64
	Offers   []cloud.Offer
	// Hosts are the pool's instances.
	Hosts []Host
	// Risk is the expected number of reclaims of a market's failure domain
	// and class in an hour.
	Risk map[cloud.Market]float64
	// Refused is when each market last refused a start.
	Refused map[cloud.Market]time.Time
}

// Host is an instance with what the planner knows of it.
type Host struct {
	cloud.Instance
	// Warm says that the host has its model and takes work.
	Warm bool
}

// Policy holds the planner's settings.
type Policy struct {
	// Headroom is capacity held above the predicted demand, as a share.
	Headroom float64
	// DomainLossCover is the share of demand above which a failure domain's
	// reclaimable hosts may not grow without cover elsewhere: 1 covers the
	// whole loss of the largest domain, 0 covers nothing.
	DomainLossCover float64
	// MaxDomainShare bounds the share of the need that is bought reclaimable
	// in one failure domain, 0 to 1.
	MaxDomainShare float64
	// RefusalPause keeps a market out of plans after it refused a start.
	RefusalPause time.Duration
	// RestartCost is the price of one reclaim beside the host's own, in
	// hours of that host: the copy of the weights and the time to warm up.
	RestartCost float64
	// SwitchMargin is the share by which a new host must be cheaper than a
	// running one before it replaces it.
	SwitchMargin float64
}

// DefaultPolicy is the policy of the daemon.
func DefaultPolicy() Policy {
	return Policy{
		Headroom: 0, DomainLossCover: 0, MaxDomainShare: 0.5, RefusalPause: 5 * time.Minute,
		RestartCost: 0.2, SwitchMargin: 0.1,
	}
}

// Plan is what to start and stop.
type Plan struct {
	// Start holds a market for each host to start.
	Start []cloud.Market
	// Stop holds the ids of the hosts to stop.
	Stop []string
	// Want is the number of hosts wanted in each market.
	Want map[cloud.Market]int
}

// unlimited stands for a market's count of hosts that can be started.
const unlimited = math.MaxInt

// offer is a market with its price for one unit of capacity.
type offer struct {
	market   cloud.Market
	capacity float64
	// count is how many hosts can be had at this price.
	count int
	// unitPrice is the price of one capacity unit for an hour, with the
	// expected cost of reclaims.
	unitPrice float64
}

// Compute returns the cheapest plan that covers the demand, and the loss of
// the largest failure domain as far as the policy asks.
func Compute(o Observation, p Policy) Plan {
	reclaimable, onDemand := rankOffers(o, p)
	need := o.Demand * (1 + p.Headroom)
	want := cheapestMix(reclaimable, onDemand, need, p)
	if kept := keptMix(o, p, reclaimable, onDemand, need); kept.covers(want) {
		want = kept
	}
	if want == nil {
		return Plan{}
	}
	return difference(o, want.want, need)
}

// rankOffers returns the usable offers by rising unit price. Hosts that run
// are offered once more, cheaper by the switch margin, so that small changes
// of price do not replace them.
func rankOffers(o Observation, p Policy) (reclaimable, onDemand []offer) {
	have := countHosts(o.Hosts)
	add := func(ranked offer) {
		if ranked.count > 0 && ranked.market.Reclaimable {
			reclaimable = append(reclaimable, ranked)
		} else if ranked.count > 0 {
			onDemand = append(onDemand, ranked)
		}
	}
	for _, candidate := range o.Offers {
		capacity := o.Capacity[candidate.Class]
		if capacity <= 0 {
			continue
		}
		price := candidate.PricePerHour * (1 + p.RestartCost*o.Risk[candidate.Market]) / capacity
		kept := offer{market: candidate.Market, capacity: capacity, count: have[candidate.Market], unitPrice: price * (1 - p.SwitchMargin)}
		add(kept)
		refusedAt, refused := o.Refused[candidate.Market]
		if !refused || o.Now.Sub(refusedAt) >= p.RefusalPause {
			add(offer{market: candidate.Market, capacity: capacity, count: unlimited, unitPrice: price})
		}
	}
	sortOffers(reclaimable)
	sortOffers(onDemand)
	return reclaimable, onDemand
}

// countHosts counts the hosts of each market that are not leaving.
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

// mixSteps is how finely the cap on a failure domain is searched.
const mixSteps = 48

// cheapestMix searches the cap on the reclaimable capacity of one failure
// domain. For a given cap the cheapest fill is greedy, so the search over
// caps finds the cheapest mix up to its step and to whole hosts. It returns
// nil where the offers do not cover the need.
func cheapestMix(reclaimable, onDemand []offer, need float64, p Policy) *mix {
	var best *mix
	for step := 0; step <= mixSteps; step++ {
		limit := need * p.MaxDomainShare * float64(step) / mixSteps
		if m := fill(reclaimable, onDemand, need, limit, p.DomainLossCover); m.enough() && (best == nil || m.price < best.price) {
			best = m
		}
	}
	return best
}

// fill buys need plus the covered share of the largest domain's loss. A
// failure domain that has reached limit gets no more reclaimable hosts.
func fill(reclaimable, onDemand []offer, need, limit, cover float64) *mix {
	m := newMix(need, cover)
	for _, candidate := range reclaimable {
		for n := 0; n < candidate.count && !m.enough() && m.used[candidate.market.FailureDomain] < limit; n++ {
			m.add(candidate)
		}
	}
	for _, candidate := range onDemand {
		for n := 0; n < candidate.count && !m.enough(); n++ {
			m.add(candidate)
		}
	}
	return m
}

// keptMix is the hosts that run, without those that can go. It returns nil
// where they do not cover the need or exceed the bound of a failure domain.
func keptMix(o Observation, p Policy, reclaimable, onDemand []offer, need float64) *mix {
	m := newMix(need, p.DomainLossCover)
	running := 0
	for _, candidate := range append(append([]offer{}, onDemand...), reclaimable...) {
		if candidate.count == unlimited {
			continue
		}
		running += candidate.count
		for range candidate.count {
			m.add(candidate)
		}
	}
	m.trim()
	allowed := need*p.MaxDomainShare + largestHost(o.Capacity)
	if !m.enough() || m.largest > allowed || running == 0 {
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

// mix is a choice of hosts.
type mix struct {
	want map[cloud.Market]int
	// bought holds the offers in the order in which they were added.
	bought                []offer
	used                  map[string]float64 // reclaimable capacity by failure domain
	total, price, largest float64
	need, cover           float64
}

func newMix(need, cover float64) *mix {
	return &mix{want: map[cloud.Market]int{}, used: map[string]float64{}, need: need, cover: cover}
}

func (m *mix) enough() bool { return m.total >= m.need+m.cover*m.largest }

// covers says that m is usable and no dearer than other.
func (m *mix) covers(other *mix) bool {
	return m != nil && (other == nil || m.price <= other.price)
}

func (m *mix) add(o offer) {
	m.bought = append(m.bought, o)
	m.count(o, 1)
}

func (m *mix) count(o offer, n int) {
	m.want[o.market] += n
	m.total += float64(n) * o.capacity
	m.price += float64(n) * o.capacity * o.unitPrice
	if o.market.Reclaimable {
		m.used[o.market.FailureDomain] += float64(n) * o.capacity
		m.largest = 0
		for _, used := range m.used {
			m.largest = max(m.largest, used)
		}
	}
}

// trim drops the hosts that are not needed, the dearest unit first.
func (m *mix) trim() {
	sort.SliceStable(m.bought, func(i, j int) bool { return m.bought[i].unitPrice > m.bought[j].unitPrice })
	kept := m.bought[:0]
	for _, o := range m.bought {
		m.count(o, -1)
		if m.enough() {
			continue
		}
		m.count(o, 1)
		kept = append(kept, o)
	}
	m.bought = kept
}

// difference turns the wanted numbers into starts and stops. A host that is
// replaced stops when what is warm without it covers the need.
func difference(o Observation, want map[cloud.Market]int, need float64) Plan {
	plan := Plan{Want: want}
	have := countHosts(o.Hosts)
	for _, market := range sortedMarkets(want) {
		for n := have[market]; n < want[market]; n++ {
			plan.Start = append(plan.Start, market)
		}
	}
	plan.Stop = surplus(o, have, want, need)
	return plan
}

// surplus returns the hosts to stop: of the markets that hold more than is
// wanted, the cold ones and then the newest.
func surplus(o Observation, have, want map[cloud.Market]int, need float64) []string {
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
