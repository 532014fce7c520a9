package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// estimate returns the rate that a meter has measured, as a multiple of the pool's typical one.
func estimate(m *RateMeter, now time.Time) float64 {
	log, _ := m.Log(now)
	return math.Exp(log)
}

// answersOf adds answers at the given speed, ten a second for the given time, and returns the time after it.
func answersOf(m *RateMeter, speed float64, span time.Duration, now time.Time) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(100 * time.Millisecond) {
		m.Add(clampLog(math.Log(speed)), 1, now)
	}
	return now
}

// An upstream that slows down 2.5 times for 0.6 s at a time keeps its rate. If each slow-down changed the rate
// much, work would move to and fro between upstreams.
func TestRateKeepsThroughShortSlowdowns(t *testing.T) {
	m := &RateMeter{}
	now := answersOf(m, 1, 30*time.Second, start)
	for range 5 {
		before := estimate(m, now)
		now = answersOf(m, 1/2.5, 600*time.Millisecond, now)
		if after := estimate(m, now); before/after > 1.1 {
			t.Errorf("the rate fell from %.2f to %.2f within one slow-down", before, after)
		}
		now = answersOf(m, 1, 3400*time.Millisecond, now)
	}
	if got := estimate(m, now); got < 0.8 {
		t.Errorf("slow for 0.15 of the time: the rate is %.2f, want at least 0.8", got)
	}
}

// The rate of an upstream that was slow for long is found within seconds, and found again when the upstream
// has recovered, also if it gets no requests meanwhile.
func TestRateFollowsUpstreamThatStaysSlowOrRecovers(t *testing.T) {
	m := &RateMeter{}
	now := answersOf(m, 0.45, 10*time.Second, start)
	if got := estimate(m, now); got < 0.4 || got > 0.55 {
		t.Errorf("speed 0.45 for 10 s: the rate is %.2f, want 0.4 to 0.55", got)
	}
	if got := estimate(m, now.Add(60*time.Second)); got < 0.9 {
		t.Errorf("60 s without answers: the rate is %.2f, want at least 0.9", got)
	}
	if got := estimate(m, answersOf(m, 1, 25*time.Second, now)); got < 0.9 {
		t.Errorf("25 s after its recovery: the rate is %.2f, want at least 0.9", got)
	}
}

// Wrong measurements, for example of answers that come at once without work, change a rate to at most four
// times the pool's median and at least a quarter of it.
func TestRateIsBounded(t *testing.T) {
	fast, slow := &RateMeter{}, &RateMeter{}
	now := answersOf(fast, 1e6, 30*time.Second, start)
	answersOf(slow, 1e-6, 30*time.Second, start)
	logs := make([]float64, 5)
	logs[0], _ = fast.Log(now)
	logs[1], _ = slow.Log(now)
	rates := RelativeRates(logs)
	if rates[0] > 4.001 || rates[1] < 0.249 || rates[2] != 1 {
		t.Errorf("rates are %.3f, want at most 4, at least 0.25 and the median 1", rates)
	}
}

// A new run of an upstream starts at the pool's median and is judged only after several answers.
func TestRateOfNewRunStartsAtMedian(t *testing.T) {
	m := &RateMeter{}
	if got := estimate(m, start); got != 1 {
		t.Errorf("the rate of a new run is %.2f, want 1", got)
	}
	m.Add(math.Log(0.25), 1, start)
	if got := estimate(m, start); got < 0.7 {
		t.Errorf("the rate after one slow answer is %.2f, want at least 0.7", got)
	}
}

// Each measurement of another host counts about once, whether hosts exchange their loads every 80 ms, as few
// hosts do, or every 400 ms, as hundreds do.
func TestPublishedMeasurementsCountOnce(t *testing.T) {
	for _, interval := range []time.Duration{80 * time.Millisecond, 304 * time.Millisecond, 400 * time.Millisecond} {
		own, peer := &RateMeter{}, &RateMeter{}
		published := 0
		now := start
		for end := start.Add(60 * time.Second); now.Before(end); now = now.Add(interval) {
			own.Add(math.Log(0.5), interval.Seconds()*10, now)
			e, ok := own.Publish(12345, now)
			if ok {
				published++
			}
			peer.AddPeers(e, now)
		}
		_, ownWeight := own.Log(now)
		if _, weight := peer.Log(now); weight < 0.6*ownWeight || weight > 1.4*ownWeight {
			t.Errorf("interval %s: the weight at another host is %.0f, want about the own %.0f", interval, weight, ownWeight)
		}
		if got := estimate(peer, now); got < 0.45 || got > 0.6 {
			t.Errorf("interval %s: the rate at another host is %.2f, want about 0.5", interval, got)
		}
		if share := float64(published) * interval.Seconds() / 60; share > 0.35 {
			t.Errorf("interval %s: measurements were in %.2f of the digests, want at most 0.35", interval, share)
		}
	}
}

// Under load, requests wait at every upstream, and the expected work leaves out a part of the wait. The rates
// are found nevertheless, because answers are compared with those of other requests with as much work ahead.
func TestRateIsRightUnderLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	var reference RateReference
	meters := []*RateMeter{{}, {}, {}, {}}
	now := start
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		i := random.IntN(len(speeds))
		unread := 1460 + random.IntN(2)*15000
		backlog := random.Int64N(40000)
		sample := PromptSample(unread, backlog, false)
		unseen := 1 + random.Float64() // work in front of the request that this host does not know
		took := time.Duration((0.02 + unseen*float64(int64(unread)+backlog)/60000) / speeds[i] * float64(time.Second))
		if deviation, ok := reference.Compare(sample.Class, sample.LogSpeed(took)); ok {
			meters[i].Add(deviation, sample.Weight, now)
		}
	}
	logs := make([]float64, len(meters))
	for i, m := range meters {
		logs[i], _ = m.Log(now)
	}
	rates := RelativeRates(logs)
	if want := 0.55 / 1.2; rates[0] < 0.8*want || rates[0] > 1.25*want {
		t.Errorf("the rate of the slow upstream is %.2f, want about %.2f", rates[0], want)
	}
	for i, rate := range rates[1:] {
		if rate < 0.8 || rate > 1.25 {
			t.Errorf("the rate of upstream %d is %.2f, want about 1", i+1, rate)
		}
	}
}
