package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func pool(n, domains int) []Upstream {
	out := make([]Upstream, n)
	for i := range out {
		out[i] = Upstream{ID: fmt.Sprintf("u%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains), Live: &Live{}}
	}
	return out
}

func snapshotOf(upstreams []Upstream, longShare float64) *Snapshot {
	return NewSnapshot(upstreams, NewLayout(upstreams), longShare)
}

// No policy may ever choose a leaving or a tried upstream, and each finds the
// one that is left.
func TestPoliciesKeepOut(t *testing.T) {
	policies := []Policy{RoundRobin{}, LeastInFlight{}, TwoChoices{}, Adaptive{}}
	rapid.Check(t, func(t *rapid.T) {
		upstreams := pool(rapid.IntRange(0, 50).Draw(t, "n"), 4)
		r := &Request{
			Blocks: rapid.SliceOfN(rapid.Uint64(), 0, 4).Draw(t, "blocks"), Long: rapid.Bool().Draw(t, "long"),
			AvoidDomain: rapid.SampledFrom([]string{"", "d1"}).Draw(t, "avoid"), Now: start,
		}
		usable := 0
		for i := range upstreams {
			u := &upstreams[i]
			u.Leaving, u.Risky, u.Others = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "risky"), rapid.IntRange(0, 9).Draw(t, "others")
			if rapid.Bool().Draw(t, "slow") {
				u.Live.MarkSlow(start)
			}
			if rapid.Bool().Draw(t, "tried") {
				r.Tried = append(r.Tried, u.ID)
			}
			if allowed(u, r) {
				usable++
			}
		}
		s := snapshotOf(upstreams, 0.3)
		for _, p := range policies {
			c := p.Pick(s, r, rapid.Uint64().Draw(t, "random"))
			if (c.Index >= 0) != (usable > 0) {
				t.Fatalf("%T chose %d of %d usable", p, c.Index, usable)
			}
			if c.Index >= 0 && !allowed(&upstreams[c.Index], r) {
				t.Fatalf("%T chose an upstream that is leaving or tried", p)
			}
		}
	})
}

func TestAdaptiveKeepsPrefixesTogetherUntilTheBound(t *testing.T) {
	upstreams := pool(12, 4)
	s := snapshotOf(upstreams, 0)
	r := &Request{Blocks: []uint64{7}, Now: start}
	home := Adaptive{}.Pick(s, r, 1)
	for random := range uint64(50) {
		if c := (Adaptive{}).Pick(s, r, random); c != home {
			t.Fatalf("choice %v, home %v", c, home)
		}
	}
	for range loadSlack + 1 {
		upstreams[home.Index].Live.Begin()
	}
	if c := (Adaptive{}).Pick(s, r, 1); c.Index == home.Index || c.Reason != ReasonAffinity {
		t.Fatalf("a full home was chosen: %v", c)
	}
}

func TestAdaptiveLeavesStragglersAloneUntilAProbe(t *testing.T) {
	upstreams := pool(2, 1)
	s := snapshotOf(upstreams, 0)
	slow := upstreams[0].Live
	slow.MarkSlow(start)
	choose := func(now time.Time) int { return Adaptive{}.Pick(s, &Request{Now: now}, 3).Index }
	upstreams[1].Live.Begin()
	if got := choose(start); got != 1 {
		t.Fatalf("the straggler was chosen")
	}
	later := start.Add(slowHold)
	if got := choose(later); got != 0 {
		t.Fatalf("no probe after the hold")
	}
	slow.Begin()
	upstreams[1].Live.Begin()
	if got := choose(later); got != 1 {
		t.Fatalf("a second probe at once")
	}
	slow.Token(later, 20*time.Millisecond, 20*time.Millisecond)
	if slow.Marked(later) {
		t.Fatal("a token in time must clear the mark")
	}
}

func TestLongWorkHasAPartInEveryDomain(t *testing.T) {
	upstreams := pool(20, 4)
	s := snapshotOf(upstreams, 0.3)
	domains := map[string]int{}
	for i := range upstreams {
		if s.forLong(i) {
			domains[upstreams[i].FailureDomain]++
		}
	}
	if len(domains) != 4 {
		t.Fatalf("domains of long work: %v", domains)
	}
	slices.Reverse(upstreams)
	again := snapshotOf(upstreams, 0.3)
	for i := range upstreams {
		if again.forLong(i) != s.forLong(len(upstreams)-1-i) {
			t.Fatal("the part depends on the order of the list")
		}
	}
}

func TestHistoryTellsLongFromShort(t *testing.T) {
	h := &History{}
	for range 200 {
		h.Arrive(h.Predict(100, 4096))
		h.Add(100, 50, h.Predict(100, 4096))
	}
	if w := h.Predict(100, 4096); w.Long {
		t.Fatalf("short work is predicted long: %v", w)
	}
	if w := h.Predict(9000, 4096); !w.Long {
		t.Fatalf("long work is predicted short: %v", w)
	}
}

func TestBlocksShareAPrefix(t *testing.T) {
	common := strings.Repeat("name list ", 300)
	a, b := Blocks(common+"first", 16), Blocks(common+"second", 16)
	if !slices.Equal(a, b) || len(a) != 2 {
		t.Fatalf("%v %v", a, b)
	}
}

func BenchmarkPick600(b *testing.B) {
	upstreams := pool(600, 10)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range upstreams {
		upstreams[i].Others = random.IntN(20)
	}
	s := snapshotOf(upstreams, 0.3)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := &Request{Blocks: []uint64{1, 2}, Now: start}
		for n := random.Uint64(); pb.Next(); n++ {
			r.Blocks[0], r.Long = n, n%64 == 0
			c := Adaptive{}.Pick(s, r, n)
			live := s.Upstreams[c.Index].Live
			live.Begin()
			live.End()
		}
	})
}
