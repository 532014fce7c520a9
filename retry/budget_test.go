package retry

import (
	"testing"

	"pgregory.net/rapid"
)

// The attempts that a budget allows are bounded by the successes before them.
func TestBudgetsBoundAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budgets
		successes, allowed := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "outcomes") {
			if success {
				b.Success("u", "a")
				successes++
			} else if _, ok := b.Allow(ReasonFailed, "u", "a"); ok {
				allowed++
			}
		}
		if float64(allowed) > firstTokens+Ratio*float64(successes) {
			t.Fatalf("%d attempts for %d successes", allowed, successes)
		}
	})
}

func TestAllowNamesTheEmptyBudget(t *testing.T) {
	var b Budgets
	if why, ok := b.Allow(ReasonFailed, "u1", "a"); !ok {
		t.Fatalf("the first retry was refused: %s", why)
	}
	if why, ok := b.Allow(ReasonFailed, "u2", "a"); ok || why != ReasonAccount {
		t.Fatalf("account budget: %v %s", ok, why)
	}
	if why, ok := b.Allow(ReasonFailed, "u1", "b"); ok || why != ReasonUpstream {
		t.Fatalf("upstream budget: %v %s", ok, why)
	}
	if _, ok := b.Allow(ReasonFailed, "u2", "b"); !ok {
		t.Fatal("the account's token was lost with the upstream's refusal")
	}
}
