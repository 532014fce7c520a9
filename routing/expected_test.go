package routing

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawPool draws a pool of loaded upstreams with rates from 1/4 to 4.
func drawPool(t *rapid.T) *Snapshot {
	upstreams := pool(rapid.IntRange(2, 30).Draw(t, "upstreams"), 4)
	for i := range upstreams {
		live := upstreams[i].Live
		upstreams[i].Slots = rapid.SampledFrom([]int{0, 6, 64}).Draw(t, "slots")
		live.SetRate(rapid.Float64Range(0.25, 4).Draw(t, "rate"))
		live.BeginPrefill(rapid.IntRange(0, 60000).Draw(t, "waiting"))
		live.SetOthers(rapid.Int64Range(0, 60000).Draw(t, "others waiting"), rapid.Int64Range(0, 80).Draw(t, "others in flight"), Outcomes{})
	}
	return snapshotOf(upstreams, 0)
}

// An idle fast upstream never loses to a slower one with more work, for prompts and for plain requests,
// whatever other upstreams there are and however old the hosts' sums are.
func TestIdleFastUpstreamNeverLosesToSlowOneWithMoreWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawPool(t)
		fast, slow := &s.Upstreams[0], &s.Upstreams[1]
		fast.Live, slow.Live = &UpstreamStats{}, &UpstreamStats{}
		fast.FailureDomain, slow.FailureDomain = "d", "d"
		fast.Slots, slow.Slots = 64, 64
		fast.Live.SetRate(rapid.Float64Range(1, 4).Draw(t, "fast"))
		slow.Live.SetRate(rapid.Float64Range(0.25, 0.8).Draw(t, "slow"))
		slow.Live.BeginPrefill(rapid.IntRange(2000, 60000).Draw(t, "slow waiting"))
		for range rapid.IntRange(2, 60).Draw(t, "slow in flight") {
			slow.Live.Begin()
		}
		r := &Request{Now: start}
		tokens := rapid.IntRange(1, 20000).Draw(t, "tokens")
		random := rapid.Uint64().Draw(t, "random")
		if c := (ExpectedFinish{Prefill: Prefill{Tokens: tokens}}).Pick(s, r, random); c.Index == 1 {
			t.Errorf("a prompt of %d tokens was sent to the slow upstream", tokens)
		}
		if c := (LeastExpectedWait{Domain: "d"}).Pick(s, r, random); c.Index == 1 {
			t.Error("a plain request was sent to the slow upstream")
		}
	})
}

// With equal rates and current sums, the choice costs at most a tenth more than that of Prefill, or as much as
// a running request, and a prompt stays with the upstreams that have read it.
func TestEqualRatesChooseAsPrefill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawPool(t)
		for i := range s.Upstreams {
			s.Upstreams[i].Live.SetRate(0)
		}
		shared := rapid.IntRange(0, 14000).Draw(t, "shared")
		p := Prefill{Tokens: shared + rapid.IntRange(100, 6000).Draw(t, "own"), Shared: shared, ShortShare: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "short")}
		readers := rapid.SliceOf(rapid.SampledFrom([]string{"u0", "u1", "u5"})).Draw(t, "readers")
		if shared > 0 {
			p.Cached = func(id string) bool {
				for _, reader := range readers {
					if reader == id {
						return true
					}
				}
				return false
			}
		}
		r := &Request{Blocks: []uint64{rapid.Uint64().Draw(t, "prompt")}, Now: start}
		before := p.Pick(s, r, 0)
		after := ExpectedFinish{Prefill: p}.Pick(s, r, rapid.Uint64().Draw(t, "random"))
		if (before.Reason == ReasonAffinity) != (after.Reason == ReasonAffinity) || before.PrefillTokens != after.PrefillTokens {
			t.Fatalf("Prefill chose %+v, ExpectedFinish %+v", before, after)
		}
		loads, fixed := ExpectedFinish{Prefill: p}.costs(s, r)
		was, is := loads[before.Index]+fixed[before.Index], loads[after.Index]+fixed[after.Index]
		if unread := float64(p.Tokens) * (1 + rereadSurcharge); is-was > max(nearShare*(was+unread), runningCost) {
			t.Errorf("the load of the chosen upstream is %.0f tokens, of Prefill's choice %.0f", is, was)
		}
	})
}

// Rates that are wrong by half, up or down, cost less than a quarter more time until the prompt is read, on
// average over pools with any loads and rates. Wrong rates must not decide alone; what waits at an upstream
// counts as well.
func TestRatesWrongByHalfCostLittle(t *testing.T) {
	right, wrong := 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		s := drawPool(t)
		truth := make([]float64, len(s.Upstreams))
		p := ExpectedFinish{Prefill: Prefill{Tokens: rapid.IntRange(500, 17000).Draw(t, "tokens")}}
		r := &Request{Now: start}
		random := rapid.Uint64().Draw(t, "random")
		for i := range s.Upstreams {
			truth[i] = s.Upstreams[i].Live.Rate()
		}
		finish := func() float64 {
			i := p.Pick(s, r, random).Index
			return (float64(s.Upstreams[i].Live.Backlog()) + float64(p.Tokens)) / truth[i]
		}
		right += finish()
		for i := range s.Upstreams {
			s.Upstreams[i].Live.SetRate(truth[i] * rapid.SampledFrom([]float64{0.5, 1.5}).Draw(t, "error"))
		}
		wrong += finish()
	})
	if wrong > 1.25*right {
		t.Errorf("wrong rates cost %.2f times the time of right ones, want less than 1.25", wrong/right)
	}
}

// With one upstream in four at a quarter of the others' rate and all of them busy, every upstream still gets
// requests, so that its rate is measured.
func TestNoUpstreamIsStarvedWhileAllAreBusy(t *testing.T) {
	upstreams := pool(12, 4)
	for i := range upstreams {
		if upstreams[i].Slots = 8; i%4 == 0 {
			upstreams[i].Live.SetRate(0.25)
		}
	}
	s := snapshotOf(upstreams, 0)
	r := &Request{Now: start}
	prompts, plain := make([]int, 12), make([]int, 12)
	random := uint64(7)
	for range 600 {
		c := ExpectedFinish{Prefill: Prefill{Tokens: 1460}}.Pick(s, r, nextRandom(&random))
		prompts[c.Index]++
		s.Upstreams[c.Index].Live.BeginPrefill(c.PrefillTokens)
		c = LeastExpectedWait{Domain: "d1"}.Pick(s, r, nextRandom(&random))
		plain[c.Index]++
		s.Upstreams[c.Index].Live.Begin()
	}
	for i := range upstreams {
		if prompts[i] == 0 || plain[i] == 0 {
			t.Errorf("upstream %d at rate %.2f got %d prompts and %d plain requests, want some", i, s.Upstreams[i].Live.Rate(), prompts[i], plain[i])
		}
	}
}

// 76 hosts see the same sums, which are 0.3 s old. The requests that they send until the next sums are spread
// so that no upstream gets twice what its rate allows; the upstream that seemed idle is not overrun.
func TestHostsWithOldSumsSpreadTheirRequests(t *testing.T) {
	upstreams := pool(24, 1)
	for i := range upstreams {
		upstreams[i].Slots = 8
		upstreams[i].Live.SetOthers(0, int64(4+i%2), Outcomes{})
	}
	upstreams[3].Live.SetOthers(0, 0, Outcomes{})
	s := snapshotOf(upstreams, 0)
	got := make([]int, len(upstreams))
	random := uint64(9)
	const arrivals = 240
	for range arrivals { // each at another host, which does not see the others' requests
		got[LeastExpectedWait{Domain: "d0", Arrived: arrivals}.Pick(s, &Request{Now: start}, nextRandom(&random)).Index]++
	}
	for i, n := range got {
		if n > 25 || n == 0 {
			t.Errorf("upstream %d got %d of %d requests, want 1 to 25", i, n, arrivals)
		}
	}
}

// What an upstream holds of a prompt counts by its tokens. A prompt goes to an idle upstream if the wait at
// the one that holds it is longer than the reading.
func TestHeldTokensAreWeighedAgainstTheWait(t *testing.T) {
	s := idlePool("a", "b", "c", "d")
	p := ExpectedFinish{Prefill: Prefill{Tokens: 17000, Shared: 13300}, Held: func(id string) int {
		return map[string]int{"a": 13300, "b": 4000}[id]
	}}
	r := &Request{Blocks: []uint64{1}, Now: time.Unix(1000, 0)}
	if c := p.Pick(s, r, 1); c.Index != 0 || c.Reason != ReasonAffinity || c.PrefillTokens != 3700 {
		t.Errorf("idle upstreams: got %+v, want upstream 0 by affinity with 3700 tokens to read", c)
	}
	s.Upstreams[0].Live.BeginPrefill(20000)
	if c := p.Pick(s, r, 1); c.Index != 1 || c.PrefillTokens != 13000 {
		t.Errorf("20000 tokens waiting at upstream 0: got %+v, want upstream 1 with 13000 tokens to read", c)
	}
	s.Upstreams[1].Live.BeginPrefill(18000)
	if c := p.Pick(s, r, 1); c.Index < 2 || c.Reason == ReasonAffinity || c.PrefillTokens != 17000 {
		t.Errorf("20000 and 18000 tokens waiting at upstreams 0 and 1: got %+v, want an idle upstream", c)
	}
}

// Work fills the upstreams with the least load first, up to one level.
func TestFillLevel(t *testing.T) {
	one := func(int) float64 { return 1 }
	for _, test := range []struct {
		loads []float64
		work  float64
		want  float64
	}{
		{[]float64{5, 1, 3}, 0, 1},
		{[]float64{5, 1, 3}, 2, 3},
		{[]float64{5, 1, 3}, 4, 4},
		{[]float64{5, 1, 3}, 12, 7},
		{[]float64{5, math.Inf(1), 3}, 2, 5},
		{nil, 3, 0},
	} {
		if got := fillLevel(test.loads, test.work, one); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("fillLevel(%v, %v) = %v, want %v", test.loads, test.work, got, test.want)
		}
	}
}
