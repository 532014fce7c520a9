package forward

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/routing"
)

// Counters of balancing by rate.
var (
	RateSamples = metrics.New("forward_rate_samples_total", "Answers from which the rate of an upstream was measured, and answers that were not used, by reason.")
	RateChanges = metrics.New("forward_rate_changes_total", "Changes of an upstream's measured rate by more than a quarter, by direction.")
)

// Labels of the RateSamples and RateChanges counters.
const (
	sampleUsed    = "used"
	sampleFirst   = "too_few_to_compare"
	sampleFull    = "no_free_slot"
	sampleFailed  = "not_successful"
	rateIncreased = "faster"
	rateDecreased = "slower"
)

// Balance switches on how uneven upstreams are handled. The zero value switches all of it off.
type Balance struct {
	// ByRate measures the rate of each upstream and compares work in expected time.
	ByRate bool
	// RefuseHopeless refuses requests at once that are expected to start after their deadline.
	RefuseHopeless bool
}

const (
	// evidenceScale converts the sums of measured rates to hundredths, the unit in which hosts exchange them.
	evidenceScale = 100
	// loggedRateChange is the ratio of two rates from which the change is logged.
	loggedRateChange = 1.25
)

// rateSample is one attempt from whose answer the rate of its upstream is measured. A nil sample measures
// nothing.
type rateSample struct {
	routing.RateSample
	meter     *routing.RateMeter
	reference *routing.RateReference
	// answerTime estimates the time of an answer of the pool; nil if it is not measured.
	answerTime *routing.DurationEstimate
	sentAt     time.Time
	success    bool
}

// beginSample returns the sample for a request that is about to be sent; nil if nothing is measured.
func (e *exchange) beginSample(t selectedUpstream) *rateSample {
	if e.f.Balance == (Balance{}) || t.meter == nil {
		return nil
	}
	inFlight := t.live.InFlight() + t.live.OthersInFlight()
	if t.Slots > 0 && inFlight >= t.Slots { // the wait for a free slot is not known
		RateSamples.Inc(sampleFull)
		return nil
	}
	s := &rateSample{meter: t.meter, reference: &e.f.pool(e.pool).reference}
	if e.meta.PromptTokens > 0 {
		s.RateSample = routing.PromptSample(t.prefillTokens, t.live.Backlog(), t.reason == routing.ReasonAffinity)
	} else {
		s.RateSample = routing.PlainSample(xxhash.Sum64String(e.route.Name), inFlight, t.Slots)
		if e.f.Balance.RefuseHopeless {
			s.answerTime = &e.f.pool(e.pool).answerTime
		}
	}
	return s
}

// answered records the head of the answer to a request that was sent at the given time.
func (s *rateSample) answered(status int, sentAt time.Time) {
	if s != nil {
		s.success, s.sentAt = status < 400, sentAt
	}
}

// end records that the upstream has read the prompt or, for a request without prompt tokens, answered.
func (s *rateSample) end(now time.Time) {
	if s == nil {
		return
	}
	if !s.success { // a failure may come at once
		RateSamples.Inc(sampleFailed)
		return
	}
	if s.answerTime != nil {
		s.answerTime.Add(now.Sub(s.sentAt))
	}
	deviation, ok := s.reference.Compare(s.Class, s.LogSpeed(now.Sub(s.sentAt)))
	if !ok {
		RateSamples.Inc(sampleFirst)
		return
	}
	RateSamples.Inc(sampleUsed)
	s.meter.Add(deviation, s.Weight, now)
}

// meterOf returns the meter of an upstream's run. A run that the view before did not list gets a new one and
// starts at the pool's median.
func meterOf(old *poolView, h hosts.Host, live *routing.UpstreamStats) *routing.RateMeter {
	if old != nil && old.meters[runOf(h)] != nil {
		return old.meters[runOf(h)]
	}
	live.SetRate(0)
	return &routing.RateMeter{}
}

// rateKey is the key under which hosts share their measurements of the rate of an upstream's run.
func rateKey(h hosts.Host) uint32 { return conditionKey("rate", h) }

// localRates returns the measurements of rates that this host publishes now, encoded as loads:
// PendingPromptTokens holds the sum and InFlight the weight, both in hundredths.
func (f *Forwarder) localRates(now time.Time) []loadshare.Load {
	if !f.Balance.ByRate {
		return nil
	}
	var out []loadshare.Load
	f.eachMeter(func(h hosts.Host, m *routing.RateMeter) {
		key := rateKey(h)
		if e, ok := m.Publish(key, now); ok {
			out = append(out, loadshare.Load{
				Upstream: key, PendingPromptTokens: int64(math.Round(e.Sum * evidenceScale)), InFlight: int64(math.Round(e.Weight * evidenceScale)),
			})
		}
	})
	return out
}

// applyPeerRates records the measurements that other hosts publish, and computes the rates of the upstreams
// and of the other hosts' requests anew.
func (f *Forwarder) applyPeerRates(byKey map[uint32]loadshare.Load, now time.Time) {
	if f.Balance.RefuseHopeless {
		f.shortage.refresh(now)
	}
	if !f.Balance.ByRate {
		return
	}
	f.loadAge.Received(now)
	f.eachMeter(func(h hosts.Host, m *routing.RateMeter) {
		l := byKey[rateKey(h)]
		m.AddPeers(routing.RateEvidence{Sum: float64(l.PendingPromptTokens) / evidenceScale, Weight: float64(l.InFlight) / evidenceScale}, now)
	})
	f.pools.Range(func(name, value any) bool {
		p := value.(*poolState)
		v := p.current.Load()
		if v == nil {
			return true
		}
		f.updateRates(name.(string), v, now)
		requests := 0.0
		for _, live := range v.liveByKey {
			requests += live.OthersEndRate()
		}
		p.othersRequests.Store(math.Float64bits(requests))
		p.othersTokens.Store(math.Float64bits(float64(byKey[demandKey(name.(string))].PendingPromptTokens)))
		return true
	})
}

// arrivedSince returns the work that the other hosts are expected to have sent to a pool since the loads that
// they reported, from their work per second as float64 bits.
func (f *Forwarder) arrivedSince(perSecond *atomic.Uint64, now time.Time) float64 {
	return math.Float64frombits(perSecond.Load()) * f.loadAge.Age(now).Seconds()
}

// updateRates computes the rates of a pool's upstreams relative to their median.
func (f *Forwarder) updateRates(pool string, v *poolView, now time.Time) {
	logs, weights := make([]float64, len(v.hosts)), make([]float64, len(v.hosts))
	for i, h := range v.hosts {
		logs[i], weights[i] = v.meters[runOf(h)].Log(now)
	}
	for i, rate := range routing.RelativeRates(logs) {
		h := v.hosts[i]
		v.liveByKey[upstreamKey(h)].SetRate(rate)
		meter := v.meters[runOf(h)]
		before := meter.Reported()
		if ratio := rate / before; ratio < loggedRateChange && ratio > 1/loggedRateChange {
			continue
		}
		meter.SetReported(rate)
		direction := rateIncreased
		if rate < before {
			direction = rateDecreased
		}
		RateChanges.Inc(direction)
		events.BalanceRate.Log(f.Logger, "pool", pool, "upstream", h.ID, "upstream_started_ms", h.StartedMS, "rate", rate, "before", before, "weight", weights[i])
	}
}

func (f *Forwarder) eachMeter(visit func(hosts.Host, *routing.RateMeter)) {
	f.pools.Range(func(_, value any) bool {
		if v := value.(*poolState).current.Load(); v != nil {
			for _, h := range v.hosts {
				visit(h, v.meters[runOf(h)])
			}
		}
		return true
	})
}
