package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// The parts of hosts that know the same usage add up to the rate at most.
func TestPartsAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 500), 1, 40).Draw(t, "demands")
		rate := rapid.Float64Range(0.1, 1000).Draw(t, "rate")
		var usages []Usage
		for _, d := range demands {
			usages = append(usages, Usage{"a": d})
		}
		sum := 0.0
		for _, u := range usages {
			sum += part("a", rate, u, usages, len(usages))
		}
		if sum > rate*1.000001 {
			t.Fatalf("parts add up to %f of %f", sum, rate)
		}
	})
}

// In any span a host admits its part for that span, one burst and one request
// at most.
func TestAdmitKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 100).Draw(t, "rate")
		var l Limiter
		l.Share("a", rate, Usage{}, []Usage{{}}, 1)
		now, admitted := start, 0
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 200), 1, 300).Draw(t, "gaps") {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			refusal := l.Admit(now, "a", rate)
			if refusal == nil {
				admitted++
			} else if refusal.RetryAfter < minRetryAfter {
				t.Fatalf("retry after %s", refusal.RetryAfter)
			}
		}
		if most := rate*(now.Sub(start)+burstSpan).Seconds() + 1.01; float64(admitted) > most {
			t.Fatalf("%d admitted, at most %f", admitted, most)
		}
	})
}

func TestRaisedPartsWaitAndLoweredOnesDoNot(t *testing.T) {
	var l Limiter
	interval := func(self float64, others ...float64) time.Duration {
		usages := []Usage{{"a": self}}
		for _, o := range others {
			usages = append(usages, Usage{"a": o})
		}
		l.Share("a", 100, usages[0], usages, len(usages))
		return time.Duration(l.account("a").interval.Load())
	}
	high, low := interval(10), interval(10, 10)
	if low <= high {
		t.Fatalf("not lowered at once: %s then %s", high, low)
	}
	for range settleRounds - 1 {
		if got := interval(10); got != low {
			t.Fatalf("raised before the others lowered theirs: %s", got)
		}
	}
	if got := interval(10); got != high {
		t.Fatalf("never raised: %s", got)
	}
}

func TestRoomLendsUntilItIsShort(t *testing.T) {
	var r Room
	const capacity = 20
	count := func(name string, share float64) (entered int, last *Refusal) {
		for last == nil {
			if last = r.Enter(name, capacity, share); last == nil {
				entered++
			}
		}
		return entered, last
	}
	lent, refusal := count("large", 0.5)
	if lent != capacity*85/100 || refusal.Reason != ReasonShare {
		t.Fatalf("lent %d, %v", lent, refusal)
	}
	rest, refusal := count("small", 0.5)
	if rest != capacity-lent || refusal.Reason != ReasonFull {
		t.Fatalf("the small account got %d, %v", rest, refusal)
	}
	r.Leave("large")
	if refusal := r.Enter("large", capacity, 0.5); refusal == nil {
		t.Fatal("an account over its share took a place that came free")
	}
	if refusal := r.Enter("small", capacity, 0.5); refusal != nil {
		t.Fatalf("an account under its share was refused: %v", refusal)
	}
}

func TestShareGoesByWeightOfAccountsInProgress(t *testing.T) {
	var r Room
	weight := func(name string) float64 { return map[string]float64{"a": 1, "b": 3}[name] }
	if got := r.Share("a", weight); got != 1 {
		t.Fatalf("alone: %f", got)
	}
	if refusal := r.Enter("b", 10, 1); refusal != nil {
		t.Fatal(refusal)
	}
	if got := fmt.Sprint(r.Share("a", weight)); got != "0.25" {
		t.Fatalf("with b: %s", got)
	}
}
