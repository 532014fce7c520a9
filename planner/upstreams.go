package planner

import (
	"cmp"
	"slices"
)

// UpstreamDomain is what is known of a pool in one failure domain.
type UpstreamDomain struct {
	Name string
	// Price is the relative price of an upstream there.
	Price float64
	// Reclaimable and Steady are the upstreams that take work.
	Reclaimable, Steady int
	// ReclaimableRefused and SteadyRefused say that the last order for more was
	// refused and none are to be had for now.
	ReclaimableRefused, SteadyRefused bool
}

// UpstreamPool is the input of PlanUpstreams.
type UpstreamPool struct {
	Domains []UpstreamDomain
	// Min and Max bound the upstreams of both kinds in each failure domain.
	Min, Max int
	// Wanted is how many upstreams carry the load.
	Wanted int
	// ReclaimablePrice is the price of a reclaimable upstream relative to another.
	ReclaimablePrice float64
}

// UpstreamOrder is the wanted number in one failure domain.
type UpstreamOrder struct {
	Domain      string
	Reclaimable int
	Steady      int
}

// PlanUpstreams spreads reclaimable upstreams evenly over the failure domains,
// since all of a domain are taken away together, and makes up for domains that
// have none to give: first by reclaimable ones elsewhere, then by steady ones
// where they are cheapest. Steady upstreams beyond that are given up only as
// reclaimable ones take their place.
func PlanUpstreams(p UpstreamPool) []UpstreamOrder {
	if len(p.Domains) == 0 {
		return nil
	}
	orders := make([]UpstreamOrder, len(p.Domains))
	each := (p.Wanted + len(p.Domains) - 1) / len(p.Domains)
	missing := 0
	for i, d := range p.Domains {
		orders[i].Domain = d.Name
		orders[i].Reclaimable = min(max(each, p.Min), p.Max)
		if p.ReclaimablePrice <= 0 || p.ReclaimablePrice >= 1 {
			orders[i].Reclaimable, orders[i].Steady = 0, orders[i].Reclaimable
			continue
		}
		missing += max(0, orders[i].Reclaimable-d.Reclaimable)
	}
	if p.ReclaimablePrice <= 0 || p.ReclaimablePrice >= 1 {
		return orders
	}
	cheapest := make([]int, len(p.Domains))
	for i := range cheapest {
		cheapest[i] = i
	}
	slices.SortStableFunc(cheapest, func(a, b int) int { return cmp.Compare(p.Domains[a].Price, p.Domains[b].Price) })
	missing -= extraReclaimable(p, orders, cheapest)
	// Steady upstreams that are there already stay while they are needed; more
	// are ordered for what no reclaimable one can be had.
	for _, keepOnly := range []bool{true, false} {
		for _, i := range cheapest {
			d := p.Domains[i]
			room := p.Max - max(d.Reclaimable, 0) - orders[i].Steady
			if keepOnly {
				room = min(room, d.Steady)
			} else if d.SteadyRefused || !anyRefused(p) {
				continue
			}
			take := max(0, min(room, missing))
			orders[i].Steady += take
			missing -= take
		}
	}
	return orders
}

// extraReclaimable orders more in domains that still have some to give and
// returns how many.
func extraReclaimable(p UpstreamPool, orders []UpstreamOrder, cheapest []int) int {
	lost := 0
	for i, d := range p.Domains {
		if d.ReclaimableRefused {
			lost += max(0, orders[i].Reclaimable-d.Reclaimable)
		}
	}
	extra := 0
	for _, i := range cheapest {
		if lost == 0 || p.Domains[i].ReclaimableRefused {
			continue
		}
		take := min(lost, p.Max-orders[i].Reclaimable)
		orders[i].Reclaimable += take
		lost -= take
		extra += max(0, min(take, p.Domains[i].Reclaimable-(orders[i].Reclaimable-take)))
	}
	return extra
}

func anyRefused(p UpstreamPool) bool {
	return slices.ContainsFunc(p.Domains, func(d UpstreamDomain) bool { return d.ReclaimableRefused })
}
