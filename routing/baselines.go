package routing

// RoundRobin chooses the upstreams in turn, by the sequence number of the
// request.
type RoundRobin struct{}

// Pick returns the first allowed upstream from the position that the request's
// sequence number selects.
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

// LeastInFlight chooses the upstream with the fewest streams in flight.
type LeastInFlight struct{}

// Pick compares all allowed upstreams. A random start position breaks ties.
func (LeastInFlight) Pick(s *Snapshot, r *Request, random uint64) Choice {
	n := len(s.Upstreams)
	if n == 0 {
		return noChoice
	}
	best := noChoice
	offset := randomBelow(&random, n)
	for i := range n {
		index := (offset + i) % n
		u := &s.Upstreams[index]
		if allowed(u, r) && (best.Index < 0 || u.load() < s.Upstreams[best.Index].load()) {
			best = Choice{Index: index, Reason: ReasonLoad}
		}
	}
	return best
}

// TwoChoices chooses the less loaded of two random upstreams.
type TwoChoices struct{}

// Pick compares two random upstreams. If neither is allowed, it falls back to
// RoundRobin.
func (TwoChoices) Pick(s *Snapshot, r *Request, random uint64) Choice {
	n := len(s.Upstreams)
	if n == 0 {
		return noChoice
	}
	a, b := randomBelow(&random, n), randomBelow(&random, n)
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
