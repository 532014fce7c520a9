package promptcache

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawCandidates draws the upstreams of a pool, some of which hold a prefix of the prompt.
func drawCandidates(t *rapid.T, prompt int) []Candidate {
	candidates := make([]Candidate, rapid.IntRange(1, 12).Draw(t, "upstreams"))
	for i := range candidates {
		candidates[i] = Candidate{
			Wait: time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait ms")) * time.Millisecond,
			Rate: rapid.Float64Range(16000, 128000).Draw(t, "rate"), Evicts: rapid.IntRange(0, 600000).Draw(t, "evicts"),
		}
		if rapid.Bool().Draw(t, "holds") {
			candidates[i].Held = rapid.IntRange(0, prompt).Draw(t, "held")
		}
	}
	return candidates
}

// A prompt waits at the upstream that holds its prefix for longer than an idle upstream needs to read all of it,
// whatever the idle one evicts.
func TestIdleUpstreamBeatsHolderWithLongWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.IntRange(1, 20000).Draw(t, "prompt")
		candidates := drawCandidates(t, prompt)
		chosen := candidates[Weigh(prompt, candidates)]
		for _, c := range candidates {
			if c.Wait == 0 && chosen.Held > c.Held && chosen.Wait > readTime(prompt, c.Rate) {
				t.Fatalf("upstream %+v was chosen although the idle one %+v reads all in %v", chosen, c, readTime(prompt, c.Rate))
			}
		}
	})
}

// A hot prefix is copied to further upstreams although the holder would finish it sooner, so that the
// copies displace other prefixes.
func TestCopyOnlyWhereHolderFinishesLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.IntRange(1, 20000).Draw(t, "prompt")
		candidates := drawCandidates(t, prompt)
		chosen, most := candidates[Weigh(prompt, candidates)], 0
		for _, c := range candidates {
			most = max(most, c.Held)
		}
		for _, c := range candidates {
			if c.Held == most && chosen.Held < most && chosen.Finish(prompt) >= c.Finish(prompt) {
				t.Fatalf("a copy is made at %+v although %+v holds more and finishes sooner", chosen, c)
			}
		}
	})
}

// The estimate of what is held is wrong by up to half, so that a prompt waits far longer than at the best
// upstream. The loss is at most the reading time of the tokens by which the estimates are wrong.
func TestWrongEstimateCostsLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.IntRange(1, 20000).Draw(t, "prompt")
		actual := drawCandidates(t, prompt)
		for i := range actual {
			actual[i].Evicts, actual[i].Rate = 0, 64000
		}
		estimated, worst := make([]Candidate, len(actual)), 0
		for i, c := range actual {
			estimated[i] = c
			estimated[i].Held = min(prompt, int(float64(c.Held)*rapid.Float64Range(0.5, 1.5).Draw(t, "error")))
			worst = max(worst, max(estimated[i].Held-c.Held, c.Held-estimated[i].Held))
		}
		chosen, best := actual[Weigh(prompt, estimated)].Finish(prompt), actual[Weigh(prompt, actual)].Finish(prompt)
		if limit := best + 2*readTime(worst, 64000) + time.Microsecond; chosen > limit {
			t.Fatalf("finish after %v, with a right estimate after %v, limit %v", chosen, best, limit)
		}
	})
}

// All requests share one prefix, and their unread parts alone need all upstreams. The upstreams that hold the
// prefix first take them all, so that others starve and requests wait ever longer.
func TestNoUpstreamStarvesBesideHolder(t *testing.T) {
	const prompt, upstreams, requests = 17020, 12, 2000
	candidates := make([]Candidate, upstreams)
	taken := make([]int, upstreams)
	for i := range candidates {
		candidates[i].Rate = 64000
	}
	for range requests {
		chosen := Weigh(prompt, candidates)
		candidates[chosen].Wait += readTime(prompt-candidates[chosen].Held, 64000)
		candidates[chosen].Held = 13300
		taken[chosen]++
		if limit := 2 * readTime(prompt, 64000); candidates[chosen].Wait > limit {
			t.Fatalf("a prompt waits until %v, limit %v", candidates[chosen].Wait, limit)
		}
		for i := range candidates { // 5 ms between two requests, 0.97 of what all upstreams can read
			candidates[i].Wait = max(0, candidates[i].Wait-5*time.Millisecond)
		}
	}
	for i, n := range taken {
		if n < requests/upstreams/2 {
			t.Errorf("upstream %d got %d of %d requests", i, n, requests)
		}
	}
}
