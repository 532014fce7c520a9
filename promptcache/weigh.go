package promptcache

import "time"

// Candidate is an upstream that could read a prompt.
type Candidate struct {
	// Wait is the expected time until the upstream starts to read the prompt.
	Wait time.Duration
	// Rate is the number of prompt tokens that the upstream reads per second.
	Rate float64
	// Held is the number of leading prompt tokens that the upstream holds.
	Held int
	// Evicts is the number of tokens that the unread part would evict and that later requests are
	// expected to use.
	Evicts int
}

// readTime returns the time in which an upstream of the given rate reads tokens.
func readTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(max(0, tokens)) / max(rate, 1) * float64(time.Second))
}

// Finish returns the expected time until the candidate has read a prompt of the given size, in tokens.
func (c Candidate) Finish(prompt int) time.Duration { return c.Wait + readTime(prompt-c.Held, c.Rate) }

// Weigh returns the index of the candidate that should read a prompt of the given size, in tokens; -1 if there
// is none. The best of those that hold most of the prompt competes with those that hold less and finish
// sooner: a further copy of a prefix is made only where it is read again sooner than the wait at
// the holder ends. Evictions decide only where such a copy goes. They count at most as the time in
// which the fastest candidate reads what no candidate holds, so that they never keep a prompt in a
// queue that is longer than reading all of it.
func Weigh(prompt int, candidates []Candidate) int {
	most, fastest := 0, 0.0
	for _, c := range candidates {
		most, fastest = max(most, c.Held), max(fastest, c.Rate)
	}
	holder := -1
	for i, c := range candidates {
		if most > 0 && c.Held == most && (holder < 0 || c.Finish(prompt) < candidates[holder].Finish(prompt)) {
			holder = i
		}
	}
	best, least := holder, time.Duration(0)
	for i, c := range candidates {
		if most > 0 && c.Held == most || holder >= 0 && c.Finish(prompt) >= candidates[holder].Finish(prompt) {
			continue
		}
		cost := c.Finish(prompt) + min(readTime(c.Evicts, c.Rate), readTime(prompt-most, fastest))
		if best == holder || cost < least {
			best, least = i, cost
		}
	}
	return best
}
