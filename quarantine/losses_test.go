package quarantine

import (
	"testing"
	"time"
)

// lose reports a lost attempt of a request with the given keys.
func lose(t *Tracker, upstream uint64, at time.Duration, keys ...Key) {
	t.AddLoss(Crash{Upstream: upstream, At: trackerStart.Add(at), Keys: keys})
}

// TestLostRequestIsRefused guards against a request that ends upstreams without proof: it is refused
// after three losses in a row, and losses at the same time count as one.
func TestLostRequestIsRefused(t *testing.T) {
	tr := newTestTracker()
	for i := range uint64(9) { // a cut link loses the same request at several upstreams
		lose(tr, i, time.Duration(i)*10*time.Millisecond, whole, poison)
	}
	if tr.refuses(time.Second, whole, poison) {
		t.Error("the request is refused after losses within 200 ms")
	}
	lose(tr, 20, time.Second, whole, poison)
	lose(tr, 21, 2*time.Second, whole, poison)
	if !tr.refuses(3*time.Second, whole, poison) {
		t.Error("the request is not refused after losses at three times")
	}
	if tr.refuses(3*time.Second, whole+1, poison) {
		t.Error("another request with the same part is refused after losses at three times")
	}
}

// TestLostRequestThatIsAnsweredStaysServed checks that each answer between losses clears a request, also if
// the answer is learned after the last loss.
func TestLostRequestThatIsAnsweredStaysServed(t *testing.T) {
	tr := newTestTracker()
	for i := range 20 {
		lose(tr, uint64(2*i), time.Duration(3*i)*time.Second, whole, poison)
		lose(tr, uint64(2*i+1), time.Duration(3*i+1)*time.Second, whole, poison)
		tr.Answered([]Key{whole, poison}, trackerStart.Add(time.Duration(3*i+2)*time.Second))
	}
	if tr.refuses(time.Minute, whole, poison) {
		t.Error("a request that was answered between its losses is refused")
	}
	tr = newTestTracker()
	for i := range 3 {
		lose(tr, uint64(i), time.Duration(i)*time.Second, whole)
	}
	tr.Answered([]Key{whole}, trackerStart.Add(1500*time.Millisecond))
	if tr.refuses(3*time.Second, whole) {
		t.Error("a request is refused although an answer lies between its losses")
	}
}

// TestLostPartIsRefusedUnlessAnswered checks that a part is refused after six losses of different requests
// if it was never answered, and never otherwise.
func TestLostPartIsRefusedUnlessAnswered(t *testing.T) {
	tr := newTestTracker()
	tr.Answered([]Key{whole + 100, firstPart}, trackerStart.Add(-time.Second))
	for i := range Key(6) {
		if tr.refuses(time.Duration(i)*time.Second, whole+50, poison) {
			t.Errorf("the part is refused after %d losses", i)
		}
		lose(tr, uint64(i), time.Duration(i)*time.Second, whole+i, firstPart, poison)
	}
	if !tr.refuses(10*time.Second, whole+50, poison) {
		t.Error("the part that was never answered is not refused")
	}
	if tr.refuses(10*time.Second, whole+50, firstPart) {
		t.Error("the part that was answered before is refused")
	}
}

// TestLossesUseBoundedMemory checks that endless losses of different content displace neither the memory of
// a process nor the evidence of crashes.
func TestLossesUseBoundedMemory(t *testing.T) {
	tr := newTestTracker()
	begin(tr, 1, 0, whole, firstPart, poison)
	for i := range 5 * maxLostKeys {
		lose(tr, uint64(i), time.Duration(i)*10*time.Millisecond, Key(1_000_000+i))
	}
	if n := len(tr.losses.generations[0]) + len(tr.losses.generations[1]); n > 2*maxLostKeys {
		t.Errorf("losses of %d keys are kept, want at most %d", n, 2*maxLostKeys)
	}
	for i := range Key(5 * maxLossSets) {
		for j := range 3 {
			lose(tr, uint64(j), 10*time.Minute+time.Duration(j)*time.Second, 2_000_000+i)
		}
	}
	if n := len(tr.Sets()); n > maxLossSets {
		t.Errorf("%d sets follow from losses, want at most %d", n, maxLossSets)
	}
	crashes := 0
	for _, r := range tr.log.records {
		if r.kind == recordCrash {
			crashes++
		}
	}
	if crashes != 1 || len(tr.log.records) > maxRecords {
		t.Errorf("%d records with %d crashes are kept, want 1 crash and at most %d records", len(tr.log.records), crashes, maxRecords)
	}
}

// TestTrialOfLostRequestThatFailsExtendsItsQuarantine checks that a lost trial doubles the quarantine.
func TestTrialOfLostRequestThatFailsExtendsItsQuarantine(t *testing.T) {
	tr := newTestTracker()
	for i := range 3 {
		lose(tr, uint64(i), time.Duration(i)*time.Second, whole)
	}
	due := 2*time.Second + minQuarantine
	if tr.refuses(due, whole) {
		t.Fatal("no trial is let through when it is due")
	}
	lose(tr, 9, due+time.Second, whole)
	if !tr.refuses(due+time.Second+minQuarantine, whole) || tr.refuses(due+time.Second+2*minQuarantine, whole) {
		t.Errorf("quarantined sets are %+v, want one whose quarantine has doubled", tr.Sets())
	}
}

// TestFurtherLossDisplacesNoOtherSet guards against refused content that is let through because another content,
// refused already, was lost once more while as many sets as are kept follow from losses.
func TestFurtherLossDisplacesNoOtherSet(t *testing.T) {
	tr := newTestTracker()
	for i := range Key(maxLossSets) {
		for j := range 3 {
			lose(tr, uint64(j), time.Duration(j)*time.Second, whole+i)
		}
	}
	for i := range 4 {
		lose(tr, uint64(3+i), time.Duration(3+i)*time.Second, whole+maxLossSets-1)
	}
	if n := len(tr.Sets()); n != maxLossSets {
		t.Errorf("%d sets are kept, want %d", n, maxLossSets)
	}
}
