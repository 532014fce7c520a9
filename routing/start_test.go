package routing

import "testing"

// The expected start is that of the best upstream: one idle upstream among full ones means no wait. Upstreams
// that fail, and pools whose slots are not known, give no estimate that could refuse a request.
func TestExpectedStartIsThatOfTheBestUpstream(t *testing.T) {
	upstreams := pool(3, 1)
	for i := range upstreams {
		upstreams[i].Slots = 4
		upstreams[i].Live.SetOthers(int64(30000*i), int64(8*i), Outcomes{})
	}
	s := snapshotOf(upstreams, 0)
	plain, prompt, r := LeastExpectedWait{}, ExpectedFinish{Prefill: Prefill{Tokens: 100}}, &Request{Now: start}
	if got := plain.Start(s, r); got != (Start{FreeSlots: 4, Slots: 12}) {
		t.Errorf("plain request with one idle upstream: %+v", got)
	}
	if got := prompt.Start(s, r); got.Wait != 0 {
		t.Errorf("prompt with one idle upstream: %+v", got)
	}
	r.Tried = []string{"u0"}
	upstreams[1].Live.SetRate(0.5)
	if got := plain.Start(s, r); got != (Start{Wait: 2.5, Slots: 8}) {
		t.Errorf("plain request behind 8 at 4 slots of rate 0.5: %+v, want a wait of 2.5 answers", got)
	}
	if got := prompt.Start(s, r); got.Wait != 60000+2*(noSlotCost+8*runningCost) && got.Wait != 60000+noSlotCost+16*runningCost {
		t.Errorf("prompt behind full upstreams: %+v", got)
	}
	upstreams[1].Live.Fail(start)
	upstreams[2].Live.Fail(start)
	if got := plain.Start(s, r); got != (Start{}) {
		t.Errorf("all upstreams fail: %+v, want no estimate", got)
	}
	upstreams[0].Slots = 0
	if got := prompt.Start(s, &Request{Now: start}); got != (Start{}) {
		t.Errorf("unknown slots: %+v, want no estimate", got)
	}
}
