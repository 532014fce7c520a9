package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var loadStart = time.Unix(1000, 0)

func drawProspect(t *rapid.T) Prospect {
	slots := rapid.IntRange(0, 200).Draw(t, "slots")
	return Prospect{
		Start: time.Duration(rapid.IntRange(0, 20000).Draw(t, "start")) * time.Millisecond, Ahead: rapid.Float64Range(0, 1).Draw(t, "ahead"),
		TimeLeft: time.Duration(rapid.IntRange(0, 10000).Draw(t, "left")) * time.Millisecond,
		Share:    rapid.Float64Range(0, 1).Draw(t, "share"), Fair: rapid.Float64Range(0, 1).Draw(t, "fair"),
		Returned: rapid.Bool().Draw(t, "returned"), Slots: slots, FreeSlots: rapid.IntRange(0, slots).Draw(t, "free"),
	}
}

// A burst of requests at a pool with room, or at one whose slots are not known, is not refused.
func TestNothingIsRefusedWhileHalfOfTheSlotsAreFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProspect(t)
		_, _, refuse := p.Refuse(0)
		if refuse && 2*p.FreeSlots >= p.Slots {
			t.Errorf("refused with %d of %d slots free", p.FreeSlots, p.Slots)
		}
	})
}

// More requests than the upstreams can serve: a request that starts in time and whose account has less
// than its share is served, one that would start after its deadline is refused.
func TestMoreRequestsThanCapacityAreRefusedByTheirDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProspect(t)
		p.Slots, p.FreeSlots = 8, 0
		after, reason, refuse := p.Refuse(rapid.Float64Range(0, 1).Draw(t, "random"))
		wait := time.Duration(float64(p.Start) * p.Ahead)
		switch {
		case wait > p.TimeLeft && !refuse:
			t.Errorf("start after %s with %s left was not refused", wait, p.TimeLeft)
		case wait < p.TimeLeft*8/10 && p.Share <= fairFactor*p.Fair && refuse:
			t.Errorf("start after %s with %s left was refused for %q", wait, p.TimeLeft, reason)
		case refuse && (after < minHopelessRetry || after > maxHopelessRetry*3/2):
			t.Errorf("Retry-After is %s", after)
		}
	})
}

// Retry-After is the time by which the request would start too late, and at most half more, so that callers
// that are refused at the same time come back at different times.
func TestRefusedTogetherComeBackApart(t *testing.T) {
	p := Prospect{Start: 3 * time.Second, Ahead: 1, TimeLeft: time.Second, Returned: true, Slots: 8}
	first, _, _ := p.Refuse(0)
	last, _, _ := p.Refuse(1)
	if first != 2*time.Second || last != 3*time.Second {
		t.Errorf("Retry-After is %s to %s, want 2s to 3s", first, last)
	}
}

// A request that came back after a refusal, a more urgent one and one of a smaller account are never refused
// where another one that differs in this alone is served.
func TestReturnedUrgentAndSmallGoFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProspect(t)
		better := p
		better.Returned = true
		better.Ahead *= rapid.Float64Range(0, 1).Draw(t, "urgent")
		better.Share *= rapid.Float64Range(0, 1).Draw(t, "small")
		_, _, refused := p.Refuse(0)
		if _, _, betterRefused := better.Refuse(0); betterRefused && !refused {
			t.Errorf("%+v is refused and %+v is not", better, p)
		}
	})
}

// Three client accounts send 20, 9 and 0.1 times the capacity of a queue. The small one is served as if it were
// alone, and neither of the big ones is starved.
func TestBurstOfBigAccountsDoesNotDisplaceSmallOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	demand := map[string]float64{"huge": 20, "big": 9, "small": 0.1}
	names := []string{"huge", "big", "small"}
	const step, service, slots, timeLeft = time.Millisecond, 0.02, 8, 800 * time.Millisecond
	var work AccountWork
	sent, served := map[string]int{}, map[string]int{}
	queue, now := 0.0, loadStart // queue is the work that waits, in requests
	for i := range 20000 {
		now = now.Add(step)
		queue = max(0, queue-slots/service*step.Seconds())
		if i%100 == 0 {
			work.Refresh(now)
		}
		for _, name := range names {
			mean := demand[name] * slots / service * step.Seconds()
			for mean > 0 && random.Float64() < min(mean, 1) {
				mean--
				sent[name]++
				share, fair := work.Share(name)
				p := Prospect{
					Start: time.Duration(queue * service / slots * float64(time.Second)), Ahead: 1, TimeLeft: timeLeft,
					Share: share, Fair: fair, Slots: slots, FreeSlots: max(0, slots-int(queue)),
				}
				if _, _, refuse := p.Refuse(random.Float64()); refuse {
					continue
				}
				served[name]++
				queue++
				work.Add(name, 1, now)
			}
		}
	}
	if got := float64(served["small"]) / float64(sent["small"]); got < 0.95 {
		t.Errorf("%.2f of the small account's requests are served, want at least 0.95", got)
	}
	all := served["huge"] + served["big"] + served["small"]
	for _, name := range names[:2] {
		if served[name] < all/5 {
			t.Errorf("account %s got %d of %d served requests, want at least a fifth", name, served[name], all)
		}
	}
}

// Accounts that have sent nothing for a while do not lessen the fair share of the others.
func TestIdleAccountsDoNotCount(t *testing.T) {
	var work AccountWork
	work.Add("idle", 1, loadStart)
	now := loadStart.Add(60 * time.Second)
	work.Add("busy", 10, now)
	work.Refresh(now)
	if share, fair := work.Share("busy"); share < 0.999 || fair != 1 {
		t.Errorf("the only active account has a share of %.2f, fair is %.2f; want 1 and 1", share, fair)
	}
}

// Urgent requests are not refused because of less urgent work, which they do not wait for.
func TestUrgentRequestsDoNotWaitForLessUrgentWork(t *testing.T) {
	var ranks RankWork
	if got := ranks.Ahead(0); got != 1 {
		t.Errorf("without work, %.2f of the wait counts, want all", got)
	}
	for range 400 {
		ranks.Add(0, 1)
		ranks.Add(3, 3)
	}
	if urgent, other := ranks.Ahead(0), ranks.Ahead(3); urgent < 0.2 || urgent > 0.3 || other != 1 {
		t.Errorf("%.2f of the wait counts for rank 0 and %.2f for rank 3, want about 0.25 and 1", urgent, other)
	}
}
