package rollout

import (
	"strings"
	"testing"
	"time"
)

// testBounds are the settings of the plan page.
var testBounds = Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// canaryRecord returns the record of a roll-out that has just started.
func canaryRecord() Record {
	return Begin(nil, Order{Pool: "p", Target: "v2", Duration: 12 * time.Second, Revision: 7}, []string{"v1"}, testStart)
}

// promotedRecord returns the record of a roll-out that has been promoted after 6 s.
func promotedRecord() Record {
	return canaryRecord().Apply(Decision{Phase: PhasePromoting}, testStart.Add(6*time.Second))
}

// situation returns that of four old and four new upstreams and two hosts that have promoted, at a time after the start.
func situation(at time.Duration) Situation {
	return Situation{
		Now: testStart.Add(at), Bounds: testBounds, LongestTimeout: 4 * time.Second, OldSlots: 32, TargetSlots: 32, TargetUpstreams: 4,
		Listed: []string{"a", "b"}, Asking: 4 * time.Second,
		Hosts: []HostReport{
			{Host: "a", Process: "a/1", Applied: PhasePromoting, Revision: 7, ReportedAgo: 100 * time.Millisecond},
			{Host: "b", Process: "b/1", Applied: PhasePromoting, Revision: 7, ReportedAgo: 300 * time.Millisecond},
		},
	}
}

// failing returns evidence of a target that always fails beside a sound old version.
func failing() Evidence {
	return Evidence{{Version: "v1"}: {Ended: 200}, {Version: "v2"}: {Ended: 20, Failed: 20}}
}

// TestNext guards, case by case, against a roll-out that ends too early, too late or the wrong way.
func TestNext(t *testing.T) {
	stale := func(s *Situation) { s.Hosts[1].ReportedAgo = 3 * time.Second }
	for name, c := range map[string]struct {
		record Record
		at     time.Duration
		change func(*Situation)
		phase  Phase
		reason string
	}{
		"canary before its time":                           {canaryRecord(), 5900 * time.Millisecond, nil, PhaseCanary, ""},
		"promotion at half of the time":                    {canaryRecord(), 6 * time.Second, nil, PhasePromoting, "no fault"},
		"later with short time-outs":                       {canaryRecord(), 7 * time.Second, func(s *Situation) { s.LongestTimeout = time.Second }, PhaseCanary, ""},
		"never later than 0.6":                             {canaryRecord(), 7200 * time.Millisecond, func(s *Situation) { s.LongestTimeout = 0 }, PhasePromoting, ""},
		"few upstreams":                                    {canaryRecord(), 7 * time.Second, func(s *Situation) { s.TargetSlots = 25 }, PhaseCanary, ""},
		"just enough upstreams":                            {canaryRecord(), 7 * time.Second, func(s *Situation) { s.TargetSlots = 26 }, PhasePromoting, ""},
		"enough upstreams late":                            {canaryRecord(), 11 * time.Second, nil, PhasePromoting, ""},
		"few upstreams for too long":                       {canaryRecord(), 9600 * time.Millisecond, func(s *Situation) { s.TargetSlots = 25 }, PhaseRolledBack, "too few"},
		"target that never starts":                         {canaryRecord(), 9600 * time.Millisecond, func(s *Situation) { s.TargetUpstreams, s.TargetSlots = 0, 0 }, PhaseRolledBack, "too few"},
		"target without upstreams, old ones gone":          {canaryRecord(), 7 * time.Second, func(s *Situation) { s.TargetUpstreams, s.TargetSlots, s.OldSlots = 0, 0, 0 }, PhaseCanary, ""},
		"promotion by a successor without evidence":        {canaryRecord(), 6 * time.Second, func(s *Situation) { s.Asking, s.Hosts = 0, nil }, PhaseCanary, ""},
		"promotion with half of the evidence":              {canaryRecord(), 6 * time.Second, func(s *Situation) { s.Asking, s.Hosts = time.Second, s.Hosts[:1] }, PhaseCanary, ""},
		"promotion beside a host that does not answer":     {canaryRecord(), 6 * time.Second, func(s *Situation) { s.Hosts = s.Hosts[:1] }, PhasePromoting, ""},
		"completion by a successor without reports":        {promotedRecord(), 11 * time.Second, func(s *Situation) { s.Asking, s.Hosts = time.Second, nil }, PhasePromoting, ""},
		"successor without reports after the limit":        {promotedRecord(), 16 * time.Second, func(s *Situation) { s.Asking, s.Hosts = time.Second, nil }, PhasePromoting, ""},
		"limit without a promotion":                        {canaryRecord(), 12 * time.Second, nil, PhaseRolledBack, "time limit"},
		"fault in canary":                                  {canaryRecord(), time.Second, func(s *Situation) { s.Hosts[0].Evidence = failing() }, PhaseRolledBack, "20 of 20 answers failed"},
		"fault of another order":                           {canaryRecord(), time.Second, func(s *Situation) { s.Hosts[0].Evidence, s.Hosts[0].Revision = failing(), 6 }, PhaseCanary, ""},
		"fault in promotion":                               {promotedRecord(), 7 * time.Second, func(s *Situation) { s.Hosts[0].Evidence = failing() }, PhaseRolledBack, "failed"},
		"steps are not over":                               {promotedRecord(), 6900 * time.Millisecond, nil, PhasePromoting, ""},
		"target not proven under the whole load":           {promotedRecord(), 8990 * time.Millisecond, nil, PhasePromoting, ""},
		"proven in part, limit near":                       {canaryRecord().Apply(Decision{Phase: PhasePromoting}, testStart.Add(9*time.Second)), 10600 * time.Millisecond, nil, PhaseComplete, "nothing in flight"},
		"late promotion, report from before the last step": {canaryRecord().Apply(Decision{Phase: PhasePromoting}, testStart.Add(9*time.Second)), 10200 * time.Millisecond, nil, PhasePromoting, ""},
		"all released":                                     {promotedRecord(), 9 * time.Second, nil, PhaseComplete, "nothing in flight"},
		"work at old upstreams":                            {promotedRecord(), 9500 * time.Millisecond, func(s *Situation) { s.Hosts[0].AtOld = 1 }, PhasePromoting, ""},
		"host that has not promoted":                       {promotedRecord(), 9500 * time.Millisecond, func(s *Situation) { s.Hosts[0].Applied = PhaseCanary }, PhasePromoting, ""},
		"host with another order":                          {promotedRecord(), 9500 * time.Millisecond, func(s *Situation) { s.Hosts[0].Revision = 6 }, PhasePromoting, ""},
		"host with an old report":                          {promotedRecord(), 9500 * time.Millisecond, func(s *Situation) { s.Hosts[0].ReportedAgo = 501 * time.Millisecond }, PhasePromoting, ""},
		"host without a report":                            {promotedRecord(), 9500 * time.Millisecond, func(s *Situation) { s.Listed = append(s.Listed, "c") }, PhasePromoting, ""},
		"silent host before the end":                       {promotedRecord(), 10900 * time.Millisecond, stale, PhasePromoting, ""},
		"silent host at the end":                           {promotedRecord(), 11 * time.Second, stale, PhaseComplete, ""},
		"host without a report at the end":                 {promotedRecord(), 11 * time.Second, func(s *Situation) { s.Listed = append(s.Listed, "c") }, PhaseComplete, ""},
		"host silent for less than 2 s at the end":         {promotedRecord(), 11 * time.Second, func(s *Situation) { s.Hosts[1].ReportedAgo = 1900 * time.Millisecond }, PhasePromoting, ""},
		"work at old upstreams at the limit":               {promotedRecord(), 12 * time.Second, func(s *Situation) { s.Hosts[0].AtOld = 1 }, PhasePromoting, ""},
		"work for longer than a time-out":                  {promotedRecord(), 16 * time.Second, func(s *Situation) { s.Hosts[0].AtOld = 1 }, PhaseComplete, "longest time-out"},
		"too few upstreams in promotion":                   {promotedRecord(), 9500 * time.Millisecond, func(s *Situation) { s.TargetSlots = 8 }, PhasePromoting, ""},
		"too few upstreams at the limit":                   {promotedRecord(), 12 * time.Second, func(s *Situation) { s.TargetSlots = 8 }, PhaseRolledBack, "too few"},
		"new process beside the report of a former": {promotedRecord(), 9500 * time.Millisecond, func(s *Situation) {
			h := s.Hosts[0]
			h.Process, h.AtOld, h.ReportedAgo = "a/0", 3, time.Second
			s.Hosts = append(s.Hosts, h)
		}, PhaseComplete, ""},
		"complete stays complete":       {promotedRecord().Apply(Decision{Phase: PhaseComplete, Reason: "done"}, testStart), 8 * time.Second, func(s *Situation) { s.Hosts[0].Evidence = failing() }, PhaseComplete, "done"},
		"rolled back stays rolled back": {canaryRecord().Apply(Decision{Phase: PhaseRolledBack, Reason: "bad"}, testStart), 7 * time.Second, nil, PhaseRolledBack, "bad"},
		"target in force":               {Begin(nil, canaryRecord().Order, []string{"v2"}, testStart), 0, func(s *Situation) { s.OldSlots = 0 }, PhaseComplete, "in force"},
		"target not in force yet":       {Begin(nil, canaryRecord().Order, nil, testStart), 0, func(s *Situation) { s.TargetUpstreams, s.OldSlots = 0, 0 }, PhaseCanary, ""},
		"clock before the start":        {canaryRecord(), -time.Minute, nil, PhaseCanary, ""},
	} {
		s := situation(c.at)
		if c.change != nil {
			c.change(&s)
		}
		d := Next(c.record, s)
		if d.Phase != c.phase || !strings.Contains(d.Reason, c.reason) {
			t.Errorf("%s: phase %s because of %q, want %s because of %q", name, d.Phase, d.Reason, c.phase, c.reason)
		}
		if d.Phase.Final() && (d.Open || d.Step != 0 && d.Phase == PhaseRolledBack || d.Withdraw) {
			t.Errorf("%s: decision %+v, want nothing for the target after the end", name, d)
		}
	}
}

// TestStreamsAreWithdrawnAtTheEnd guards against a completion that waits for endless streams, and against streams that
// are moved although they would end in time.
func TestStreamsAreWithdrawnAtTheEnd(t *testing.T) {
	r := promotedRecord()
	for at, want := range map[time.Duration]bool{9 * time.Second: false, 10990 * time.Millisecond: false, 11 * time.Second: true, 13 * time.Second: true} {
		s := situation(at)
		s.Hosts[0].AtOld, s.Hosts[0].ResumableAtOld = 3, 3
		if d := Next(r, s); d.Phase != PhasePromoting || d.Withdraw != want || d.Step != 1 {
			t.Errorf("at %v: %+v, want promoting and Withdraw %v", at, d, want)
		}
		if s.Hosts[0].AtOld, s.Hosts[0].ResumableAtOld = 0, 0; Next(r, s).Phase != PhaseComplete {
			t.Errorf("at %v, streams resumed elsewhere: not complete", at)
		}
	}
}

// TestStepsOfPromotion guards against a promotion that sends all requests to upstreams that had a tenth of them.
func TestStepsOfPromotion(t *testing.T) {
	for at, want := range map[time.Duration]float64{0: 0.25, 300: 0.25, 400: 0.5, 600: 0.5, 700: 1, 5000: 1} {
		s := situation(6*time.Second + at*time.Millisecond)
		s.Hosts[0].AtOld = 1
		if got := Next(promotedRecord(), s).Step; got != want {
			t.Errorf("%d ms after the promotion: step %v, want %v", at, got, want)
		}
	}
	if d := Next(canaryRecord(), situation(6*time.Second)); d.Step != 0.25 {
		t.Errorf("at the promotion: step %v, want 0.25", d.Step)
	}
}

// TestOpenShare guards against an exposure that is open for more or less than the credit pays for, and against a
// canary phase without any open part.
func TestOpenShare(t *testing.T) {
	for n, want := range map[int]float64{1: 0.16, 2: 0.16, 4: 0.32, 9: 0.72, 12: 0.96, 13: 1, 24: 1, 25: 1, 300: 1} {
		open, periods, was := 0, 0, true
		const end = 6000
		for at := range end {
			s := situation(time.Duration(at) * time.Millisecond)
			s.TargetUpstreams = n
			d := Next(canaryRecord(), s)
			if d.Open {
				open++
				if !was {
					periods++
				}
			}
			was = d.Open
			if want := min(float64(canaryCount(n, 0.1))/float64(n), 0.5); d.Step != want {
				t.Fatalf("%d upstreams: step %v, want %v", n, d.Step, want)
			}
		}
		// The last period may be cut off by the promotion, so that the share is off by a period at most.
		if got := float64(open) / end; got > want+0.01 || got < want-0.12 || want < 0.7 && periods < 1 {
			t.Errorf("%d upstreams: open for %.2f of the time in %d periods, want %.2f", n, got, periods, want)
		}
	}
	s := situation(0)
	if s.TargetUpstreams = 0; Next(canaryRecord(), s).Open {
		t.Error("open without an upstream of the target")
	}
	s = situation(3 * time.Second)
	if s.Bounds = (Bounds{}); Next(canaryRecord(), s).Open {
		t.Error("open without bounds")
	}
}

// TestFullCanariesGetNothing guards against requests that queue at the canaries: they are slow without a fault of the
// version.
func TestFullCanariesGetNothing(t *testing.T) {
	for atTarget, want := range map[int64]bool{0: true, 3: true, 4: false, 100: false} {
		s := situation(2500 * time.Millisecond)                // in the open part of a period
		s.Hosts[0].AtTarget, s.Hosts[1].AtTarget = atTarget, 4 // of the 8 slots of one canary
		if d := Next(canaryRecord(), s); d.Open != want {
			t.Errorf("%d and 4 requests in flight: open %v, want %v", atTarget, d.Open, want)
		}
		if s.Hosts[1].Revision = 6; atTarget == 4 && !Next(canaryRecord(), s).Open {
			t.Error("the requests of another order close the exposure")
		}
	}
}

// TestChangedOrders guards against evidence that is lost when an order is repeated, and against a new roll-out that
// starts with the evidence or the end of another.
func TestChangedOrders(t *testing.T) {
	running := promotedRecord()
	running.Ended = failing()
	later := testStart.Add(8 * time.Second)
	order := func(target string, revision uint64) Order {
		return Order{Pool: "p", Target: target, Duration: 20 * time.Second, Revision: revision}
	}
	same := Begin(&running, order("v2", 8), []string{"v0", "v1", "v2"}, later)
	if same.Phase != PhasePromoting || len(same.Ended) != 2 || same.Revision != 8 || !same.Started.Equal(later) || strings.Join(same.Old, ",") != "v0,v1" || !same.Since.Equal(running.Since) {
		t.Errorf("same target again: %+v, want the evidence and a new limit", same)
	}
	other := Begin(&running, order("v3", 8), []string{"v1", "v2"}, later)
	if other.Phase != PhaseCanary || len(other.Ended) != 0 || strings.Join(other.Old, ",") != "v1,v2" {
		t.Errorf("other target: %+v, want a new roll-out", other)
	}
	ended := running.Apply(Decision{Phase: PhaseRolledBack}, later)
	if again := Begin(&ended, order("v2", 8), []string{"v1", "v2"}, later); again.Phase != PhaseCanary || len(again.Ended) != 0 {
		t.Errorf("same target after its roll-back: %+v, want a new roll-out", again)
	}
	for revision := range uint64(8) {
		if old := Begin(&ended, order("v2", revision), []string{"v1"}, later); old.Phase != PhaseRolledBack || old.Revision != 7 {
			t.Errorf("revision %d after 7: %+v, want no change", revision, old)
		}
	}
}

// TestFinalPhasesStay guards against two coordinators that write opposite outcomes one after the other.
func TestFinalPhasesStay(t *testing.T) {
	for _, end := range []Phase{PhaseComplete, PhaseRolledBack} {
		r := canaryRecord().Apply(Decision{Phase: end, Reason: "first"}, testStart)
		for _, d := range []Phase{PhaseCanary, PhasePromoting, PhaseComplete, PhaseRolledBack, ""} {
			if again := r.Apply(Decision{Phase: d, Reason: "second"}, testStart.Add(time.Second)); again.Phase != end || again.Reason != "first" {
				t.Errorf("%s, then %q: %+v, want no change", end, d, again)
			}
		}
	}
	if r := promotedRecord().Apply(Decision{Phase: PhaseCanary}, testStart); r.Phase != PhasePromoting {
		t.Errorf("promoting, then canary: %s, want no change", r.Phase)
	}
	r, changed := Begin(nil, canaryRecord().Order, nil, testStart).Observe([]string{"v2", "v1"})
	if !changed || strings.Join(r.Old, ",") != "v1" {
		t.Errorf("old version seen after the order: %v, want v1", r.Old)
	}
	if _, changed := r.Observe([]string{"v1", "v2"}); changed {
		t.Error("a version that is known already changes the record")
	}
}
