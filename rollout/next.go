package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// HostReport is the answer of one process of a host to a directive.
type HostReport struct {
	// Host is the host's name in Situation.Listed, and Process identifies its process.
	Host    string `cbor:"1,keyasint"`
	Process string `cbor:"2,keyasint"`
	// Applied is the phase that the host applies, of the order with the given revision.
	Applied  Phase  `cbor:"3,keyasint"`
	Revision uint64 `cbor:"4,keyasint"`
	// Evidence holds the counts of the process since the order.
	Evidence Evidence `cbor:"5,keyasint"`
	// AtOld and AtTarget are the requests in flight at upstreams of the old versions and of the target.
	// ResumableAtOld are those of AtOld that can be resumed at another upstream.
	AtOld          int64 `cbor:"6,keyasint"`
	AtTarget       int64 `cbor:"7,keyasint"`
	ResumableAtOld int64 `cbor:"8,keyasint"`
	// Stored is the newest stored phase that the host knows, and Base the revision since which its evidence counts. The
	// store may have lost the record since.
	Stored Phase  `cbor:"9,keyasint,omitempty"`
	Base   uint64 `cbor:"10,keyasint,omitempty"`
	// ReportedAgo is the time since the directive was sent that the report answers. The coordinator measures it.
	ReportedAgo time.Duration `cbor:"-"`
}

// Situation is what the coordinator knows when it decides.
type Situation struct {
	Now    time.Time
	Bounds Bounds
	// LongestTimeout is the longest time-out of the pool's routes.
	LongestTimeout time.Duration
	// Hosts are the last reports of all processes whose evidence is not in Record.Ended.
	Hosts []HostReport
	// Listed are the hosts that have to apply the roll-out.
	Listed []string
	// Asking is the time for which this coordinator has been sending directives to all listed hosts. A host without a
	// report counts as silent only after a while, so that a successor neither promotes nor completes a roll-out
	// before it has the hosts' evidence.
	Asking time.Duration
	// OldSlots and TargetSlots are the sums of the slots of live upstreams of other versions and of the target.
	OldSlots, TargetSlots int
	// TargetUpstreams is the number of the target's live upstreams.
	TargetUpstreams int
}

// Decision is what the coordinator orders the hosts to do.
type Decision struct {
	Phase Phase
	// Open reports whether hosts may send requests to the target in PhaseCanary.
	Open bool
	// Step is the share of the requests that goes to the target: in PhaseCanary while the exposure is open, and
	// in PhasePromoting.
	Step float64
	// Withdraw orders the hosts to withdraw resumable streams from old upstreams and to resume them at the target.
	Withdraw bool
	// Reason explains a change of the phase.
	Reason string
	// BadAnswers is that of the verdict.
	BadAnswers int64
	// Before is all evidence at the promotion, for Record.Before; hosts need not get it.
	Before Evidence
}

const (
	// enoughSlots is the least share of the old upstreams' slots that the target's need.
	enoughSlots = 0.8
	// earliestPromotion, latestPromotion and latestUpstreams are parts of the time limit: when the promotion may
	// start, when it starts although requests may run beyond the limit, and when the target's upstreams must be
	// there.
	earliestPromotion, latestPromotion, latestUpstreams = 0.5, 0.6, 0.8
	// maxProbability leaves half of the requests of an open exposure to the old versions, for the comparison, if the
	// target has a single upstream.
	maxProbability = 0.5
	// promotionReserve is the time for the promotion besides the longest time-out of a request.
	promotionReserve = 2 * time.Second
	// promotionTime is the time after which all requests go to the target. Each step takes a third of it.
	promotionTime = time.Second
	// provingTime is the time for which the target carries all requests before the completion, unless the limit is
	// nearer than promotionReserve. Faults that show under the whole load only are found in it.
	provingTime = 2 * time.Second
	// reportAge is the maximum age of a report that counts for the completion.
	reportAge = 500 * time.Millisecond
	// finishTime is the time before the limit from which resumable streams are withdrawn, and from which hosts
	// that have been silent for silentAge are ignored.
	finishTime = time.Second
	silentAge  = 2 * time.Second
)

// Next decides what follows in a situation. It depends on nothing but its arguments, so that a successor of the
// coordinator decides the same.
func Next(r Record, s Situation) Decision {
	verdict := r.verdict(s.Hosts, s.Now)
	d := Decision{Phase: r.Phase, BadAnswers: verdict.BadAnswers}
	switch {
	case r.Phase.Final():
		d.Reason = r.Reason
		return d
	case verdict.Sure:
		return d.rollBack(verdict.text())
	case r.Phase == PhasePromoting:
		return r.promoting(d, s)
	default:
		return r.canary(d, s, verdict)
	}
}

// Evidence returns the evidence of the processes that have ended and of those that report on the same order.
func (r Record) Evidence(reports []HostReport) Evidence {
	sum := Evidence{}
	sum.Add(r.Ended)
	for _, h := range reports {
		if h.Revision == r.Revision {
			sum.Add(h.Evidence)
		}
	}
	return sum
}

// verdict returns the verdict on all evidence. After the last step of the promotion, the target's evidence since the
// promotion counts alone as well, except for a fault that the old versions shared during the steps.
func (r Record) verdict(reports []HostReport, now time.Time) Verdict {
	all := r.Evidence(reports)
	if r.Phase == PhaseCanary {
		return Judge(r.Target, r.Old, all)
	}
	verdict := JudgePromoted(r.Target, r.Old, all)
	if verdict.Sure || now.Sub(r.Since) < promotionTime {
		return verdict
	}
	later := JudgePromoted(r.Target, r.Old, all.since(r.Before, r.Target))
	since := all.since(r.Before, append(slices.Clone(r.Old), r.Target)...)
	if later.Sure && !sharedByOld(r.Target, r.Old, since, later.Route) {
		return later
	}
	return verdict
}

// text returns the reason of a verdict with its route.
func (v Verdict) text() string {
	if v.Route == "" {
		return v.Reason
	}
	return "route " + v.Route + ": " + v.Reason
}

func (d Decision) rollBack(reason string) Decision {
	return Decision{Phase: PhaseRolledBack, Reason: reason, BadAnswers: d.BadAnswers}
}

// part returns the time from the start to a part of the time limit.
func (o Order) part(share float64) time.Duration { return time.Duration(share * float64(o.Duration)) }

// promotionStart returns the time from the start to the promotion: as late as the time limit allows, since
// evidence before the promotion is worth more.
func (o Order) promotionStart(longestTimeout time.Duration) time.Duration {
	return min(max(o.part(earliestPromotion), o.Duration-longestTimeout-promotionReserve), o.part(latestPromotion))
}

// enoughUpstreams reports whether the target's upstreams can carry the load of the old ones.
func (s Situation) enoughUpstreams() bool {
	return s.TargetUpstreams > 0 && float64(s.TargetSlots) >= enoughSlots*float64(s.OldSlots)
}

// canary decides in PhaseCanary. No sure verdict is known.
func (r Record) canary(d Decision, s Situation, verdict Verdict) Decision {
	elapsed, start := s.Now.Sub(r.Started), r.promotionStart(s.LongestTimeout)
	enough := s.enoughUpstreams()
	switch {
	case len(r.Old) == 0 && s.TargetUpstreams > 0 && s.OldSlots == 0:
		d.Phase, d.Reason = PhaseComplete, "the target is in force already"
	case elapsed >= r.Duration:
		return d.rollBack("time limit without a promotion")
	case elapsed >= r.part(latestUpstreams) && !enough:
		return d.rollBack("too few upstreams of the target")
	case elapsed >= r.part(latestPromotion) && verdict.Bad:
		return d.rollBack("suspected: " + verdict.text())
	case elapsed >= start && enough && !verdict.Bad && s.heard():
		d.Phase, d.Step, d.Reason = PhasePromoting, promotionStep(0), "no fault found"
		d.Before = r.Evidence(s.Hosts)
	default:
		d.Open, d.Step = s.exposure(elapsed, start)
		d.Open = d.Open && !r.canariesFull(s)
	}
	return d
}

// exposure returns whether the canaries get requests at a time after the start, and the probability with which a
// request goes to them while they do. All hosts send at the same moments, so that their load adds up to what the
// canaries carry later. A period begins with its pause, in which hosts earn the credit for the open part.
func (s Situation) exposure(elapsed, promotion time.Duration) (open bool, probability float64) {
	n := s.TargetUpstreams
	if n == 0 || !s.Bounds.Enabled() {
		return false, 0
	}
	probability = min(float64(canaryCount(n, s.Bounds.Share))/float64(n), maxProbability)
	part := usedShare * min(s.Bounds.Share, 1) / probability
	if part >= 1 {
		return true, probability
	}
	// The open part lasts 1 s, or less if fewer than two periods fit before the promotion.
	period := min(time.Duration(float64(time.Second)/part), promotion/2)
	if period <= 0 {
		return false, probability
	}
	pause := time.Duration(math.Round((1 - part) * float64(period)))
	return max(elapsed, 0)%period >= pause, probability
}

// canariesFull reports whether the canaries have as many requests in flight as they have slots. More would wait there
// while the old upstreams, among which a burst is shared, have room.
func (r Record) canariesFull(s Situation) bool {
	inFlight := lo.SumBy(s.Hosts, func(h HostReport) int64 {
		if h.Revision != r.Revision || h.ReportedAgo >= silentAge {
			return 0
		}
		return h.AtTarget
	})
	slots := s.TargetSlots * canaryCount(s.TargetUpstreams, s.Bounds.Share) / max(s.TargetUpstreams, 1)
	return s.TargetSlots > 0 && inFlight >= int64(slots)
}

// promotionStep returns the share of the requests that goes to the target at a time after the promotion began.
func promotionStep(elapsed time.Duration) float64 {
	switch {
	case elapsed < promotionTime/3:
		return 0.25
	case elapsed < promotionTime*2/3:
		return 0.5
	default:
		return 1
	}
}

// promoting decides in PhasePromoting. No sure verdict is known.
func (r Record) promoting(d Decision, s Situation) Decision {
	elapsed, promoted := s.Now.Sub(r.Started), s.Now.Sub(r.Since)
	d.Step = promotionStep(promoted)
	d.Withdraw = d.Step == 1 && elapsed >= r.Duration-finishTime
	switch {
	case promoted < promotionTime || promoted < promotionTime+provingTime && elapsed < r.Duration-promotionReserve:
	case !s.enoughUpstreams():
		if elapsed >= r.Duration {
			return d.rollBack("too few upstreams of the target")
		}
	case r.released(s):
		d.Phase, d.Withdraw, d.Reason = PhaseComplete, false, "nothing in flight at old upstreams"
	case elapsed >= r.Duration+s.LongestTimeout && promoted >= promotionTime+s.LongestTimeout && s.heard():
		d.Phase, d.Withdraw, d.Reason = PhaseComplete, false, "longest time-out after the time limit"
	}
	return d
}

// released reports whether every listed host has promoted and has nothing in flight at old upstreams. Shortly before
// the limit a host that has been silent for long is ignored: it has been cut off or has ended.
func (r Record) released(s Situation) bool {
	finishing := s.Now.Sub(r.Started) >= r.Duration-finishTime
	return s.everyHost(func(newest *HostReport, silent time.Duration) bool {
		if silent >= silentAge {
			return finishing
		}
		return newest != nil && silent <= reportAge && r.releasedBy(*newest, s.Now)
	})
}

// heard reports whether the evidence of every listed host is known as far as possible.
func (s Situation) heard() bool {
	return s.everyHost(func(newest *HostReport, silent time.Duration) bool {
		return newest != nil && silent <= finishTime || silent >= silentAge
	})
}

// everyHost reports whether a condition holds for every listed host, given its newest report, if there is one, and the
// time for which it has been silent.
func (s Situation) everyHost(condition func(newest *HostReport, silent time.Duration) bool) bool {
	newest := make(map[string]*HostReport, len(s.Hosts))
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if known := newest[h.Host]; known == nil || h.ReportedAgo < known.ReportedAgo {
			newest[h.Host] = h
		}
	}
	return lo.EveryBy(s.Listed, func(name string) bool {
		if h := newest[name]; h != nil {
			return condition(h, h.ReportedAgo)
		}
		return condition(nil, s.Asking)
	})
}

// releasedBy reports whether a process has promoted and has nothing in flight at old upstreams. A report from before
// the last step does not count: its host may have sent requests to old upstreams since.
func (r Record) releasedBy(h HostReport, now time.Time) bool {
	lastStep := r.Since.Add(promotionTime)
	return h.Applied == PhasePromoting && h.Revision == r.Revision && h.AtOld == 0 && !now.Add(-h.ReportedAgo).Before(lastStep)
}
