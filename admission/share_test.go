package admission

import (
	"testing"
	"time"
)

const (
	floodRate     = 348_000.0
	floodSlack    = 190_000.0
	floodExcess   = 0.1
	floodDuration = 8 * time.Second
)

// TestFloodWhileTheOwnerIsReplacedTwice floods the limit of a client account while
// its owner, the host that decides about the limit, is killed and comes back. The
// admitted tokens must stay within the tolerated excess. With a rateFactor of
// 1.05 and an initialFraction of 0.4, 3,730,430 tokens were admitted and only
// 3,640,497 allowed.
func TestFloodWhileTheOwnerIsReplacedTwice(t *testing.T) {
	const prompt, step = 53_000.0, 10 * time.Millisecond
	limit := AccountLimit{Rate: floodRate, Burst: floodRate, Slack: floodSlack}
	unreachableLimit := AccountLimit{Rate: floodRate / 2, Burst: floodRate / 2, Slack: floodSlack / 2}
	now := time.Unix(0, 0)
	var firstOwner Shares
	// After 10 s of load, the bucket of the client account refills to its full burst in 8 s.
	for range 1000 {
		firstOwner.Take("a", limit, 1, prompt, time.Unix(0, 0), now)
		now = now.Add(step)
	}
	now = now.Add(floodDuration)
	admitted := 0.0
	flood := func(shares *Shares, accountLimit AccountLimit, hosts int, since time.Time, span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(step) {
			for range 5 {
				if _, ok := shares.Take("a", accountLimit, hosts, prompt, since, now); ok {
					admitted += prompt
				}
			}
		}
	}
	var secondOwner, thirdOwner Shares
	hosts := make([]Shares, 7)
	flood(&firstOwner, limit, 1, now, time.Second)
	// For 200 ms no host can reach the killed owner, and each host decides alone.
	lost := now
	for end := now.Add(200 * time.Millisecond); now.Before(end); {
		for i := range hosts {
			flood(&hosts[i], unreachableLimit, len(hosts), lost, step)
		}
	}
	flood(&secondOwner, limit, 1, now, 3400*time.Millisecond)
	flood(&thirdOwner, limit, 1, now, 3400*time.Millisecond)
	t.Logf("%.0f tokens admitted", admitted)
	allowed := (floodRate*floodDuration.Seconds()+floodRate)*(1+floodExcess) + floodSlack
	if admitted > allowed {
		t.Errorf("%.0f tokens admitted in %v, at most %.0f allowed", admitted, floodDuration, allowed)
	}
	if admitted < 0.8*floodRate*floodDuration.Seconds() {
		t.Errorf("%.0f tokens admitted in %v, want at least 80%% of %.0f", admitted, floodDuration, floodRate*floodDuration.Seconds())
	}
}

// TestPromptLargerThanBurstLeavesDebt checks that a prompt larger than the burst is
// admitted once half of the burst is available, and leaves a debt.
func TestPromptLargerThanBurstLeavesDebt(t *testing.T) {
	var s Shares
	limit := AccountLimit{Rate: 1000, Burst: 1000}
	now := time.Unix(0, 0)
	began := now
	if wait, ok := s.Take("a", limit, 1, 5000, began, now); ok || wait <= 0 {
		t.Errorf("prompt of 5000 with less than half of the burst available: admitted, or rejected without a wait; wait %v", wait)
	}
	now = now.Add(time.Second)
	if _, ok := s.Take("a", limit, 1, 5000, began, now); !ok {
		t.Error("prompt of 5000 rejected with the burst full")
	}
	if wait, ok := s.Take("a", limit, 1, 1, began, now); ok || wait < 3*time.Second {
		t.Errorf("request admitted, or wait below 3 s, in spite of the debt: wait %v", wait)
	}
	s.Refund("a", 5000)
	if _, ok := s.Take("a", limit, 1, 1, began, now); !ok {
		t.Error("request rejected after the debt was refunded")
	}
}

// TestOwnerThatReturns checks that a host that owns a client account for the second
// time starts with at most a quarter of the burst. The bucket must not refill for the
// time in which another host owned the client account.
func TestOwnerThatReturns(t *testing.T) {
	var s Shares
	limit := AccountLimit{Rate: 1000, Burst: 1000}
	now := time.Unix(0, 0)
	s.Take("a", limit, 1, 1, now, now)
	s.Retain(func(string) bool { return false })
	now = now.Add(time.Minute)
	admitted := 0
	for range 100 {
		if _, ok := s.Take("a", limit, 1, 10, now, now); ok {
			admitted += 10
		}
	}
	if admitted > 250 {
		t.Errorf("%d admitted at once, want at most a quarter of 1000", admitted)
	}
}

// TestZeroRateMeansNoLimit checks that a limit with a rate of zero admits any cost.
func TestZeroRateMeansNoLimit(t *testing.T) {
	var s Shares
	if _, ok := s.Take("a", AccountLimit{}, 1, 1e12, time.Unix(0, 0), time.Unix(0, 0)); !ok {
		t.Error("request rejected with a rate of zero")
	}
}
