package routing

import (
	"testing"
	"time"
)

var outcomeStart = time.Unix(1000, 0)

// poolWithFailures returns a pool with one upstream per argument. The other hosts
// report 20 requests at each upstream, of which the given number failed; this
// host has counted one request at each.
func poolWithFailures(failedOf20 ...float64) *Snapshot {
	var upstreams []Upstream
	for i, failed := range failedOf20 {
		live := &UpstreamStats{}
		live.SetOthers(0, 0, Outcomes{Ended: 20, Failed: failed})
		live.RecordOutcome(failed > 10, outcomeStart)
		upstreams = append(upstreams, Upstream{ID: string(rune('a' + i)), FailureDomain: "d", Live: live})
	}
	return NewSnapshot(upstreams, NewLayout(upstreams), 0)
}

// One of four upstreams fails nearly half of its requests although it appears
// healthy. It must receive no request while another upstream can be chosen.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	s := poolWithFailures(0, 9, 1, 0)
	for seed := range uint64(50) {
		r := &Request{Now: outcomeStart}
		if c := (LeastBacklog{Domain: "d"}).Pick(s, r, seed); c.Index == 1 || c.Index < 0 {
			t.Fatalf("LeastBacklog chose %+v, want a healthy upstream", c)
		}
		if c := (Prefill{Tokens: 1000}).Pick(s, r, seed); c.Index == 1 || c.Index < 0 {
			t.Fatalf("Prefill chose %+v, want a healthy upstream", c)
		}
	}
	r := &Request{Now: outcomeStart, Tried: []string{"a", "c", "d"}}
	if c := (LeastBacklog{}).Pick(s, r, 1); c.Index != 1 || c.Reason != ReasonLastResort {
		t.Errorf("only the failing upstream is left: chose %+v, want index 1 as last resort", c)
	}
}

// If all upstreams fail the same share of requests, for example because the
// service rejects them by its own rules, the load decides.
func TestEqualFailureSharesLeaveChoiceToLoad(t *testing.T) {
	s := poolWithFailures(9, 9, 9, 9)
	s.Upstreams[0].Live.Begin()
	if c := (LeastBacklog{Domain: "d"}).Pick(s, &Request{Now: outcomeStart}, 1); c.Index == 0 || c.Reason != ReasonLoad {
		t.Errorf("chose %+v, want an idle upstream by load", c)
	}
}

// Outcome counts decay, so that an upstream that works again receives requests.
func TestOutcomesDecay(t *testing.T) {
	live := &UpstreamStats{}
	for range 20 {
		live.RecordOutcome(true, outcomeStart)
	}
	later := outcomeStart.Add(5 * outcomeDecay)
	if o := live.Outcomes(later); o.Failed > 0.2 {
		t.Errorf("outcomes are %+v after %v, want at most 0.2 failed", o, 5*outcomeDecay)
	}
}

// TestUpstreamThatFailedManyRequestsIsTriedAgain guards against an upstream that is avoided for the longer the
// more requests it failed at once: the share of failures stays high until few of them count, while no other
// request is sent there.
func TestUpstreamThatFailedManyRequestsIsTriedAgain(t *testing.T) {
	for _, failures := range []int{10, 100, 1000} {
		s := poolWithFailures(0, 0)
		healthy, failed := s.Upstreams[0].Live, s.Upstreams[1].Live
		for range failures {
			failed.RecordOutcome(true, outcomeStart)
		}
		healthy.Begin() // the other one is to be preferred by load
		now := outcomeStart.Add(2 * outcomeDecay)
		for range 20 {
			healthy.RecordOutcome(false, now)
		}
		failed.SetOthers(0, 0, Outcomes{})
		if c := (LeastBacklog{Domain: "d"}).Pick(s, &Request{Now: now}, 1); c.Index != 1 {
			t.Errorf("%v after %d requests failed at once, the upstream gets no request", 2*outcomeDecay, failures)
		}
	}
}
