package routing

const (
	// loadBound is the multiple of the mean load up to which prefix affinity wins.
	loadBound = 1.25
	// loadSlack is added to the bound, in streams.
	loadSlack = 1
	// shortSpill and longSpill are the multiples of the mean load from which
	// short and long work borrow an upstream that serves the other kind first.
	shortSpill = 1
	longSpill  = 1.5
	// maxRingSteps bounds the points of the ring that one request looks at.
	maxRingSteps = 12
	// scanLimit is the pool size up to which every upstream is compared.
	scanLimit = 32
	// samples is the number of random candidates in a larger pool.
	samples = 8
)

// Adaptive keeps shared prefixes together with bounded load, gives long work a
// part of the pool, and steers away from stragglers. The zero value has every
// mechanism on.
type Adaptive struct {
	NoAffinity   bool
	NoSeparation bool
	NoStragglers bool
}

// Pick implements Policy.
func (p Adaptive) Pick(s *Snapshot, r *Request, random uint64) Choice {
	if len(s.Upstreams) == 0 {
		return noChoice
	}
	if !p.NoAffinity && (!r.Long || p.NoSeparation) {
		if choice := p.affine(s, r); choice.Index >= 0 {
			return choice
		}
	}
	spill := shortSpill * s.MeanLoad
	if r.Long {
		spill = longSpill * s.MeanLoad
	}
	choice := p.leastLoaded(s, r, random)
	if choice.Index >= 0 && s.Upstreams[choice.Index].load() <= int(spill)+loadSlack {
		return choice
	}
	// The part of the pool for this kind of work is full: borrow from the other.
	p.NoSeparation = true
	if choice := p.leastLoaded(s, r, random); choice.Index >= 0 {
		return Choice{Index: choice.Index, Reason: ReasonBorrowed}
	}
	choice = LeastInFlight{}.Pick(s, r, random)
	if choice.Index >= 0 {
		choice.Reason = ReasonLastResort
	}
	return choice
}

// affine follows the ring from the request's prefix to the first upstream
// whose load is within the bound.
func (p Adaptive) affine(s *Snapshot, r *Request) Choice {
	key, ok := affinityKey(s, r)
	if !ok {
		return noChoice
	}
	ring := s.layout.points()
	bound := int(loadBound*s.MeanLoad) + loadSlack
	start := s.layout.start(key)
	for step := range maxRingSteps {
		index := int(ring[(start+step)%len(ring)].index)
		if p.suits(s, r, index) && s.Upstreams[index].load() <= bound {
			return Choice{Index: index, Reason: ReasonAffinity}
		}
	}
	return noChoice
}

// affinityKey returns the shortest prefix that is not shared too widely.
func affinityKey(s *Snapshot, r *Request) (uint64, bool) {
	for _, block := range r.Blocks {
		if !s.Hot.Has(block) {
			return block, true
		}
	}
	return 0, false
}

// suits says whether the upstream is a good place for the request.
func (p Adaptive) suits(s *Snapshot, r *Request, index int) bool {
	u := &s.Upstreams[index]
	switch {
	case !allowed(u, r):
		return false
	case !p.NoStragglers && u.Slow(r.Now):
		return false
	case u.Risky && r.Long:
		return false
	case u.FailureDomain == r.AvoidDomain && r.AvoidDomain != "":
		return false
	case p.NoSeparation || s.long == 0:
		return true
	default:
		return s.forLong(index) == r.Long
	}
}

// leastLoaded compares every upstream of a small pool and some of a large one.
func (p Adaptive) leastLoaded(s *Snapshot, r *Request, random uint64) Choice {
	n := len(s.Upstreams)
	best := noChoice
	count := n
	offset := pick(&random, n)
	if n > scanLimit {
		count = samples
	}
	for i := range count {
		index := (offset + i) % n
		if n > scanLimit {
			index = pick(&random, n)
		}
		if !p.suits(s, r, index) {
			continue
		}
		if best.Index < 0 || s.Upstreams[index].load() < s.Upstreams[best.Index].load() {
			best = Choice{Index: index, Reason: ReasonLoad}
		}
	}
	return best
}
