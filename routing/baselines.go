package routing

// RoundRobin takes the upstreams by turns.
type RoundRobin struct{}

// Pick implements Policy.
func (RoundRobin) Pick(s *Snapshot, r *Request, _ uint64) Choice {
	n := len(s.Upstreams)
	for i := range n {
		index := int((r.Sequence + uint64(i)) % uint64(n))
		if allowed(&s.Upstreams[index], r) {
			return Choice{Index: index, Reason: ReasonLoad}
		}
	}
	return noChoice
}

// LeastInFlight takes the upstream with the fewest streams.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(s *Snapshot, r *Request, random uint64) Choice {
	n := len(s.Upstreams)
	if n == 0 {
		return noChoice
	}
	best := noChoice
	offset := pick(&random, n)
	for i := range n {
		index := (offset + i) % n
		u := &s.Upstreams[index]
		if allowed(u, r) && (best.Index < 0 || u.load() < s.Upstreams[best.Index].load()) {
			best = Choice{Index: index, Reason: ReasonLoad}
		}
	}
	return best
}

// TwoChoices takes the less loaded of two random upstreams.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(s *Snapshot, r *Request, random uint64) Choice {
	n := len(s.Upstreams)
	if n == 0 {
		return noChoice
	}
	a, b := pick(&random, n), pick(&random, n)
	first, second := &s.Upstreams[a], &s.Upstreams[b]
	switch okA, okB := allowed(first, r), allowed(second, r); {
	case okA && (!okB || first.load() <= second.load()):
		return Choice{Index: a, Reason: ReasonLoad}
	case okB:
		return Choice{Index: b, Reason: ReasonLoad}
	default:
		return RoundRobin{}.Pick(s, r, random)
	}
}
