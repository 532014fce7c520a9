package routing

import (
	"math"
	"sync"
	"time"
)

const (
	// outcomeDecay is the time over which request outcomes count. An upstream
	// that failed requests although it looked healthy is tried again after about
	// this time.
	outcomeDecay = 4 * time.Second
	// priorEnded and priorFailed are added to the counts of an upstream, so that
	// a single failure changes its failure share only a little.
	priorEnded, priorFailed = 4, 0.2
	// failingExcess is how far an upstream's share of failed requests may exceed
	// that of the other upstreams. Above it, the upstream receives work only if
	// no other can be chosen.
	failingExcess = 0.2
	// failingCost is added to the cost of an upstream that fails too many
	// requests. It is less than the cost of an upstream that cannot be reached.
	failingCost = slowCost / 2
)

// Outcomes counts the requests that ended at an upstream recently and those of
// them that failed. Both counts decay over time.
type Outcomes struct{ Ended, Failed float64 }

// outcomeCounter counts request outcomes and lets the counts decay. The zero
// value is ready to use.
type outcomeCounter struct {
	mu     sync.Mutex
	counts Outcomes
	at     time.Time
}

// RecordOutcome counts a request that ended at the upstream, as failed or successful.
func (l *UpstreamStats) RecordOutcome(failed bool, now time.Time) {
	c := &l.outcomes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.counts.Ended++
	if failed {
		c.counts.Failed++
	}
}

// Outcomes returns the decayed counts of this host's requests at the upstream.
func (l *UpstreamStats) Outcomes(now time.Time) Outcomes {
	c := &l.outcomes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	return c.counts
}

// OthersEndRate returns the requests of the other hosts that end at the upstream per second.
func (l *UpstreamStats) OthersEndRate() float64 {
	if others := l.othersOutcomes.Load(); others != nil {
		return others.Ended / outcomeDecay.Seconds()
	}
	return 0
}

func (c *outcomeCounter) decay(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(outcomeDecay))
		c.counts.Ended *= factor
		c.counts.Failed *= factor
		c.at = now
	}
}

// failingUpstreams reports for each upstream whether its share of failed requests
// clearly exceeds that of the other upstreams. If all fail alike, no upstream is
// reported.
func failingUpstreams(s *Snapshot, now time.Time) []bool {
	outcomes := make([]Outcomes, len(s.Upstreams))
	var total Outcomes
	for i := range s.Upstreams {
		live := s.Upstreams[i].Live
		o := live.Outcomes(now)
		if others := live.othersOutcomes.Load(); others != nil {
			o.Ended += others.Ended
			o.Failed += others.Failed
		}
		outcomes[i] = o
		total.Ended += o.Ended
		total.Failed += o.Failed
	}
	failing := make([]bool, len(outcomes))
	for i, o := range outcomes {
		others := Outcomes{Ended: total.Ended - o.Ended, Failed: total.Failed - o.Failed}
		failing[i] = o.failedShare() > others.failedShare()+failingExcess
	}
	return failing
}

// failedShare returns the share of requests that failed. With few requests it is
// close to a small default share.
func (o Outcomes) failedShare() float64 { return (o.Failed + priorFailed) / (o.Ended + priorEnded) }
