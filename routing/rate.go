package routing

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rateDecay is the time constant with which measurements of an upstream's rate lose weight. Without
	// new measurements the rate returns to the pool's median, so that a recovered upstream is tried again.
	rateDecay = 10 * time.Second
	// maxRateRatio bounds an upstream's rate to this multiple of the pool's median, and to its inverse.
	maxRateRatio = 4
	// ratePriorWeight is the weight of the pool's median in an upstream's rate, in measurements. A few
	// slow answers change the rate only a little.
	ratePriorWeight = 4
	// minReferenceSamples is the number of answers of one class that are needed before further answers
	// are compared with them.
	minReferenceSamples = 4
	// maxReferenceSamples bounds the weight of the past in a class's typical logarithm.
	maxReferenceSamples = 50
)

const (
	// rateCycle is how often a host publishes its new measurements of an upstream, and ratePublication
	// how long they stay in its load digests. Hosts exchange digests every 80 to 400 ms, so that each
	// publication reaches all of them. The time within the cycle depends on the upstream, and all hosts
	// use the same one, so that a quarter of the upstreams is in the digests at any time.
	rateCycle       = 3600 * time.Millisecond
	ratePublication = 900 * time.Millisecond
)

// RateReference holds the typical speed of a pool's answers, as a logarithm, for each class of requests
// that are comparable, for example by size and by the load of the upstream. Only the difference between an
// answer and others of its class tells an upstream's rate: queueing, fixed overheads and errors of the
// expected work are the same within a class. The zero value is ready to use. Concurrent use is safe: if two
// writers collide, one update is lost, which is harmless.
type RateReference struct {
	classes [RateClasses]struct{ mean, count atomic.Uint64 }
}

// Compare returns by how much the logarithm of an answer's speed differs from that of other answers of its
// class, and includes the answer in the class. It returns false while too few answers are known.
func (r *RateReference) Compare(class int, logSpeed float64) (deviation float64, ok bool) {
	c := &r.classes[class%RateClasses]
	mean, count := math.Float64frombits(c.mean.Load()), c.count.Load()
	deviation = logSpeed - mean
	if ok = count >= minReferenceSamples; ok {
		deviation = clampLog(deviation)
	}
	if count < maxReferenceSamples {
		count++
		c.count.Store(count)
	}
	c.mean.Store(math.Float64bits(mean + deviation/float64(count)))
	return deviation, ok
}

// clampLog limits a logarithm of a ratio to maxRateRatio and its inverse.
func clampLog(x float64) float64 {
	limit := math.Log(maxRateRatio)
	return min(max(x, -limit), limit)
}

// RateEvidence is a weighted sum of deviations, as logarithms, and the sum of the weights.
type RateEvidence struct{ Sum, Weight float64 }

func (e *RateEvidence) add(o RateEvidence, factor float64) {
	e.Sum += factor * o.Sum
	e.Weight += factor * o.Weight
}

// RateMeter measures the rate of one run of an upstream relative to its pool, from the answers to this host
// and from the measurements that other hosts publish. The zero value is ready to use.
type RateMeter struct {
	mu       sync.Mutex
	evidence RateEvidence // from all hosts, decaying
	at       time.Time    // to which evidence has decayed
	peersAt  time.Time    // when evidence of other hosts was received last
	unshared RateEvidence // from this host, since the last publication
	shared   RateEvidence // the last publication
	cycle    int64        // number of the cycle of the last publication
	reported float64      // rate that was logged last; zero if none
}

// Reported returns the rate that was logged last, relative to the pool's median; 1 before the first one.
func (m *RateMeter) Reported() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reported == 0 {
		return 1
	}
	return m.reported
}

// SetReported stores the rate that was logged last.
func (m *RateMeter) SetReported(rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported = rate
}

// Add includes the deviation of one answer to this host.
func (m *RateMeter) Add(deviation, weight float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	sample := RateEvidence{Sum: weight * deviation, Weight: weight}
	m.evidence.add(sample, 1)
	m.unshared.add(sample, 1)
}

// AddPeers includes the sum of what the other hosts publish at the moment. A publication is received
// several times. Each time counts by the part of the publication's duration that has passed since the
// last call, so that all of them together count once.
func (m *RateMeter) AddPeers(sum RateEvidence, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.peersAt)
	m.peersAt = now
	if sum.Weight <= 0 || elapsed <= 0 {
		return
	}
	m.decay(now)
	m.evidence.add(sum, min(1, float64(elapsed)/float64(ratePublication)))
}

// Publish returns this host's measurements for its load digest. It returns false outside the time within
// the cycle that key selects, and if there are no new measurements.
func (m *RateMeter) Publish(key uint32, now time.Time) (RateEvidence, bool) {
	at := now.UnixMilli() + int64(key)%rateCycle.Milliseconds()
	if at%rateCycle.Milliseconds() >= ratePublication.Milliseconds() {
		return RateEvidence{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if cycle := at / rateCycle.Milliseconds(); cycle != m.cycle {
		m.cycle, m.shared, m.unshared = cycle, m.unshared, RateEvidence{}
	}
	return m.shared, m.shared.Weight > 0
}

// Log returns the logarithm of the upstream's rate relative to the pool's typical answers, and the weight
// of the measurements that it is based on.
func (m *RateMeter) Log(now time.Time) (log, weight float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return clampLog(m.evidence.Sum / (m.evidence.Weight + ratePriorWeight)), m.evidence.Weight
}

func (m *RateMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(rateDecay))
		m.evidence.Sum *= factor
		m.evidence.Weight *= factor
		m.at = now
	}
}

// RelativeRates converts the logarithms of the rates of a pool's upstreams to multiples of their median.
func RelativeRates(logs []float64) []float64 {
	if len(logs) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(logs))
	median := sorted[(len(sorted)-1)/2]
	out := make([]float64, 0, len(logs))
	for _, x := range logs {
		out = append(out, math.Exp(clampLog(x-median)))
	}
	return out
}

// Rate returns the upstream's rate as a multiple of the median of its pool; 1 if none is known.
func (l *UpstreamStats) Rate() float64 {
	if bits := l.rateBits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// SetRate stores the upstream's rate as a multiple of the median of its pool; zero means unknown.
func (l *UpstreamStats) SetRate(rate float64) { l.rateBits.Store(math.Float64bits(rate)) }
