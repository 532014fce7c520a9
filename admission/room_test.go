package admission

import (
	"fmt"
	"testing"
)

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
