package rollout

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// sizes are the deployments that the simulations play.
var sizes = []struct {
	hosts, upstreams int
	perSecond        float64
	plays            int
}{{4, 4, 220, 16}, {9, 9, 450, 8}, {76, 40, 2000, 3}, {300, 120, 6000, 1}}

func sound(bool, string, time.Duration, int, *rand.Rand) (bool, float64) { return false, 1 }

// badTarget is a fault of the target.
type badTarget struct {
	fault fault
	// share is the part of the answers that is bad, on one route if route is set.
	share float64
	route string
}

func failingTarget(share float64, route string, from time.Duration) badTarget {
	return badTarget{share: share, route: route, fault: func(target bool, r string, at time.Duration, _ int, random *rand.Rand) (bool, float64) {
		return target && (route == "" || r == route) && at >= from && random.Float64() < share, 1
	}}
}

func slowTarget(above int, share float64) badTarget {
	return badTarget{share: share, fault: func(target bool, _ string, _ time.Duration, inFlight int, random *rand.Rand) (bool, float64) {
		if target && inFlight > above && random.Float64() < share {
			return false, 5
		}
		return false, 1
	}}
}

// badTargets are the faults of the plan page.
var badTargets = map[string]badTarget{
	"one in seven":             failingTarget(1.0/7, "", 0),
	"half":                     failingTarget(0.5, "", 0),
	"always":                   failingTarget(1, "", 0),
	"one of three routes":      failingTarget(1, "1", 0),
	"one in seven on a route":  failingTarget(1.0/7, "1", 0),
	"from the fifth second on": failingTarget(0.5, "", 5*time.Second),
	"five times slower":        slowTarget(0, 1),
	"slow above three":         slowTarget(3, 1),
}

// foundLate reports whether the target's requests before the promotion were too few to find the fault: 100 for a fault of
// one in seven, and accordingly fewer for more.
func (b badTarget) foundLate(e Evidence) bool {
	var ended int64
	for key, c := range e {
		if key.Version == "v2" && (b.route == "" || key.Route == b.route) {
			ended += c.Ended
		}
	}
	return float64(ended)*b.share < 100.0/7
}

func newSimulation(seed uint64, hosts, upstreams int, perSecond float64, f fault) *simulation {
	return &simulation{
		hosts: hosts, upstreams: upstreams, slots: 8, duration: 15 * time.Second, fault: f, maxDelay: 60 * time.Millisecond,
		rate: func(time.Duration) float64 { return perSecond }, random: rand.New(rand.NewPCG(seed, uint64(hosts))),
	}
}

// TestBadTargetsAreRolledBack guards against bad targets that are promoted, that get more than the share and the slack, or
// that get requests later than 5 s after their 50th bad answer: in calm, and with directives that are late or lost and
// hosts that restart.
func TestBadTargetsAreRolledBack(t *testing.T) {
	for name, b := range badTargets {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			for _, size := range sizes {
				for seed := range uint64(size.plays) {
					s := newSimulation(seed, size.hosts, size.upstreams, size.perSecond, b.fault)
					if seed%3 == 1 {
						s.maxDelay, s.lost, s.restartsPerS = 300*time.Millisecond, 0.1, 0.5
					}
					checkRolledBack(t, s, b, seed)
				}
			}
		})
	}
}

func checkRolledBack(t *testing.T, s *simulation, b badTarget, seed uint64) {
	out := s.run()
	if out.phase != PhaseRolledBack || out.ended > s.duration {
		t.Errorf("%d hosts, seed %d: %s at %v, want rolled_back", s.hosts, seed, out.phase, out.ended)
	}
	if out.excess > float64(testBounds.Slack) {
		t.Errorf("%d hosts, seed %d: %.0f requests more than the share, want at most %d", s.hosts, seed, out.excess, testBounds.Slack)
	}
	if out.fiftieth > 0 && out.lastSent > out.fiftieth+testBounds.Rollback {
		t.Errorf("%d hosts, seed %d: a request %v after the 50th bad answer", s.hosts, seed, out.lastSent-out.fiftieth)
	}
	if out.promoted && !b.foundLate(out.evidence) {
		t.Errorf("%d hosts, seed %d: promoted, then %s because of %q", s.hosts, seed, out.phase, out.reason)
	}
}

// TestFaultAfterPromotionIsRolledBack guards against a fault under the whole load that the good answers of a long canary
// phase hide until the roll-out is complete.
func TestFaultAfterPromotionIsRolledBack(t *testing.T) {
	for _, size := range sizes[:2] {
		for seed := range uint64(4) {
			b := failingTarget(1.0/7, "", 72*time.Second)
			s := newSimulation(seed, size.hosts, size.upstreams, size.perSecond, b.fault)
			s.duration = 120 * time.Second
			out := s.run()
			if out.phase != PhaseRolledBack || out.fiftieth > 0 && out.lastSent > out.fiftieth+testBounds.Rollback {
				t.Errorf("%d hosts, seed %d: %s at %v because of %q, 50th bad answer at %v, want rolled_back", size.hosts, seed, out.phase, out.ended, out.reason, out.fiftieth)
			}
		}
	}
}

// goodTargets are loads and faults that affect both versions.
var goodTargets = map[string]struct {
	rate  func(at time.Duration) float64 // as a multiple of the size's rate
	fault fault
}{
	"calm":                                  {func(time.Duration) float64 { return 1 }, sound},
	"bursts up to capacity":                 {burstsOf(2.7), sound},
	"burst up to capacity at the start":     {burstAtStart(2.7), sound},
	"burst up to capacity in the promotion": {burstInPromotion(2.7), sound},
	"little load":                           {func(time.Duration) float64 { return 0.1 }, sound},
	"common failures": {func(time.Duration) float64 { return 1 }, func(_ bool, _ string, at time.Duration, _ int, random *rand.Rand) (bool, float64) {
		return at%(3*time.Second) > 2*time.Second && random.Float64() < 0.3, 1
	}},
	"common failures on one route": {func(time.Duration) float64 { return 1 }, func(_ bool, route string, _ time.Duration, _ int, random *rand.Rand) (bool, float64) {
		return route == "2" && random.Float64() < 0.2, 1
	}},
	"common slowness": {func(time.Duration) float64 { return 1 }, func(_ bool, _ string, at time.Duration, _ int, _ *rand.Rand) (bool, float64) {
		if at%(3*time.Second) > 2500*time.Millisecond {
			return false, 4
		}
		return false, 1
	}},
}

func burstsOf(size float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(4*time.Second) > 3*time.Second {
			return size
		}
		return 1
	}
}

func burstAtStart(size float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1 + (size-1)*max(0, 1-at.Seconds()/3) }
}

func burstInPromotion(size float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 8*time.Second && at < 10*time.Second {
			return size
		}
		return 1
	}
}

// TestGoodTargetsComplete guards against roll-backs of good targets by bursts and by faults that affect both versions,
// and against a roll-out that does not end in time.
func TestGoodTargetsComplete(t *testing.T) {
	for name, c := range goodTargets {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			for _, size := range sizes {
				for seed := range uint64(size.plays) {
					s := newSimulation(seed, size.hosts, size.upstreams, size.perSecond, c.fault)
					s.rate = func(at time.Duration) float64 { return size.perSecond * c.rate(at) }
					if seed%3 == 1 {
						s.maxDelay, s.restartsPerS = 100*time.Millisecond, 0.5
					}
					if out := s.run(); out.phase != PhaseComplete || out.ended > s.duration {
						t.Errorf("%d hosts, seed %d: %s at %v because of %q, want complete", size.hosts, seed, out.phase, out.ended, out.reason)
					}
				}
			}
		})
	}
}

// TestTargetSlowOnceInSeven guards against a target that delays one answer in seven. The latency test asks for more than
// chance: answers that wait in one queue are slow together.
func TestTargetSlowOnceInSeven(t *testing.T) {
	for _, size := range sizes {
		for seed := range uint64(size.plays) {
			b := slowTarget(0, 1.0/7)
			checkRolledBack(t, newSimulation(seed, size.hosts, size.upstreams, size.perSecond, b.fault), b, seed)
		}
	}
}

// TestGoodTargetsCompleteInOverload guards against roll-backs of good targets by bursts of a fifth to a third above the
// capacity of all upstreams, in which requests wait for longer at the canaries than at the old upstreams.
func TestGoodTargetsCompleteInOverload(t *testing.T) {
	for name, rate := range map[string]func(time.Duration) float64{"bursts": burstsOf(4), "start": burstAtStart(4), "promotion": burstInPromotion(4)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, size := range sizes {
				for seed := range uint64(5 * size.plays) {
					s := newSimulation(seed, size.hosts, size.upstreams, size.perSecond, sound)
					s.rate = func(at time.Duration) float64 { return size.perSecond * rate(at) }
					if out := s.run(); out.phase != PhaseComplete || out.ended > s.duration {
						t.Errorf("%d hosts, seed %d: %s at %v because of %q, want complete", size.hosts, seed, out.phase, out.ended, out.reason)
					}
				}
			}
		})
	}
}
