package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sent reports a crash at which a request with the given keys, sent at the given time, waited.
func sent(t *Tracker, upstream uint64, sentAt, at time.Duration, keys ...Key) {
	t.Add(t.Ended(Crash{Upstream: upstream, SentAt: trackerStart.Add(sentAt), At: trackerStart.Add(at), Keys: keys}))
}

// exchangeAll lets hosts send a collector what they know, twice, so that each learns all of it.
func exchangeAll(collector *Tracker, now time.Time, hosts ...*Tracker) {
	for range 2 {
		for _, h := range hosts {
			h.Receive("collector", collector.Answer(h.Request("collector", now), now), now)
		}
	}
}

const ms = time.Millisecond

// TestRepeatsWithinMillisecondsCount guards against crashes that count as one because they lie close
// together: each repeat was sent because the end before it had been seen.
func TestRepeatsWithinMillisecondsCount(t *testing.T) {
	for name, answered := range map[string]bool{"never answered": false, "answered before": true} {
		t.Run(name, func(t *testing.T) {
			collector, a, b := newTestTracker(), newTestTracker(), newTestTracker()
			if answered {
				a.Answered([]Key{whole}, trackerStart.Add(-recentAnswerSpan))
			}
			sent(a, 1, 0, 20*ms, whole)
			sent(a, 2, 21*ms, 41*ms, whole)
			sent(b, 3, 43*ms, 63*ms, whole)
			sent(b, 4, 64*ms, 84*ms, whole)
			exchangeAll(collector, trackerStart.Add(time.Second), a, b)
			for i, h := range []*Tracker{collector, a, b} {
				if !h.refuses(time.Second, whole) {
					t.Errorf("tracker %d does not refuse a request that was repeated at four upstreams, each of which ended", i)
				}
			}
		})
	}
}

// TestPopularRequestThatTurnsFatal checks that a request that was answered right before it ended all upstreams is
// refused after the first crash of the next burst: nothing has answered it in between.
func TestPopularRequestThatTurnsFatal(t *testing.T) {
	tr := newTestTracker()
	tr.Answered([]Key{whole}, trackerStart.Add(-time.Second))
	for i := range time.Duration(4) {
		sent(tr, uint64(i), i*21*ms, i*21*ms+20*ms, whole)
	}
	if tr.refuses(time.Second, whole) {
		t.Error("a popular request is refused after crashes at one time")
	}
	sent(tr, 9, 4500*ms, 4520*ms, whole)
	if !tr.refuses(5*time.Second, whole) {
		t.Error("the request is not refused after a crash that no answer came before")
	}
}

// TestCrashesOfOneOutsideCauseCountAsOne checks the other side: a popular request that was at all upstreams when
// they ended together is served, whichever host learns of the crashes and of the answers first.
func TestCrashesOfOneOutsideCauseCountAsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spread := rapid.SampledFrom([]time.Duration{0, 60 * ms, 150 * ms}).Draw(t, "spread")
		collector := newTestTracker()
		hosts := []*Tracker{newTestTracker(), newTestTracker(), newTestTracker(), newTestTracker()}
		answering := hosts[rapid.IntRange(0, 3).Draw(t, "answering host")]
		answering.Answered([]Key{whole, firstPart}, trackerStart.Add(-100*ms))
		for i, h := range hosts {
			at := time.Duration(i) * spread / 3
			for j := range 2 {
				sent(h, uint64(i), -time.Duration(10+j)*ms, at, whole, firstPart)
			}
		}
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
			exchangeAll(collector, trackerStart.Add(time.Second), hosts[i])
		}
		exchangeAll(collector, trackerStart.Add(time.Second), hosts...)
		for i, h := range append(slices.Clone(hosts), collector) {
			if h.refuses(time.Second, whole, firstPart) || h.refuses(time.Second, whole+1, firstPart) {
				t.Fatalf("tracker %d refuses a sound request after an outside cause; sets %v", i, h.Sets())
			}
		}
	})
}

// TestAnswerRefutesEarlierCrashes checks that a quarantine ends when an answer is learned that was given
// between the crashes that led to it.
func TestAnswerRefutesEarlierCrashes(t *testing.T) {
	tr := newTestTracker()
	for i := range time.Duration(3) {
		sent(tr, uint64(i), i*time.Second, i*time.Second+20*ms, whole)
	}
	if !tr.refuses(3*time.Second, whole) {
		t.Fatal("the request is not refused after three crashes")
	}
	tr.Answered([]Key{whole}, trackerStart.Add(1500*ms))
	if tr.refuses(3*time.Second, whole) {
		t.Error("the request is refused although it was answered after two of three crashes")
	}
}

// TestRepeatedLossesWithinMillisecondsCount is TestRepeatsWithinMillisecondsCount for attempts that are lost
// without proof that an upstream ended. Losses that no loss preceded, such as those of a cut link, count as
// one.
func TestRepeatedLossesWithinMillisecondsCount(t *testing.T) {
	for name, c := range map[string]struct {
		sentAfter time.Duration // after the end before
		refused   bool
	}{"repeats": {ms, true}, "sent before the first loss": {-200 * ms, false}} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTracker()
			for i := range time.Duration(4) {
				at := i * 21 * ms
				tr.AddLoss(tr.Ended(Crash{Upstream: uint64(i), SentAt: trackerStart.Add(at - 21*ms + c.sentAfter), At: trackerStart.Add(at), Keys: []Key{whole}}))
			}
			if got := tr.refuses(time.Second, whole); got != c.refused {
				t.Errorf("after four losses: refused is %v, want %v", got, c.refused)
			}
		})
	}
}

// TestPopularPartOfRepeatedRequestsStaysServed checks that a first part that many requests share is not refused
// when an outside cause ends one upstream after the other and requests are repeated meanwhile.
func TestPopularPartOfRepeatedRequestsStaysServed(t *testing.T) {
	tr := newTestTracker()
	tr.Answered([]Key{firstPart}, trackerStart.Add(-time.Second))
	for i := range time.Duration(12) {
		sent(tr, uint64(i), i*10*ms+ms, (i+1)*10*ms, whole+Key(i)/2, firstPart)
	}
	if tr.refuses(time.Second, whole+99, firstPart) {
		t.Errorf("a request with the popular part is refused; sets %v", tr.Sets())
	}
}
