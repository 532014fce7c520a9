package routing

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// heldPool is a pool of upstreams with work, some of which hold a part of a prompt.
type heldPool struct {
	snapshot *Snapshot
	policy   HeldPrefill
	held     map[string]int
}

// drawHeldPool draws a pool and a prompt.
func drawHeldPool(t *rapid.T) heldPool {
	shared := rapid.IntRange(0, 16000).Draw(t, "shared")
	p := heldPool{held: map[string]int{}, policy: HeldPrefill{
		Prefill: Prefill{Tokens: shared + rapid.IntRange(1, 6000).Draw(t, "own"), Shared: shared}, CopySurcharge: DefaultCopySurcharge,
	}}
	upstreams := make([]Upstream, rapid.IntRange(1, 12).Draw(t, "upstreams"))
	for i := range upstreams {
		upstreams[i] = Upstream{ID: strconv.Itoa(i), Live: &UpstreamStats{}}
		if rapid.Bool().Draw(t, "busy") {
			upstreams[i].Live.SetOthers(int64(rapid.IntRange(0, 80000).Draw(t, "waiting")), int64(rapid.IntRange(1, 20).Draw(t, "running")), Outcomes{})
		}
		if rapid.Bool().Draw(t, "holds") {
			p.held[upstreams[i].ID] = rapid.IntRange(0, shared).Draw(t, "held")
		}
	}
	p.snapshot = NewSnapshot(upstreams, NewLayout(upstreams), 0)
	return p
}

func (p heldPool) pick(held map[string]int) Choice {
	p.policy.Held = func(id string) int { return held[id] }
	return p.policy.Pick(p.snapshot, &Request{Now: time.Unix(1000, 0)}, 1)
}

// finish returns the number of tokens that an upstream reads until it has read the prompt.
func (p heldPool) finish(i int) int {
	u := &p.snapshot.Upstreams[i]
	return int(u.Live.Backlog()) + p.policy.Tokens - p.held[u.ID]
}

// A prompt waits at the upstream that holds its prefix for longer than an idle upstream needs to read all
// of it.
func TestIdleUpstreamBeatsHolderWithLongWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawHeldPool(t)
		chosen := &p.snapshot.Upstreams[p.pick(p.held).Index]
		for i := range p.snapshot.Upstreams {
			u := &p.snapshot.Upstreams[i]
			if u.Live.Backlog() == 0 && chosen.Live.Backlog() > int64(p.policy.Tokens) {
				t.Fatalf("upstream with a backlog of %d was chosen for a prompt of %d tokens beside an idle one", chosen.Live.Backlog(), p.policy.Tokens)
			}
		}
	})
}

// The same with ExpectedFinish, which chooses at random among upstreams whose cost is at most a tenth or
// runningCost above the lowest one. The cost of the idle upstream is at most twice the prompt and crossPartCost.
func TestIdleUpstreamBeatsHolderWithLongExpectedWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawHeldPool(t)
		policy := ExpectedFinish{Prefill: p.policy.Prefill, CopySurcharge: DefaultCopySurcharge, Held: func(id string) int { return p.held[id] }}
		chosen := &p.snapshot.Upstreams[policy.Pick(p.snapshot, &Request{Now: time.Unix(1000, 0)}, rapid.Uint64().Draw(t, "random")).Index]
		for i := range p.snapshot.Upstreams {
			u := &p.snapshot.Upstreams[i]
			limit := float64(p.policy.Tokens) + max(nearShare*float64(2*p.policy.Tokens+crossPartCost), runningCost)
			if u.Live.Backlog() == 0 && float64(chosen.Live.Backlog()) > limit {
				t.Fatalf("upstream with a backlog of %d was chosen for a prompt of %d tokens beside an idle one", chosen.Live.Backlog(), p.policy.Tokens)
			}
		}
	})
}

// A hot prefix is copied to an upstream that finishes no sooner than one that holds it, so that the copy
// only displaces other prefixes.
func TestCopyOnlyWhereHolderFinishesLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawHeldPool(t)
		chosen, most := p.pick(p.held).Index, 0
		for _, held := range p.held {
			most = max(most, held)
		}
		for i := range p.snapshot.Upstreams {
			id := p.snapshot.Upstreams[i].ID
			if p.held[id] == most && p.held[p.snapshot.Upstreams[chosen].ID] < most && p.finish(chosen) > p.finish(i) {
				t.Fatalf("a copy is made after %d tokens although a holder finishes after %d", p.finish(chosen), p.finish(i))
			}
		}
	})
}

// The estimate of what is held is wrong by up to half, so that a prompt waits far longer than with a right one. A
// token by which the estimate is wrong may cost 2 x (1 + DefaultCopySurcharge) tokens, as it can make one upstream look
// better and another worse.
func TestWrongEstimateOfHeldCostsLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawHeldPool(t)
		estimated, worst := map[string]int{}, 0
		for id, held := range p.held {
			estimated[id] = min(p.policy.Shared, int(float64(held)*rapid.Float64Range(0.5, 1.5).Draw(t, "error")))
			worst = max(worst, estimated[id]-held, held-estimated[id])
		}
		chosen, right := p.finish(p.pick(estimated).Index), p.finish(p.pick(p.held).Index)
		// With the right estimate a prompt may wait for its holder for DefaultCopySurcharge tokens for
		// each one that it spares; the bound allows the wrong estimate no more than its own error on top.
		limit := right + 2*(1+DefaultCopySurcharge)*worst + DefaultCopySurcharge*p.policy.Shared
		if chosen > limit {
			t.Fatalf("finish after %d tokens, with a right estimate after %d, limit %d", chosen, right, limit)
		}
	})
}

// Most requests share one prefix. The upstream that holds it takes them all, so that requests wait ever longer
// and the other upstreams starve.
func TestHotPrefixIsSpread(t *testing.T) {
	s := idlePool("a", "b", "c", "d", "e", "f", "g", "h")
	held, taken := map[string]int{}, map[string]int{}
	p := HeldPrefill{Prefill: Prefill{Tokens: 17020, Shared: 13300}, CopySurcharge: DefaultCopySurcharge, Held: func(id string) int { return held[id] }}
	const requests = 1000
	for n := range requests {
		c := p.Pick(s, &Request{Blocks: []uint64{7}, Now: time.Unix(1000, 0)}, uint64(n))
		u := &s.Upstreams[c.Index]
		if limit := int64((1 + DefaultCopySurcharge) * p.Tokens); u.Live.Backlog() > limit {
			t.Fatalf("request %d waits for %d tokens, limit %d", n, u.Live.Backlog(), limit)
		}
		u.Live.BeginPrefill(c.PrefillTokens)
		held[u.ID] = p.Shared
		taken[u.ID]++
		for i := range s.Upstreams { // 480 tokens at each between two requests, 0.97 of the unread parts
			live := s.Upstreams[i].Live
			live.EndPrefill(int(min(live.Unread(), 480)))
		}
	}
	for id, n := range taken {
		if n < requests/len(s.Upstreams)/2 {
			t.Errorf("upstream %s got %d of %d requests", id, n, requests)
		}
	}
	if len(taken) < len(s.Upstreams) {
		t.Errorf("requests were sent to %d of %d upstreams", len(taken), len(s.Upstreams))
	}
}

// A prompt without shared parts, or one whose upstreams are all excluded, ends in a panic.
func TestHeldWithoutSharedPartsOrUpstreams(t *testing.T) {
	s := idlePool("a")
	p := HeldPrefill{Prefill: Prefill{Tokens: 100}, Held: func(string) int { return 50 }}
	if c := p.Pick(s, &Request{Now: time.Unix(1000, 0)}, 1); c.Index != 0 || c.PrefillTokens != 100 {
		t.Errorf("choice %+v, want the only upstream and 100 tokens", c)
	}
	if c := p.Pick(s, &Request{Now: time.Unix(1000, 0), Tried: []string{"a"}}, 1); c.Index >= 0 {
		t.Errorf("choice %+v, want none", c)
	}
}
