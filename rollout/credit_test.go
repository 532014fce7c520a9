package rollout

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// TestCreditIsExact guards against rounding that lets a host send more than 0.8 x share of its requests.
func TestCreditIsExact(t *testing.T) {
	for _, share := range []float64{0.1, 0.05, 0.01, 0.3, 1} {
		c, sent := NewCredit(Bounds{Share: share}), 0
		const requests = 100_000
		for range requests {
			c.Earn()
			if c.Take() {
				sent++
			}
		}
		if limit := usedShare * share * requests; float64(sent) > limit || float64(sent) < limit-1.1 {
			t.Errorf("share %v: %d of %d requests, want at most %.0f and at most 1 less", share, sent, requests, limit)
		}
	}
	none := NewCredit(Bounds{})
	for range 1000 {
		none.Earn()
	}
	if none.Take() {
		t.Error("without bounds a request is paid for, want none")
	}
}

// TestCreditIsCapped guards against a host that saves credit in calm and spends it in one burst.
func TestCreditIsCapped(t *testing.T) {
	c, sent := NewCredit(Bounds{Share: 0.1}), 0
	for range 10_000 {
		c.Earn()
	}
	c.Refund()
	for c.Take() {
		sent++
	}
	if sent != creditCap {
		t.Errorf("%d requests after a long calm, want %d", sent, creditCap)
	}
}

// TestCreditIsExactUnderConcurrency guards against credit that is spent twice by requests at the same time.
func TestCreditIsExactUnderConcurrency(t *testing.T) {
	c := NewCredit(Bounds{Share: 0.1})
	var requests, sent atomic.Int64
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for i := range 5000 {
				requests.Add(1)
				c.Earn()
				if !c.Take() {
					continue
				}
				if i%7 == 0 {
					c.Refund()
				} else {
					sent.Add(1)
				}
			}
		})
	}
	wg.Wait()
	for c.Take() {
		sent.Add(1)
	}
	if limit := requests.Load() * 8 / 100; sent.Load() > limit {
		t.Errorf("%d of %d requests, want at most %d", sent.Load(), requests.Load(), limit)
	}
}

// TestExposureOfAllHosts guards against an exposure that depends on messages between hosts: it plays the worst case of
// targets that are open all the time at every host that knows the order, with hosts that learn of it late, restart, get
// requests in bursts, and repeat requests.
func TestExposureOfAllHosts(t *testing.T) {
	for _, hosts := range []int{4, 9, 76, 300} {
		rapid.Check(t, func(t *rapid.T) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random"), 1))
			share := rapid.SampledFrom([]float64{0.01, 0.05, 0.1, 0.25}).Draw(t, "share")
			maxDelay := rapid.IntRange(0, 20).Draw(t, "delay")
			restarts := rapid.Float64Range(0, 0.1).Draw(t, "restarts")
			burst := rapid.IntRange(1, 200).Draw(t, "burst")
			bounds := Bounds{Share: share, Slack: 50}
			credits, informed := make([]*Credit, hosts), make([]int, hosts)
			for i := range credits {
				credits[i], informed[i] = NewCredit(bounds), random.IntN(maxDelay+1)
			}
			var requests, atTarget int64
			for tick := range 40 {
				for _, i := range random.Perm(hosts) {
					if random.Float64() < restarts {
						credits[i] = NewCredit(bounds)
					}
					for range random.IntN(1 + random.IntN(burst)) {
						requests++
						if tick < informed[i] {
							continue // without the order a host sends the unknown version nothing
						}
						credits[i].Earn()
						if !credits[i].Take() {
							continue
						}
						if atTarget++; random.IntN(10) == 0 { // a repeat elsewhere in the pool
							requests++
							credits[i].Earn()
						}
					}
				}
				if limit := usedShare * share * float64(requests); float64(atTarget) > limit {
					t.Fatalf("%d hosts: %d of %d requests at the target, want at most %.1f", hosts, atTarget, requests, limit)
				}
			}
		})
	}
}
