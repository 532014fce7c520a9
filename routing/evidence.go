package routing

import (
	"math"
	"sync"
	"time"
)

const (
	// evidenceSpan is the time over which outcomes of requests count: an
	// upstream that failed quietly is tried again after about that long.
	evidenceSpan = 4 * time.Second
	// priorEnded and priorFailed are added to the outcomes of an upstream, so
	// that one failure alone says little.
	priorEnded, priorFailed = 4, 0.2
	// quietExcess is the excess of an upstream's share of failures over the
	// pool's from which it gets work only where no other can take it.
	quietExcess = 0.2
	// quietCost is added for it; less than for one that cannot be reached.
	quietCost = failedCost / 2
)

// Outcomes are requests that ended at an upstream a short while ago, and how
// many of them failed there. Both decay.
type Outcomes struct{ Ended, Failed float64 }

// evidence counts outcomes. The zero value is ready.
type evidence struct {
	mu     sync.Mutex
	counts Outcomes
	at     time.Time
}

// Outcome counts a request that the upstream answered, well or not.
func (l *Live) Outcome(failed bool, now time.Time) {
	e := &l.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	e.counts.Ended++
	if failed {
		e.counts.Failed++
	}
}

// Outcomes returns this host's.
func (l *Live) Outcomes(now time.Time) Outcomes {
	e := &l.evidence
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	return e.counts
}

func (e *evidence) decay(now time.Time) {
	if elapsed := now.Sub(e.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(evidenceSpan))
		e.counts.Ended *= factor
		e.counts.Failed *= factor
		e.at = now
	}
}

// failing returns, for each upstream, whether it fails more of its requests than
// the pool does. Where all fail alike there is nothing to choose.
func failing(s *Snapshot, now time.Time) []bool {
	all := make([]Outcomes, len(s.Upstreams))
	var total Outcomes
	for i := range s.Upstreams {
		live := s.Upstreams[i].Live
		o := live.Outcomes(now)
		if others := live.othersOutcomes.Load(); others != nil {
			o.Ended += others.Ended
			o.Failed += others.Failed
		}
		all[i] = o
		total.Ended += o.Ended
		total.Failed += o.Failed
	}
	out := make([]bool, len(all))
	for i, o := range all {
		others := Outcomes{Ended: total.Ended - o.Ended, Failed: total.Failed - o.Failed}
		out[i] = o.share() > others.share()+quietExcess
	}
	return out
}

// share is the part that failed, drawn towards a small one where little is known.
func (o Outcomes) share() float64 { return (o.Failed + priorFailed) / (o.Ended + priorEnded) }
