package routing

import (
	"testing"
	"time"
)

// failTogether records attempts that fail within a few milliseconds.
func failTogether(l *UpstreamStats, attempts int, at time.Time) {
	for i := range attempts {
		l.Fail(at.Add(time.Duration(i) * time.Millisecond))
	}
}

// TestAttemptsThatFailTogetherAreOneFailure guards against an upstream that gets no work for half a minute after
// one reset of its connections: each request in flight counted as a further failure in a row.
func TestAttemptsThatFailTogetherAreOneFailure(t *testing.T) {
	began := time.Unix(100, 0)
	var l UpstreamStats
	failTogether(&l, 10, began)
	if !l.Slow(began.Add(failBackoff / 2)) {
		t.Error("the upstream gets work at once after a failure")
	}
	if l.Slow(began.Add(failBackoff + 20*time.Millisecond)) {
		t.Errorf("10 attempts that failed together keep the upstream from work for more than %v", failBackoff)
	}
}

// TestFailuresWithoutWorkDoNotProlongIt guards against an upstream that gets no work for long after a short
// outage of all upstreams: attempts that were sent to it as a last resort counted as further failures.
func TestFailuresWithoutWorkDoNotProlongIt(t *testing.T) {
	began := time.Unix(100, 0)
	var l UpstreamStats
	for at := began; at.Before(began.Add(failBackoff)); at = at.Add(failBackoff / 8) {
		l.Fail(at)
	}
	if l.Slow(began.Add(failBackoff + 20*time.Millisecond)) {
		t.Errorf("attempts that failed within %v after the first one keep the upstream from work for longer", failBackoff)
	}
}

// TestFailuresInARowDoubleTheBackoff checks the times without work after failures in a row, and that a
// success ends the row.
func TestFailuresInARowDoubleTheBackoff(t *testing.T) {
	now := time.Unix(100, 0)
	var l UpstreamStats
	for i := range maxFailures + 2 {
		want := failBackoff << min(i, maxFailures-1)
		failTogether(&l, 3, now)
		if !l.Slow(now.Add(want-50*time.Millisecond)) || l.Slow(now.Add(want+50*time.Millisecond)) {
			t.Errorf("after failure %d in a row the upstream gets no work for another time than %v", i+1, want)
		}
		now = now.Add(want + time.Second)
	}
	l.Succeed()
	l.Fail(now)
	if l.Slow(now.Add(failBackoff + 50*time.Millisecond)) {
		t.Error("a failure after a success counts as one of a row")
	}
}
