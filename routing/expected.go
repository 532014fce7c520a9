package routing

import (
	"cmp"
	"math"
	"slices"
)

const (
	// nearShare is how far, as a part of the lowest cost, the cost of another upstream may be above it so
	// that the upstream is chosen as well. Hosts see sums of each other's load that are up to 0.4 s old;
	// without a random choice, all of them would choose the same upstream.
	nearShare = 0.1
	// foreignDomainCost is the cost of an upstream in another failure domain, in requests.
	foreignDomainCost = 0.5
)

// ExpectedFinish chooses the upstream that is expected to finish reading the prompt first, as Prefill does,
// and takes into account that upstreams read at different rates. Costs are in tokens at the pool's median
// rate.
type ExpectedFinish struct {
	Prefill
	// Held returns the number of leading tokens of the prompt that an upstream holds in its cache; nil
	// means that the assumptions of Prefill are used.
	Held func(id string) int
	// CopySurcharge is the additional cost of reading a token again that another upstream holds, as a
	// multiple of reading it; see DefaultCopySurcharge. It is used with Held only.
	CopySurcharge float64
	// Arrived is the work, in tokens, that the other hosts are expected to have sent to the pool since the
	// loads that they report; zero if the reports are current.
	Arrived float64
}

// Pick returns the allowed upstream with the lowest expected cost, or one at random of those that are expected
// to hold as much of the prompt. The cost of an upstream with little load includes the load that other hosts
// are expected to have sent there since their reports.
func (p ExpectedFinish) Pick(s *Snapshot, r *Request, random uint64) Choice {
	held, known := p.held(s, r)
	loads, fixed := p.costs(s, r)
	rate := func(i int) float64 { return s.Upstreams[i].Live.Rate() }
	most, weighed := 0.0, false // the most that an upstream holds, and whether that is known
	for i := range held {
		most, weighed = max(most, held[i]), weighed || p.Held != nil && known[i]
	}
	if weighed && int(most) < p.Shared {
		p.preferByHash(s, r, fixed, float64(p.Shared)-most)
	}
	cost := func(i int, held float64) float64 {
		surcharge := rereadSurcharge * max(0, float64(p.Shared)-held)
		if weighed {
			surcharge = float64(CopyCost(int(most-held), p.Tokens-int(most), p.CopySurcharge, loads[i] == 0))
		}
		return loads[i] + (float64(p.Tokens)-held+surcharge)/rate(i) + fixed[i]
	}
	level := 0.0
	if !weighed { // the surcharge for copies keeps prompts from upstreams that only look idle
		level = fillLevel(loads, p.Arrived, rate)
	}
	best, least := -1, math.Inf(1)
	for i := range loads {
		if c := cost(i, held[i]) + max(0, level-loads[i]); c < least {
			best, least = i, c
		}
	}
	if best < 0 {
		return noChoice
	}
	alike := make([]float64, len(loads)) // costs if each upstream held as much as best
	for i := range alike {
		alike[i] = cost(i, held[best])
	}
	margin := max(nearShare*min(alike[best], noSlotCost), runningCost)
	index := pickNear(alike, best, margin, p.Arrived, rate, &random, func(i int) bool {
		return known[i] == known[best] && math.Abs(held[i]-held[best]) <= nearShare*float64(p.Tokens)
	})
	c := Choice{Index: index, Reason: ReasonLoad, PrefillTokens: p.Tokens}
	if known[index] {
		c.Reason = ReasonAffinity
		c.PrefillTokens -= int(held[index])
	}
	if alike[index] >= failingCost {
		c.Reason = ReasonLastResort
	}
	return c
}

// preferByHash lowers the costs of the first two upstreams in the hash order of a prompt of which no upstream
// holds the last unheld shared tokens, as much as in Prefill, so that all hosts let the same upstreams read
// them.
func (p ExpectedFinish) preferByHash(s *Snapshot, r *Request, fixed []float64, unheld float64) {
	first, second := p.preferredTwo(s, r)
	if first >= 0 {
		fixed[first] -= firstCachedShare * (1 + rereadSurcharge) * unheld
	}
	if second >= 0 {
		fixed[second] -= secondCachedShare * (1 + rereadSurcharge) * unheld
	}
}

// costs returns, for each upstream, the time to work off its load and the costs that do not depend on the
// prompt, in tokens at the pool's median rate. The load of an upstream that is not allowed is infinite.
func (p ExpectedFinish) costs(s *Snapshot, r *Request) (loads, fixed []float64) {
	short := shortCount(len(s.Upstreams), p.ShortShare)
	failing := failingUpstreams(s, r.Now)
	loads, fixed = make([]float64, len(s.Upstreams)), make([]float64, len(s.Upstreams))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !allowed(u, r) {
			loads[i] = math.Inf(1)
			continue
		}
		load := float64(u.Live.Backlog())
		if u.Slots > 0 && u.Live.InFlight()+u.Live.OthersInFlight() >= u.Slots {
			load += noSlotCost
		}
		loads[i] = load / u.Live.Rate()
		if s.layout != nil && (s.layout.rank[i] < short) != (p.Tokens <= ShortPrompt) {
			fixed[i] = crossPartCost
		}
		fixed[i] += float64(faultCost(u, failing[i], r.Now))
	}
	return loads, fixed
}

// held returns, for each upstream, how many tokens of the prompt it is expected to hold, and whether that is
// known. If it is known of no upstream that the request may use, the first two upstreams in the hash order
// of the prompt are assumed to hold a part of it, as in Prefill.
func (p ExpectedFinish) held(s *Snapshot, r *Request) (tokens []float64, known []bool) {
	tokens, known = make([]float64, len(s.Upstreams)), make([]bool, len(s.Upstreams))
	anywhere := false
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		switch {
		case !allowed(u, r):
			continue
		case p.Held != nil:
			tokens[i] = float64(min(max(p.Held(u.ID), 0), p.Tokens))
			known[i] = tokens[i] > 0
		case p.Cached != nil && p.Cached(u.ID):
			tokens[i], known[i] = sentCachedShare*float64(p.Shared), true
		}
		anywhere = anywhere || known[i]
	}
	if anywhere {
		return tokens, known
	}
	first, second := p.preferredTwo(s, r)
	if first >= 0 {
		tokens[first] = firstCachedShare * float64(p.Shared)
	}
	if second >= 0 {
		tokens[second] = secondCachedShare * float64(p.Shared)
	}
	return tokens, known
}

// LeastExpectedWait chooses the upstream whose requests in flight, from all hosts, are the fewest in
// relation to its slots and its rate. Among equals it prefers one in the sender's failure domain.
type LeastExpectedWait struct {
	// Domain is the failure domain of the sending host.
	Domain string
	// Arrived is as in ExpectedFinish, in requests.
	Arrived float64
}

// Pick returns one of the allowed upstreams whose cost is close to the lowest one.
func (p LeastExpectedWait) Pick(s *Snapshot, r *Request, random uint64) Choice {
	most := 1
	for i := range s.Upstreams {
		most = max(most, s.Upstreams[i].Slots)
	}
	capacity := func(i int) float64 {
		u := &s.Upstreams[i]
		if u.Slots > 0 {
			return float64(u.Slots) * u.Live.Rate()
		}
		return float64(most) * u.Live.Rate()
	}
	failing := failingUpstreams(s, r.Now)
	costs := make([]float64, len(s.Upstreams))
	best := -1
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		costs[i] = math.Inf(1)
		if !allowed(u, r) {
			continue
		}
		requests := float64(1 + u.Live.InFlight() + u.Live.OthersInFlight())
		if u.FailureDomain != p.Domain {
			requests += foreignDomainCost
		}
		costs[i] = requests/capacity(i) + float64(faultCost(u, failing[i], r.Now))
		if best < 0 || costs[i] < costs[best] {
			best = i
		}
	}
	if best < 0 {
		return noChoice
	}
	index := pickNear(costs, best, nearShare*costs[best], p.Arrived, capacity, &random, func(int) bool { return true })
	if costs[index] >= failingCost {
		return Choice{Index: index, Reason: ReasonLastResort}
	}
	return Choice{Index: index, Reason: ReasonLoad}
}

// pickNear chooses at random among the upstreams whose cost is below a level and for which eligible returns
// true. An upstream's weight is the work that it takes until its cost reaches the level. The level is such
// that all upstreams together take the given work, which the other hosts are expected to have sent since they
// reported their loads, and at least margin above the lowest cost of an eligible upstream.
func pickNear(costs []float64, best int, margin, arrived float64, capacity func(int) float64, random *uint64, eligible func(int) bool) int {
	if costs[best] >= failingCost {
		return best
	}
	least := costs[best]
	for i, cost := range costs {
		if eligible(i) {
			least = min(least, cost)
		}
	}
	level := max(fillLevel(costs, arrived, capacity), least+margin)
	weights := make([]float64, len(costs))
	total := 0.0
	for i, cost := range costs {
		if cost < level && eligible(i) {
			weights[i] = (level - cost) * capacity(i)
			total += weights[i]
		}
	}
	const precision = 1 << 53
	draw := total * float64(nextRandom(random)>>11) / precision
	for i, weight := range weights {
		if draw -= weight; draw < 0 {
			return i
		}
	}
	return best
}

// fillLevel returns the cost that all upstreams below it reach when work is distributed so that the upstreams
// with the lowest costs get it first.
func fillLevel(costs []float64, work float64, capacity func(int) float64) float64 {
	order := make([]int, 0, len(costs))
	for i, cost := range costs {
		if cost < failingCost {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	level, room := 0.0, 0.0
	for at, i := range order {
		level = costs[i]
		room += capacity(i)
		if at == len(order)-1 {
			break
		}
		step := (costs[order[at+1]] - level) * room
		if step >= work {
			break
		}
		work -= step
	}
	if room > 0 {
		level += work / room
	}
	return level
}
