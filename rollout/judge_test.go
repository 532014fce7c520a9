package rollout

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// judged is an experiment without time: old and target answers that fail with given probabilities, evaluated as they
// arrive. It returns after how many answers of the target the verdict is sure, or 0.
func judged(random *rand.Rand, answers int, oldPerTarget float64, oldFails, targetFails float64) int {
	e := Evidence{}
	for n := 1; n <= answers; n++ {
		for i := range 1 + int(oldPerTarget) {
			version, fails := "v1", oldFails
			if i == 0 {
				version, fails = "v2", targetFails
			}
			key := EvidenceKey{Version: version, Route: "r"}
			c := e[key]
			c.Ended++
			if random.Float64() < fails {
				c.Failed++
			} else {
				c.Latency[Bucket(time.Duration(20+random.ExpFloat64()*30)*time.Millisecond)]++
			}
			e[key] = c
		}
		if Judge("v2", []string{"v1"}, e).Sure {
			return n
		}
	}
	return 0
}

// TestFaultOfOneInSevenIsFoundWithin100Requests guards against a verdict that comes after the canary's requests are over.
// By chance, 1 in 2,000 targets has less than five failures in 100 requests.
func TestFaultOfOneInSevenIsFoundWithin100Requests(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, oldFails := range []float64{0, 0.005} {
		const plays = 400
		late := 0
		for range plays {
			if judged(random, 100, 9, oldFails, 1.0/7) == 0 {
				late++
			}
		}
		if late > plays/100 {
			t.Errorf("old versions fail %v: %d of %d not found within 100 requests, want at most 1 in 100", oldFails, late, plays)
		}
	}
}

// TestFalseAlarmsAreRare guards against a good target that is rolled back by chance: each play evaluates the verdict after
// each of 500 answers of the target.
func TestFalseAlarmsAreRare(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	plays, alarms := 0, 0
	for _, fails := range []float64{0, 0.002, 0.01, 0.05, 0.3, 0.9} {
		for range 40 {
			plays++
			if judged(random, 500, 9, fails, fails) > 0 {
				alarms++
			}
		}
	}
	t.Logf("%d false alarms in %d plays", alarms, plays)
	if alarms > 1 {
		t.Errorf("%d false alarms in %d plays of 500 evaluations, want at most 1", alarms, plays)
	}
}

// counts returns counts with some slow answers; the others are fast.
func counts(ended, failed, slow int64) Counts {
	c := Counts{Ended: ended, Failed: failed}
	c.Latency[Bucket(200*time.Millisecond)] = slow
	c.Latency[Bucket(20*time.Millisecond)] = ended - failed - slow
	return c
}

// TestJudge guards, case by case, against evidence that is compared the wrong way.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		target, old Counts
		sure        bool
		promoted    bool // the verdict of JudgePromoted
	}{
		"nothing":                        {},
		"no failure":                     {counts(100, 0, 0), counts(900, 0, 0), false, false},
		"four failures":                  {counts(4, 4, 0), counts(900, 0, 0), false, false},
		"five failures":                  {counts(20, 5, 0), counts(900, 0, 0), true, true},
		"as many at old versions":        {counts(100, 20, 0), counts(900, 180, 0), false, false},
		"more at old versions":           {counts(100, 0, 0), counts(900, 180, 0), false, false},
		"seven slow":                     {counts(7, 0, 7), counts(900, 0, 9), false, false},
		"all slow":                       {counts(20, 0, 20), counts(900, 0, 9), true, true},
		"as many slow":                   {counts(100, 0, 8), counts(900, 0, 72), false, false},
		"a queue at the canaries":        {counts(100, 0, 20), counts(900, 0, 9), false, false},
		"many slow once in seven":        {counts(400, 0, 57), counts(3600, 0, 36), true, false},
		"few failures among many":        {counts(10_000, 45, 0), counts(90_000, 0, 0), true, false},
		"little more than old versions":  {counts(10_000, 1040, 0), counts(90_000, 9000, 0), false, false},
		"no comparison, all failed":      {counts(100, 100, 0), Counts{}, true, true},
		"no comparison, some failed":     {counts(200, 50, 0), Counts{}, false, false},
		"few old answers are no measure": {counts(50, 0, 50), counts(19, 0, 0), false, false},
		"slow beyond the last bucket":    {Counts{Ended: 50, Latency: [Buckets]int64{47: 50}}, Counts{Ended: 50, Latency: [Buckets]int64{46: 50}}, false, false},
	} {
		e := Evidence{{Version: "v2", Route: "r"}: c.target, {Version: "v1", Route: "r"}: c.old, {Version: "v9", Route: "r"}: counts(5000, 2500, 2500)}
		if v := Judge("v2", []string{"v1"}, e); v.Sure != c.sure || v.Sure != (v.Reason != "" && v.Sure) || v.Sure && !v.Bad {
			t.Errorf("%s: %+v, want sure %v", name, v, c.sure)
		}
		if v := JudgePromoted("v2", []string{"v1"}, e); v.Sure != c.promoted {
			t.Errorf("%s, promoted: %+v, want sure %v", name, v, c.promoted)
		}
	}
}

// TestVerdictOfOneRoute guards against a fault that is lost among the requests of other routes, and against routes of
// different latency or failures that are compared with each other.
func TestVerdictOfOneRoute(t *testing.T) {
	e := Evidence{
		{Version: "v1", Route: "a"}: counts(9000, 0, 0), {Version: "v2", Route: "a"}: counts(1000, 0, 0),
		{Version: "v1", Route: "b"}: counts(90, 0, 0), {Version: "v2", Route: "b"}: counts(10, 6, 0),
	}
	v := Judge("v2", []string{"v1"}, e)
	if !v.Sure || v.Route != "b" || !strings.Contains(v.Reason, "6 of 10 answers failed") || v.BadAnswers != 5 {
		t.Errorf("fault on one route: %+v, want route b and 5 bad answers beyond the smoothed share", v)
	}
	e[EvidenceKey{Version: "v1", Route: "b"}] = counts(90, 54, 0)
	if v := Judge("v2", []string{"v1"}, e); v.Sure {
		t.Errorf("fault of both versions on one route: %+v, want no verdict", v)
	}
}
