package forward

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/planner"
)

const (
	// rateTimeConstant is the time constant of the moving average of the demand for an
	// upstream pool. It is longer than the interval between two requests at one host
	// and shorter than the start-up time of an upstream.
	rateTimeConstant = 4 * time.Second
	// minMeasuredPrompt is the smallest prompt, in tokens, from which an upstream's
	// prompt processing speed is measured. Shorter prompts finish too early for a
	// useful measurement.
	minMeasuredPrompt = 3000
	// minSpeed and maxSpeed limit one measured prompt processing speed, in tokens per
	// second, because prompts that were queued or cached give false speeds.
	minSpeed, maxSpeed = 10000, 200000
	// speedWeight is the weight of a new measurement in the moving average of the
	// prompt processing speed.
	speedWeight = 0.1
)

// newRateMeter returns the meter of a pool's demand at this host. A window of zero means
// rateTimeConstant, with an average that grows from zero.
func newRateMeter(window time.Duration) planner.RateMeter {
	if window > 0 {
		return planner.RateMeter{Window: window, Unbiased: true}
	}
	return planner.RateMeter{Window: rateTimeConstant}
}

// demandMeter measures the demand for an upstream pool at this host and holds the
// demand that other hosts report. Its rate must be set.
type demandMeter struct {
	mu   sync.Mutex
	rate planner.RateMeter // demand at this host, in prompt tokens

	speedBits  atomic.Uint64 // measured prompt processing speed, in tokens per second, as float64 bits
	peerDemand atomic.Int64  // demand at the other hosts, in prompt tokens per second
	// peerSpeedSum is the sum of the prompt processing speeds that other hosts
	// measured, in tokens per second. peerSpeedCount is the number of these hosts.
	peerSpeedSum, peerSpeedCount atomic.Int64
}

// add counts prompt tokens that an upstream has to process.
func (m *demandMeter) add(tokens int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rate.Add(float64(tokens), now)
}

func (m *demandMeter) perSecond(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rate.Rate(now)
}

// recordPrefill updates the measured prompt processing speed. elapsed is the time in
// which an idle upstream processed a prompt of the given number of tokens.
func (m *demandMeter) recordPrefill(tokens int, elapsed time.Duration) {
	if tokens < minMeasuredPrompt || elapsed <= 0 {
		return
	}
	measured := min(max(float64(tokens)/elapsed.Seconds(), minSpeed), maxSpeed)
	old := math.Float64frombits(m.speedBits.Load())
	if old > 0 {
		measured = old + speedWeight*(measured-old)
	}
	m.speedBits.Store(math.Float64bits(measured))
}

// prefillSpeed returns the mean prompt processing speed over all hosts that measured
// one, in tokens per second; zero if none did.
func (m *demandMeter) prefillSpeed() float64 {
	sum, measured := float64(m.peerSpeedSum.Load()), float64(m.peerSpeedCount.Load())
	if own := math.Float64frombits(m.speedBits.Load()); own > 0 {
		sum, measured = sum+own, measured+1
	}
	if measured == 0 {
		return 0
	}
	return sum / measured
}

// speedKey returns the key of an upstream pool's prompt processing speed in the loads
// that hosts exchange. Under this key, PendingPromptTokens holds the sum of the measured speeds and
// InFlight the number of hosts that measured one.
func speedKey(pool string) uint32 { return loadshare.UpstreamHash("speed/" + pool) }

// demandKey returns the key of an upstream pool's demand in the loads that hosts
// exchange.
func demandKey(pool string) uint32 { return loadshare.UpstreamHash("demand/" + pool) }

// Demand returns the load of an upstream pool over all hosts, as far as the other
// hosts have reported their part.
func (f *Forwarder) Demand(pool string) planner.Demand {
	p := f.pool(pool)
	d := planner.Demand{
		TokensPerSecond:        p.demand.perSecond(time.Now()) + float64(p.demand.peerDemand.Load()),
		PrefillTokensPerSecond: p.demand.prefillSpeed(),
	}
	if list := f.Upstreams(); list != nil {
		v := p.view(pool, list)
		for _, h := range v.hosts {
			live := v.liveByKey[upstreamKey(h)]
			d.InFlight += float64(live.InFlight() + live.OthersInFlight())
			d.Slots = max(d.Slots, h.Slots)
		}
	}
	return d
}
