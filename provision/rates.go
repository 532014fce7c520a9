package provision

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/membership"
)

const (
	// minRateInterval is the shortest time between two messages of a host.
	minRateInterval = time.Second
	// rateSpacing is the time between two messages that a candidate gets, in
	// the mean: hosts send less often when there are more of them.
	rateSpacing = 100 * time.Millisecond
	// rateIntervals is after how many intervals without a message a host's
	// rate is not known any more.
	rateIntervals = 4
)

// rateInterval returns the time between two messages of a host.
func rateInterval(members int) time.Duration {
	return max(minRateInterval, time.Duration(members)*rateSpacing)
}

// rate is what one entry host generates for a pool.
type rate struct {
	Host            string  `cbor:"1,keyasint"`
	Pool            string  `cbor:"2,keyasint"`
	TokensPerSecond float64 `cbor:"3,keyasint"`
}

// sample is a count of tokens at a time.
type sample struct {
	at     time.Time
	tokens int64
}

// since returns the rate between two samples, in tokens a second.
func (s sample) since(before sample) float64 {
	span := s.at.Sub(before.at).Seconds()
	if span <= 0 {
		return 0
	}
	return float64(s.tokens-before.tokens) / span
}

// heard is a host's rate with the time of its message on our clock.
type heard struct {
	tokensPerSecond float64
	at              time.Time
}

// rates holds the newest rate of each host, by pool. The zero value is ready.
type rates struct {
	mu     sync.Mutex
	byPool map[string]map[string]heard
}

// note keeps a rate.
func (r *rates) note(m rate, now time.Time) {
	if m.TokensPerSecond < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPool == nil {
		r.byPool = map[string]map[string]heard{}
	}
	if r.byPool[m.Pool] == nil {
		r.byPool[m.Pool] = map[string]heard{}
	}
	r.byPool[m.Pool][m.Host] = heard{tokensPerSecond: m.TokensPerSecond, at: now}
}

// complete says whether every usable member's rate is known. While it is not,
// the sum would be too low and stop hosts that are needed.
func (r *rates) complete(pool string, view *membership.View, now time.Time) bool {
	usable := view.Usable()
	known := r.known(pool, view, now)
	return len(usable) > 0 && lo.EveryBy(usable, func(m membership.Member) bool {
		_, ok := known[m.ID]
		return ok
	})
}

// sum returns the pool's tokens a second over all hosts whose rate is known,
// those that have left a moment ago included.
func (r *rates) sum(pool string, view *membership.View, now time.Time) float64 {
	return lo.Sum(lo.Values(r.known(pool, view, now)))
}

// known returns the rates that are new enough, and forgets the others.
func (r *rates) known(pool string, view *membership.View, now time.Time) map[string]float64 {
	oldest := now.Add(-rateIntervals * rateInterval(len(view.Members)))
	known := map[string]float64{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, h := range r.byPool[pool] {
		if h.at.Before(oldest) {
			delete(r.byPool[pool], host)
			continue
		}
		known[host] = h.tokensPerSecond
	}
	return known
}
