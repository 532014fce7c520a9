package retry

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1, 0)

// The attempts that a budget allows are bounded by the successes before them.
func TestBudgetsBoundAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budgets
		successes, allowed := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "outcomes") {
			if success {
				b.Success("u", "a")
				successes++
			} else if _, ok := b.Allow(now, ReasonFailed, "u", "a"); ok {
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
	allow := func(upstream, account string, want Reason) {
		t.Helper()
		if why, ok := b.Allow(now, ReasonFailed, upstream, account); ok != (want == "") || why != want {
			t.Fatalf("%s %s: %v %q, want %q", upstream, account, ok, why, want)
		}
	}
	for range firstTokens {
		allow("u1", "a", "")
	}
	allow("u2", "a", ReasonAccount)
	for range firstTokens + 1 { // the account's token comes back each time
		allow("u1", "b", ReasonUpstream)
	}
	allow("u2", "b", "")
}

// An account whose budget stays empty gets one attempt in a trickle's span.
func TestAllowTricklesByTime(t *testing.T) {
	var b Budgets
	allowed := 0
	for second := range 60 {
		if _, ok := b.Allow(now.Add(time.Duration(second)*time.Second), ReasonFailed, strconv.Itoa(second), "a"); ok {
			allowed++
		}
	}
	if want := firstTokens + 5; allowed != want {
		t.Fatalf("%d attempts in a minute, want %d", allowed, want)
	}
}
