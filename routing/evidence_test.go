package routing

import (
	"testing"
	"time"
)

var evidenceStart = time.Unix(1000, 0)

// pool of four upstreams, of which some fail a share of their requests; each
// host has seen a few and knows of the rest from the others.
func quietPool(failedOf20 ...float64) *Snapshot {
	var upstreams []Upstream
	for i, failed := range failedOf20 {
		live := &Live{}
		live.SetOthers(0, 0, Outcomes{Ended: 20, Failed: failed})
		live.Outcome(failed > 10, evidenceStart)
		upstreams = append(upstreams, Upstream{ID: string(rune('a' + i)), FailureDomain: "d", Live: live})
	}
	return NewSnapshot(upstreams, NewLayout(upstreams), 0)
}

// One upstream of four fails nearly half of its requests while its health is
// good: it gets none while others are there.
func TestQuietFailureOfOneUpstream(t *testing.T) {
	s := quietPool(0, 9, 1, 0)
	for seed := range uint64(50) {
		r := &Request{Now: evidenceStart}
		if c := (LeastBacklog{Domain: "d"}).Pick(s, r, seed); c.Index == 1 || c.Index < 0 {
			t.Fatalf("plain: %+v", c)
		}
		if c := (Prefill{Tokens: 1000}).Pick(s, r, seed); c.Index == 1 || c.Index < 0 {
			t.Fatalf("prompt: %+v", c)
		}
	}
	r := &Request{Now: evidenceStart, Tried: []string{"a", "c", "d"}}
	if c := (LeastBacklog{}).Pick(s, r, 1); c.Index != 1 || c.Reason != ReasonLastResort {
		t.Errorf("no other left: %+v", c)
	}
}

// All fail alike, as a service whose requests are refused by its own rules: the
// load decides.
func TestFailuresOfAllUpstreamsAlike(t *testing.T) {
	s := quietPool(9, 9, 9, 9)
	s.Upstreams[0].Live.Begin()
	if c := (LeastBacklog{Domain: "d"}).Pick(s, &Request{Now: evidenceStart}, 1); c.Index == 0 || c.Reason != ReasonLoad {
		t.Errorf("%+v", c)
	}
}

// Evidence is forgotten, so that an upstream that works again gets requests.
func TestEvidenceIsForgotten(t *testing.T) {
	live := &Live{}
	for range 20 {
		live.Outcome(true, evidenceStart)
	}
	later := evidenceStart.Add(5 * evidenceSpan)
	if o := live.Outcomes(later); o.Failed > 0.2 {
		t.Errorf("%+v after %v", o, 5*evidenceSpan)
	}
}
