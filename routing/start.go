package routing

// Start is when a request is expected to start at the upstream of a pool that is free first.
type Start struct {
	// Wait is the work in front of the request there, at the pool's median rate: in tokens for prompts, in
	// answers for plain requests.
	Wait float64
	// FreeSlots and Slots are the free and all slots of the upstreams that the request may use. Slots is zero
	// if those of an upstream are not known, or if no upstream is left that works normally.
	FreeSlots, Slots int
}

// Start returns when the prompt is expected to start. What the other hosts have sent since their reports is
// left out, because about as much has been worked off meanwhile.
func (p ExpectedFinish) Start(s *Snapshot, r *Request) Start {
	loads, fixed := p.costs(s, r)
	return startOf(s, r, func(i int) (float64, bool) { return loads[i], fixed[i] < failingCost })
}

// Start returns when the plain request is expected to start, as for prompts.
func (p LeastExpectedWait) Start(s *Snapshot, r *Request) Start {
	failing := failingUpstreams(s, r.Now)
	return startOf(s, r, func(i int) (float64, bool) {
		u := &s.Upstreams[i]
		waiting := max(0, 1+u.Live.InFlight()+u.Live.OthersInFlight()-u.Slots)
		return float64(waiting) / (float64(u.Slots) * u.Live.Rate()), faultCost(u, failing[i], r.Now) == 0
	})
}

// startOf returns the least wait of the upstreams that a request may use. wait returns an upstream's wait and
// whether the upstream works normally.
func startOf(s *Snapshot, r *Request, wait func(int) (float64, bool)) Start {
	var out Start
	found := false
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !allowed(u, r) {
			continue
		}
		if u.Slots <= 0 {
			return Start{}
		}
		out.Slots += u.Slots
		out.FreeSlots += max(0, u.Slots-u.Live.InFlight()-u.Live.OthersInFlight())
		if w, ok := wait(i); ok && (!found || w < out.Wait) {
			out.Wait, found = w, true
		}
	}
	if !found {
		return Start{}
	}
	return out
}
