package planner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxReadUtilization is the share of an upstream's read throughput that is planned for. Above
	// it, prompts wait in the queue longer than it takes to read them.
	maxReadUtilization = 0.6
	// maxSlotUtilization is the share of an upstream's request slots that is planned for.
	maxSlotUtilization = 0.5
	// backlogFactor bounds the number of upstreams computed from requests in progress, as a
	// multiple of the number computed from tokens.
	backlogFactor = 1.3
	// surplusFactor multiplies the number of reclaimable upstreams, so that enough remain after the
	// loss of one failure domain in four.
	surplusFactor = 1.4
	// reserveShare is the share of a failure domain's maximum that is ordered as reclaimable
	// upstreams regardless of load, because load grows faster than new upstreams start. It applies
	// while a reclaimable upstream costs at most reservePrice, as a share of an on-demand one, and
	// is reduced in proportion above that price. Mean benchmark scores over 24 days with shares of
	// 0.34, 0.5, 0.7 and 0.9: 0.36, 0.43, 0.45 and 0.46.
	reserveShare = 0.9
	reservePrice = 0.25
	// retryShare is the share of a failure domain's maximum that is still ordered as reclaimable
	// upstreams while the platform refuses them; on-demand upstreams can use the rest.
	retryShare = 0.3
	// survivingShare is the share of the need that must survive the loss of one more failure domain
	// while reclaimable upstreams are refused somewhere. Mean benchmark scores on the sites
	// ubumwe-badges and ldpc-shared: 0.489 and 0.430 with a share of 1, 0.475 and 0.442 with 0.
	survivingShare = 0.6
	// minUpstreams is ordered regardless of load, so that one upstream can fail.
	minUpstreams = 2
)

// Demand is the load of a pool of upstreams.
type Demand struct {
	// TokensPerSecond is the rate of prompt tokens that upstreams have to read.
	TokensPerSecond float64
	// InFlight is the number of requests whose answer is not complete.
	InFlight float64
	// PrefillTokensPerSecond is the number of prompt tokens that one upstream reads per second;
	// zero if unknown.
	PrefillTokensPerSecond float64
	// Slots is the number of requests that an upstream processes at once; zero if unknown.
	Slots int
}

// Needed returns the number of upstreams that a demand requires, at least minUpstreams.
func Needed(d Demand) int {
	needed := 0.0
	if d.PrefillTokensPerSecond > 0 {
		needed = d.TokensPerSecond / (d.PrefillTokensPerSecond * maxReadUtilization)
	}
	if d.Slots > 0 {
		// Requests accumulate while upstreams are missing. Their number shows that more are needed
		// (but not how many), so their effect is bounded.
		bySlots := d.InFlight / (float64(d.Slots) * maxSlotUtilization)
		needed = max(needed, min(bySlots, backlogFactor*needed+minUpstreams))
	}
	return max(minUpstreams, int(math.Ceil(needed)))
}

// UpstreamDomain is the state of a pool in one failure domain.
type UpstreamDomain struct {
	Name string
	// Price is the price of an upstream relative to other failure domains.
	Price float64
	// Reclaimable and OnDemand are the numbers of upstreams of each kind that accept work.
	Reclaimable, OnDemand int
	// Starting is the number of on-demand upstreams that are ordered but do not accept work yet.
	Starting int
	// ReclaimableRefused and OnDemandRefused report that the platform refused more upstreams of
	// that kind recently.
	ReclaimableRefused, OnDemandRefused bool
}

// UpstreamPool is the input of PlanUpstreams.
type UpstreamPool struct {
	Domains []UpstreamDomain
	// Min and Max bound the sum of reclaimable and on-demand upstreams in each failure domain.
	Min, Max int
	// Needed is the number of upstreams that the load requires.
	Needed int
	// ReclaimablePrice is the price of a reclaimable upstream relative to an on-demand one; zero
	// if the pool has no reclaimable upstreams.
	ReclaimablePrice float64
}

// atRisk returns the number of reclaimable upstreams that the plan does not rely on. While any
// failure domain refuses reclaimable upstreams, the one with the most may be reclaimed next, and
// on-demand upstreams take longer to start than the reclaim notice lasts. The result is zero while
// no failure domain refuses.
func atRisk(p UpstreamPool, perDomain int) int {
	most, refused := 0, false
	for _, d := range p.Domains {
		most = max(most, min(d.Reclaimable, perDomain))
		refused = refused || d.ReclaimableRefused
	}
	if !refused {
		return 0
	}
	return most
}

// reserveShareAt returns the share of a failure domain's maximum that is ordered as reclaimable
// upstreams regardless of load, given their price relative to on-demand ones.
func reserveShareAt(price float64) float64 {
	return reserveShare * min(1, reservePrice/max(price, reservePrice))
}

// UpstreamOrder is the wanted number of upstreams of each kind in one failure domain.
type UpstreamOrder struct {
	Domain                string
	Reclaimable, OnDemand int
}

// PlanUpstreams spreads reclaimable upstreams evenly over the failure domains, with a surplus,
// since all of them in a failure domain are reclaimed together. It orders on-demand upstreams only
// for the load that the running reclaimable ones do not cover, cheapest failure domain first.
// Needed on-demand upstreams that run or start already are kept until reclaimable ones serve in
// their place, because an order that moves between failure domains never completes a start.
func PlanUpstreams(p UpstreamPool) []UpstreamOrder {
	orders := make([]UpstreamOrder, len(p.Domains))
	if len(orders) == 0 {
		return orders
	}
	perDomain := reclaimablePerDomain(p)
	missing := p.Needed
	for i, d := range p.Domains {
		reclaimable := perDomain
		if d.ReclaimableRefused { // leave room for on-demand upstreams, but retry some reclaimable ones
			reclaimable = min(perDomain, max(d.Reclaimable, int(retryShare*float64(p.Max))))
		}
		orders[i] = UpstreamOrder{Domain: d.Name, Reclaimable: reclaimable, OnDemand: max(0, p.Min-reclaimable)}
		missing -= min(d.Reclaimable, perDomain) + orders[i].OnDemand
	}
	missing = max(missing, missing+atRisk(p, perDomain)-int((1-survivingShare)*float64(p.Needed)))
	byPrice := domainsByPrice(p.Domains)
	missing = keepOnDemand(p, orders, byPrice, perDomain, missing)
	for _, i := range byPrice {
		if d, o := p.Domains[i], &orders[i]; !d.OnDemandRefused {
			added := max(0, min(p.Max-o.Reclaimable-o.OnDemand, missing))
			o.OnDemand += added
			missing -= added
		}
	}
	// If load is still uncovered, failure domains that refuse reclaimable upstreams order on-demand
	// ones instead. They still order the running reclaimable upstreams and at least one, which
	// retries the refused order.
	for _, i := range byPrice {
		if d, o := p.Domains[i], &orders[i]; d.ReclaimableRefused && !d.OnDemandRefused {
			added := max(0, min(o.Reclaimable-max(1, d.Reclaimable), missing))
			o.Reclaimable -= added
			o.OnDemand += added
			missing -= added
		}
	}
	return orders
}

// reclaimablePerDomain returns the wanted number of reclaimable upstreams in a failure domain.
func reclaimablePerDomain(p UpstreamPool) int {
	if p.ReclaimablePrice <= 0 || p.ReclaimablePrice >= 1 {
		return 0
	}
	perDomain := int(math.Ceil(surplusFactor * float64(p.Needed) / float64(len(p.Domains))))
	return min(max(perDomain, p.Min, int(reserveShareAt(p.ReclaimablePrice)*float64(p.Max))), p.Max)
}

// domainsByPrice returns the indexes of the failure domains by ascending price.
func domainsByPrice(domains []UpstreamDomain) []int {
	order := make([]int, len(domains))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(domains[a].Price, domains[b].Price) })
	return order
}

// keepOnDemand adds the running and then the starting on-demand upstreams to the orders, up to the
// missing number, and returns the number still missing. To stay within the maximum of a failure
// domain, it reduces the order for reclaimable upstreams that do not serve yet.
func keepOnDemand(p UpstreamPool, orders []UpstreamOrder, byPrice []int, perDomain, missing int) int {
	for _, starting := range []bool{false, true} {
		for _, i := range byPrice {
			d, o := p.Domains[i], &orders[i]
			existing := d.OnDemand
			if starting {
				existing += d.Starting
			}
			room := min(p.Max-min(d.Reclaimable, perDomain)-o.OnDemand, existing-o.OnDemand)
			added := max(0, min(room, missing))
			o.OnDemand += added
			o.Reclaimable = min(o.Reclaimable, p.Max-o.OnDemand)
			missing -= added
		}
	}
	return missing
}
