package gateway

import (
	"math/rand/v2"
	"testing"
)

// TestAddressesPreferNearAndSpread: hosts in the caller's failure domain come
// first, and each of them is first for some callers.
func TestAddressesPreferNearAndSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	first := map[string]int{}
	for range 300 {
		list := []Address{
			{Host: "n1", FailureDomain: "a"}, {Host: "n2", FailureDomain: "b"},
			{Host: "n3", FailureDomain: "a"}, {Host: "n4", FailureDomain: "b"},
		}
		orderAddresses(list, "b", random.Shuffle)
		if list[1].FailureDomain != "b" || list[2].FailureDomain != "a" {
			t.Fatalf("order %v", list)
		}
		first[list[0].Host]++
	}
	if len(first) != 2 || first["n2"] < 100 || first["n4"] < 100 {
		t.Fatalf("first in the answer: %v", first)
	}
}
