package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var trackerStart = time.Unix(10000, 0)

// newTestTracker returns a tracker whose host runs all trials.
func newTestTracker() *Tracker {
	return NewTracker(func(Key) bool { return true }, func(string, Set) {})
}

// begin reports a crash at the start of an answer to a request with the given keys.
func begin(t *Tracker, upstream uint64, at time.Duration, keys ...Key) {
	t.Add(Crash{Upstream: upstream, At: trackerStart.Add(at), Begun: true, Keys: keys})
}

// waiting reports a crash at which a request with the given keys waited.
func waiting(t *Tracker, upstream uint64, at time.Duration, keys ...Key) {
	t.Add(Crash{Upstream: upstream, At: trackerStart.Add(at), Keys: keys})
}

func (t *Tracker) refuses(at time.Duration, keys ...Key) bool {
	_, refused := t.Refused(keys, trackerStart.Add(at))
	return refused
}

const (
	firstPart, poison, otherPart Key = 1, 2, 3
	// whole is the key of the first request as a whole; each further request has the next one.
	whole Key = 1000
)

// TestFirstPartOfCrashingRequestsStaysServed guards against a verdict by count alone: the
// first part is in as many crashes as the poison part, but sound requests carry it too.
func TestFirstPartOfCrashingRequestsStaysServed(t *testing.T) {
	tr := newTestTracker()
	begin(tr, 1, 0, whole, firstPart, poison)
	begin(tr, 2, time.Second, whole+1, firstPart, poison)
	for i, keys := range [][]Key{{whole + 2, firstPart}, {whole + 2, otherPart}} {
		if tr.refuses(2*time.Second, keys...) {
			t.Errorf("sound request %d is refused", i)
		}
	}
	if !tr.refuses(2*time.Second, whole+2, firstPart, poison) {
		t.Error("a request with the parts of both crashes is not refused")
	}
	tr.Answered([]Key{whole + 3, firstPart}, trackerStart.Add(3*time.Second))
	if !tr.refuses(4*time.Second, whole+4, otherPart, poison) {
		t.Error("a request with the poison part and another first part is not refused, though the first part is proven sound")
	}
}

// TestPartThatWasAnsweredBeforeIsNotBlamed checks that of two parts in all crashes the one that
// was never answered is blamed.
func TestPartThatWasAnsweredBeforeIsNotBlamed(t *testing.T) {
	tr := newTestTracker()
	tr.Answered([]Key{firstPart}, trackerStart.Add(-time.Minute))
	begin(tr, 1, 0, whole, firstPart, poison)
	begin(tr, 2, time.Second, whole+1, firstPart, poison)
	if !tr.refuses(2*time.Second, whole+2, otherPart, poison) || tr.refuses(2*time.Second, whole+2, firstPart) {
		t.Errorf("quarantined sets are %v, want the poison part alone", tr.Sets())
	}
}

// TestPartThatBecomesPoisonous checks that a part is quarantined although it was answered before
// the first crash.
func TestPartThatBecomesPoisonous(t *testing.T) {
	tr := newTestTracker()
	tr.Answered([]Key{firstPart, poison}, trackerStart.Add(-time.Second))
	for i := range Key(4) {
		begin(tr, uint64(i), time.Duration(i)*time.Second, whole+i, firstPart, poison)
	}
	if !tr.refuses(5*time.Second, whole+9, firstPart, poison) {
		t.Error("the part is not quarantined after four crashes")
	}
}

// TestRepeatedRequestIsRefusedAlone checks that a request that crashes upstreams as a whole is
// refused, and other requests with its parts are served.
func TestRepeatedRequestIsRefusedAlone(t *testing.T) {
	tr := newTestTracker()
	for i := range uint64(4) {
		waiting(tr, i, time.Duration(i)*time.Second, whole, firstPart, otherPart)
	}
	if !tr.refuses(5*time.Second, whole, firstPart, otherPart) || tr.refuses(5*time.Second, whole+1, firstPart, otherPart) {
		t.Errorf("quarantined sets are %v, want the whole request", tr.Sets())
	}
}

// TestCompanionOfCrashesStaysServed checks that content that only waited, or was in fewer crashes
// than other content, is not refused.
func TestCompanionOfCrashesStaysServed(t *testing.T) {
	tr := newTestTracker()
	for i := range Key(5) {
		at := time.Duration(i) * time.Second
		begin(tr, uint64(i), at, whole+i, firstPart, poison)
		waiting(tr, uint64(i), at, whole+100+i, otherPart)
	}
	if tr.refuses(6*time.Second, whole+200, otherPart) {
		t.Error("content that waited at the upstreams is refused")
	}
}

// TestLossOfFailureDomainQuarantinesNothing checks that upstreams that end together, with the
// same popular content, are no evidence against it.
func TestLossOfFailureDomainQuarantinesNothing(t *testing.T) {
	tr := newTestTracker()
	tr.Answered([]Key{firstPart, otherPart}, trackerStart.Add(-time.Second))
	for i := range Key(20) {
		begin(tr, uint64(i), time.Duration(i)*5*time.Millisecond, whole+i, firstPart, otherPart)
		waiting(tr, uint64(i), time.Duration(i)*5*time.Millisecond, whole+100+i, otherPart)
	}
	if sets := tr.Sets(); len(sets) != 0 {
		t.Errorf("quarantined sets are %v, want none", sets)
	}
}

// TestTrialOfQuarantinedContent checks the end of a quarantine: one request at a time tries the
// content, at one host; a crash extends the quarantine, an answer lifts it.
func TestTrialOfQuarantinedContent(t *testing.T) {
	mine := true
	tr := NewTracker(func(Key) bool { return mine }, func(string, Set) {})
	begin(tr, 1, 0, whole, poison)
	begin(tr, 2, time.Second, whole+1, poison)
	due := tr.Sets()[0].Until().Sub(trackerStart)
	if due != time.Second+minQuarantine || !tr.refuses(due-time.Second, whole+2, poison) {
		t.Fatalf("the trial is due after %v, want %v", due, time.Second+minQuarantine)
	}
	mine = false
	if !tr.refuses(due, whole+2, poison) {
		t.Error("a host that does not run the trial lets a request pass")
	}
	mine = true
	if tr.refuses(due, whole+2, poison) {
		t.Error("no trial runs when it is due")
	}
	if !tr.refuses(due, whole+3, poison) {
		t.Error("a second request passes during the trial")
	}
	begin(tr, 3, due+time.Second, whole+2, poison)
	if next := tr.Sets()[0].Until().Sub(trackerStart); next < due+2*minQuarantine {
		t.Errorf("after a crash in the trial the next one is due after %v, want twice the time", next)
	}
	tr.Answered([]Key{poison}, trackerStart.Add(due+2*time.Second))
	if sets := tr.Sets(); len(sets) != 0 {
		t.Errorf("quarantined sets are %v after an answer, want none", sets)
	}
}

// TestEvidenceIsBounded checks that a client account that sends new content for each crash
// cannot push out the evidence of others, nor use memory without bound.
func TestEvidenceIsBounded(t *testing.T) {
	tr := newTestTracker()
	tr.Add(Crash{Upstream: 1, At: trackerStart, Account: 1, Begun: true, Keys: []Key{whole, poison}})
	for i := range 1000 {
		at := trackerStart.Add(time.Duration(i) * 10 * time.Millisecond)
		tr.Add(Crash{Upstream: uint64(i + 2), At: at, Account: 2, Begun: true, Keys: []Key{Key(1<<20 + i)}})
		tr.Answered([]Key{Key(1<<30 + i)}, at)
	}
	tr.Add(Crash{Upstream: 5000, At: trackerStart.Add(11 * time.Second), Account: 1, Begun: true, Keys: []Key{whole + 1, poison}})
	if !tr.refuses(12*time.Second, whole+2, poison) {
		t.Error("the evidence of another account was lost")
	}
	if crashes, sets := len(tr.crashes), len(tr.sets); crashes > maxCrashes || sets > maxSets {
		t.Errorf("%d crashes and %d sets in memory, want at most %d and %d", crashes, sets, maxCrashes, maxSets)
	}
}

// TestVerdictDoesNotDependOnTheOrderOfEvidence checks that hosts that learn the same reports in
// different orders refuse the same requests.
func TestVerdictDoesNotDependOnTheOrderOfEvidence(t *testing.T) {
	keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]Key{1, 2, 3, 4}), 1, 3, rapid.ID[Key])
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Crash {
			upstream := rapid.Uint64Range(1, 6).Draw(t, "upstream")
			at := trackerStart.Add(time.Duration(upstream) * time.Second)
			return Crash{Upstream: upstream, At: at, Begun: true, Keys: keys.Draw(t, "keys")}
		}), 1, 10).Draw(t, "reports")
		a, b := newTestTracker(), newTestTracker()
		for _, r := range reports {
			a.Add(r)
		}
		for _, r := range rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(t, "order") {
			b.Add(r)
		}
		request := keys.Draw(t, "request")
		if got, want := b.refuses(10*time.Second, request...), a.refuses(10*time.Second, request...); got != want {
			t.Fatalf("request %v: refused %v and %v, sets %v and %v", request, got, want, b.Sets(), a.Sets())
		}
	})
}

// TestPoisonPartIsFound plays random crashes: requests with the poison part, companions that wait or
// losses of upstreams from outside. It checks that the poison
// part is refused soon and that no sound request is refused for long.
func TestPoisonPartIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTestTracker()
		parts := rapid.SliceOfN(rapid.SampledFrom([]Key{11, 12, 13, 14}), 12, 12).Draw(t, "first parts")
		crashes, refusedSound, losses := 0, 0, 0
		for i, first := range parts {
			at := time.Duration(i) * time.Second
			if !tr.refuses(at, whole+Key(i), first, poison) {
				crashes++
				begin(tr, uint64(i), at, whole+Key(i), first, poison)
				waiting(tr, uint64(i), at, whole+Key(100+i), rapid.SampledFrom(parts).Draw(t, "companion"))
			}
			if losses < partCrashes-1 && rapid.Bool().Draw(t, "loss") {
				losses++
				waiting(tr, uint64(100+i), at+300*time.Millisecond, whole+Key(200+i), rapid.SampledFrom(parts).Draw(t, "lost"))
			}
			sound := rapid.SampledFrom(parts).Draw(t, "sound")
			if tr.refuses(at+500*time.Millisecond, whole+Key(300+i), sound) {
				refusedSound++
			} else {
				tr.Answered([]Key{whole + Key(300+i), sound}, trackerStart.Add(at+500*time.Millisecond))
			}
		}
		if crashes > 5 || refusedSound > 0 {
			t.Fatalf("%d crashes and %d sound requests refused, want at most 5 and none; sets %v", crashes, refusedSound, slices.Clone(tr.Sets()))
		}
	})
}

// TestTwoHostsDoNotCountOneCrashTwice checks that reports of hosts that notice the end of an upstream
// at different moments are of one crash.
func TestTwoHostsDoNotCountOneCrashTwice(t *testing.T) {
	tr := newTestTracker()
	begin(tr, 1, 0, whole, poison)
	begin(tr, 1, 400*time.Millisecond, whole+1, poison)
	if tr.refuses(time.Second, whole+2, poison) {
		t.Error("content is quarantined after one crash")
	}
	begin(tr, 1, 5*time.Second, whole+2, poison)
	if !tr.refuses(6*time.Second, whole+3, poison) {
		t.Error("content is not quarantined after two crashes of the same upstream")
	}
}

// TestAnswersToPopularContentStayFew checks that hosts that answer requests with a suspected part all the
// time tell each other so about once for each crash, not once for each answer.
func TestAnswersToPopularContentStayFew(t *testing.T) {
	collector := newTestTracker()
	hosts := make([]*Tracker, 50)
	for i := range hosts {
		hosts[i] = newTestTracker()
	}
	const crashes, seconds = 3, 9
	for step := range seconds * 5 {
		now := trackerStart.Add(time.Duration(step) * 200 * time.Millisecond)
		if step%15 == 0 {
			hosts[0].Add(Crash{Upstream: uint64(step), At: now, Begun: true, Keys: []Key{whole + Key(step), firstPart, poison}})
		}
		for _, h := range hosts {
			h.Answered([]Key{firstPart}, now.Add(time.Millisecond))
			h.Receive("collector", collector.Answer(h.Request("collector", now), now), now)
		}
	}
	// A record for each crash and for the answer after it, and the quarantined set.
	if records := collector.log.last; records > 2*crashes+1 {
		t.Errorf("the collecting host holds %d records, want at most %d", records, 2*crashes+1)
	}
}

// TestLossOfManyUpstreamsStaysSmall reports, as 300 hosts would, the requests that waited at the upstreams
// of a lost failure domain. The collecting host must not send each of them to all other hosts, and
// must keep the evidence against content that crashes upstreams.
func TestLossOfManyUpstreamsStaysSmall(t *testing.T) {
	collector, host := newTestTracker(), newTestTracker()
	exchange := func(from *Tracker, at time.Duration) int {
		now := trackerStart.Add(at)
		answer := collector.Answer(from.Request("collector", now), now)
		from.Receive("collector", answer, now)
		return len(answer)
	}
	poisonHost := newTestTracker()
	begin(poisonHost, 9001, 0, whole, poison)
	exchange(poisonHost, 0)
	for upstream := range uint64(100) {
		reporter := newTestTracker()
		for waits := range Key(12) {
			waiting(reporter, upstream, time.Second, whole+Key(upstream)*100+waits, firstPart, otherPart)
		}
		exchange(reporter, time.Second)
	}
	const maxAnswerBytes = 4 << 10
	if size := exchange(host, 2*time.Second); size > maxAnswerBytes {
		t.Errorf("the collecting host sent %d bytes to another host, want at most %d", size, maxAnswerBytes)
	}
	begin(poisonHost, 9002, 3*time.Second, whole+1, poison)
	exchange(poisonHost, 3*time.Second)
	exchange(host, 3*time.Second)
	if !host.refuses(4*time.Second, whole+2, poison) {
		t.Error("the evidence of a crash before the loss was pushed out")
	}
}

// TestEvidenceIsForgottenInTime checks that no evidence is kept for ever: crashes, answers, records and a
// quarantine whose trial has been due for long without a result.
func TestEvidenceIsForgottenInTime(t *testing.T) {
	tr := newTestTracker()
	tr.Answered([]Key{firstPart, otherPart}, trackerStart)
	begin(tr, 1, time.Second, whole, firstPart, poison)
	begin(tr, 2, 2*time.Second, whole+1, firstPart, poison)
	tr.Answered([]Key{firstPart}, trackerStart.Add(3*time.Second))
	due := tr.Sets()[0].Until()
	tr.RemoveExpired(due.Add(Expiry - time.Second))
	if sets := len(tr.Sets()); sets != 1 {
		t.Errorf("%d sets are left while the trial has been due for less than %v, want 1", sets, Expiry)
	}
	tr.RemoveExpired(due.Add(Expiry))
	tr.RemoveExpired(due.Add(2 * Expiry))
	if sets, crashes, answers, records := len(tr.Sets()), len(tr.crashes), len(tr.answered)+len(tr.recent[0])+len(tr.recent[1]), len(tr.log.records); sets+crashes+answers+records != 0 {
		t.Errorf("%d sets, %d crashes, %d answers and %d records are left, want none", sets, crashes, answers, records)
	}
}
