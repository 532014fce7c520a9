package provision

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/membership"
)

const (
	// minRateInterval is the minimum time between two rate messages from one host.
	minRateInterval = time.Second
	// rateSpacing is the mean time between two rate messages that a candidate receives for a pool.
	// To keep to it, hosts send less often in larger clusters.
	rateSpacing = 100 * time.Millisecond
	// rateExpiryIntervals is the number of send intervals without a message after which a host's rate
	// expires.
	rateExpiryIntervals = 4
)

// rateInterval returns the time between two rate messages from one host, for a number of members.
func rateInterval(members int) time.Duration {
	return max(minRateInterval, time.Duration(members)*rateSpacing)
}

// rate is the message with one entry host's token rate for a pool.
type rate struct {
	Host            string  `cbor:"1,keyasint"`
	Pool            string  `cbor:"2,keyasint"`
	TokensPerSecond float64 `cbor:"3,keyasint"`
}

// sample is a reading of a token counter at a point in time.
type sample struct {
	at     time.Time
	tokens int64
}

// rateSince returns the token rate between two samples, in tokens per second.
func (s sample) rateSince(previous sample) float64 {
	span := s.at.Sub(previous.at).Seconds()
	if span <= 0 {
		return 0
	}
	return float64(s.tokens-previous.tokens) / span
}

// receivedRate is a host's token rate, with the local time at which its message arrived.
type receivedRate struct {
	tokensPerSecond float64
	at              time.Time
}

// rates stores the latest token rate of each host, by pool. The zero value is ready to use.
type rates struct {
	mu     sync.Mutex
	byPool map[string]map[string]receivedRate
}

// record stores the token rate from a host's message. It ignores negative rates.
func (r *rates) record(m rate, now time.Time) {
	if m.TokensPerSecond < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPool == nil {
		r.byPool = map[string]map[string]receivedRate{}
	}
	if r.byPool[m.Pool] == nil {
		r.byPool[m.Pool] = map[string]receivedRate{}
	}
	r.byPool[m.Pool][m.Host] = receivedRate{tokensPerSecond: m.TokensPerSecond, at: now}
}

// complete reports whether the rate of every usable member is known. Otherwise the sum would be too
// low, and provisioning would stop hosts that are needed.
func (r *rates) complete(pool string, view *membership.View, now time.Time) bool {
	usable := view.Usable()
	recent := r.recent(pool, view, now)
	return len(usable) > 0 && lo.EveryBy(usable, func(m membership.Member) bool {
		_, ok := recent[m.ID]
		return ok
	})
}

// sum returns a pool's total token rate in tokens per second. It includes hosts that have left but
// whose rate has not expired.
func (r *rates) sum(pool string, view *membership.View, now time.Time) float64 {
	return lo.Sum(lo.Values(r.recent(pool, view, now)))
}

// recent returns a pool's unexpired rates in tokens per second, by host, and deletes expired ones.
func (r *rates) recent(pool string, view *membership.View, now time.Time) map[string]float64 {
	oldest := now.Add(-rateExpiryIntervals * rateInterval(len(view.Members)))
	recent := map[string]float64{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, h := range r.byPool[pool] {
		if h.at.Before(oldest) {
			delete(r.byPool[pool], host)
			continue
		}
		recent[host] = h.tokensPerSecond
	}
	return recent
}
