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
	// rateSpan is the time over which a rate is averaged: longer than the
	// distance of two requests of one host, shorter than an upstream's start.
	rateSpan = 4 * time.Second
	// speedPrompt is the least prompt from which an upstream's reading speed is
	// learned: shorter ones are over before their reading shows.
	speedPrompt = 3000
	// minSpeed and maxSpeed bound one measurement, in tokens a second: a prompt
	// that waited or was cached says nothing of the speed.
	minSpeed, maxSpeed = 10000, 200000
	// speedWeight is the weight of one measurement of it.
	speedWeight = 0.1
)

// meter measures a pool's demand at this host. The zero value is ready.
type meter struct {
	mu     sync.Mutex
	tokens float64 // a second
	at     time.Time

	speed  atomic.Uint64 // bits of a float64: tokens a second
	others atomic.Int64  // tokens a second of the other hosts
	// othersSpeed is the sum of the reading speeds that the other hosts measured,
	// othersMeasured their number.
	othersSpeed, othersMeasured atomic.Int64
}

// add counts tokens that have to be read.
func (m *meter) add(tokens int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.tokens += float64(tokens) / rateSpan.Seconds()
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.tokens *= math.Exp(-float64(elapsed) / float64(rateSpan))
		m.at = now
	}
}

func (m *meter) rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.tokens
}

// read learns the reading speed from a prompt that an idle upstream has read.
func (m *meter) read(tokens int, took time.Duration) {
	if tokens < speedPrompt || took <= 0 {
		return
	}
	measured := min(max(float64(tokens)/took.Seconds(), minSpeed), maxSpeed)
	old := math.Float64frombits(m.speed.Load())
	if old > 0 {
		measured = old + speedWeight*(measured-old)
	}
	m.speed.Store(math.Float64bits(measured))
}

// readingSpeed returns the mean of the reading speeds that hosts measured, in
// tokens a second; zero where none did.
func (m *meter) readingSpeed() float64 {
	sum, measured := float64(m.othersSpeed.Load()), float64(m.othersMeasured.Load())
	if own := math.Float64frombits(m.speed.Load()); own > 0 {
		sum, measured = sum+own, measured+1
	}
	if measured == 0 {
		return 0
	}
	return sum / measured
}

// speedKey names a pool's reading speed among the loads that hosts share: the
// sum of those measured is in its unread tokens, their number in its requests.
func speedKey(pool string) uint32 { return loadshare.Key("speed/" + pool) }

// demandKey names a pool's demand among the loads that hosts share.
func demandKey(pool string) uint32 { return loadshare.Key("demand/" + pool) }

// Demand returns the load of a pool over all hosts, as far as they have told.
func (f *Forwarder) Demand(pool string) planner.Demand {
	p := f.pool(pool)
	d := planner.Demand{
		TokensPerSecond: p.demand.rate(time.Now()) + float64(p.demand.others.Load()),
		ReadPerSecond:   p.demand.readingSpeed(),
	}
	if list := f.Upstreams(); list != nil {
		v := p.view(pool, list)
		for _, h := range v.hosts {
			live := v.lives[liveKey(h)]
			d.InFlight += float64(live.InFlight() + live.Others())
			d.Slots = max(d.Slots, h.Slots)
		}
	}
	return d
}
