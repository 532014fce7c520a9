package routing

const (
	// loadBound is the multiple of the pool's mean load up to which an upstream
	// is chosen by prefix affinity. The load is a number of streams.
	loadBound = 1.25
	// loadSlack is the number of streams added to each multiple of the mean load.
	loadSlack = 1
	// shortBorrowFactor and longBorrowFactor are the multiples of the mean load
	// above which short and long work use an upstream that is reserved for the
	// other kind.
	shortBorrowFactor = 1
	longBorrowFactor  = 1.5
	// maxRingSteps is the maximum number of hash ring points examined for one
	// request.
	maxRingSteps = 12
	// scanLimit is the largest pool in which all upstreams are compared.
	scanLimit = 32
	// sampleCount is the number of random upstreams compared in a pool larger
	// than scanLimit.
	sampleCount = 8
)

// Adaptive sends requests with a common prompt prefix to the same upstream while
// the load of that upstream is bounded. It reserves part of the pool for long
// work and avoids stragglers, which are unusually slow upstreams. The zero value
// enables all three mechanisms.
type Adaptive struct {
	NoAffinity           bool
	NoSeparation         bool
	NoStragglerAvoidance bool
}

// Pick chooses by prefix affinity if it can, otherwise the least loaded suitable
// upstream. When the upstreams for this kind of work are full, it considers those
// for the other kind, and as a last resort every allowed upstream.
func (p Adaptive) Pick(s *Snapshot, r *Request, random uint64) Choice {
	if len(s.Upstreams) == 0 {
		return noChoice
	}
	if !p.NoAffinity && (!r.Long || p.NoSeparation) {
		if choice := p.pickByPrefix(s, r); choice.Index >= 0 {
			return choice
		}
	}
	borrowLoad := shortBorrowFactor * s.MeanLoad
	if r.Long {
		borrowLoad = longBorrowFactor * s.MeanLoad
	}
	choice := p.leastLoaded(s, r, random)
	if choice.Index >= 0 && s.Upstreams[choice.Index].load() <= int(borrowLoad)+loadSlack {
		return choice
	}
	// The upstreams for this kind of work are full, so those for the other kind
	// are considered too.
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

// pickByPrefix follows the hash ring from the request's prompt prefix to the
// first suitable upstream whose load is within the bound.
func (p Adaptive) pickByPrefix(s *Snapshot, r *Request) Choice {
	key, ok := affinityKey(s, r)
	if !ok {
		return noChoice
	}
	ring := s.layout.points()
	bound := int(loadBound*s.MeanLoad) + loadSlack
	start := s.layout.ringStart(key)
	for step := range maxRingSteps {
		index := int(ring[(start+step)%len(ring)].index)
		if p.suitable(s, r, index) && s.Upstreams[index].load() <= bound {
			return Choice{Index: index, Reason: ReasonAffinity}
		}
	}
	return noChoice
}

// affinityKey returns the digest of the shortest prompt prefix that is not shared
// by too many requests, or false if there is none.
func affinityKey(s *Snapshot, r *Request) (uint64, bool) {
	for _, block := range r.Blocks {
		if !s.Hot.Has(block) {
			return block, true
		}
	}
	return 0, false
}

// suitable reports whether the upstream is allowed and fits the request.
// Stragglers, upstreams in AvoidDomain and upstreams reserved for the other kind
// of work do not fit. An upstream that is likely to be reclaimed does not fit
// long work.
func (p Adaptive) suitable(s *Snapshot, r *Request, index int) bool {
	u := &s.Upstreams[index]
	switch {
	case !allowed(u, r):
		return false
	case !p.NoStragglerAvoidance && u.Slow(r.Now):
		return false
	case u.ReclaimLikely && r.Long:
		return false
	case u.FailureDomain == r.AvoidDomain && r.AvoidDomain != "":
		return false
	case p.NoSeparation || s.longFirst == 0:
		return true
	default:
		return s.servesLongFirst(index) == r.Long
	}
}

// leastLoaded returns the least loaded suitable upstream. It compares all
// upstreams of a small pool and a random sample of a large one.
func (p Adaptive) leastLoaded(s *Snapshot, r *Request, random uint64) Choice {
	n := len(s.Upstreams)
	best := noChoice
	count := n
	offset := randomBelow(&random, n)
	if n > scanLimit {
		count = sampleCount
	}
	for i := range count {
		index := (offset + i) % n
		if n > scanLimit {
			index = randomBelow(&random, n)
		}
		if !p.suitable(s, r, index) {
			continue
		}
		if best.Index < 0 || s.Upstreams[index].load() < s.Upstreams[best.Index].load() {
			best = Choice{Index: index, Reason: ReasonLoad}
		}
	}
	return best
}
