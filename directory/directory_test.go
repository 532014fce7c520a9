package directory

import (
	"fmt"
	"testing"

	"github.com/cardamompier/cardamompier/membership"
)

func fleet(n int) []membership.Member {
	var hosts []membership.Member
	for i := range n {
		hosts = append(hosts, membership.Member{
			ID: fmt.Sprintf("front-%03d", i), FailureDomain: fmt.Sprint(i % 6), Capacity: 0.5 * float64(1+i%4),
		})
	}
	return hosts
}

// Hundreds of hosts and callers that use 64 addresses at most: every host gets
// callers, by its capacity. The first 64 in order of their ids had all of them.
func TestAllHostsOfALargeFleetGetCallers(t *testing.T) {
	const callers = 600
	hosts := fleet(295)
	told, near := map[string]int{}, 0
	for c := range callers {
		domain := fmt.Sprint(c % 6)
		chosen := Choose(hosts, Caller{Key: fmt.Sprint("10.9.0.", c), FailureDomain: domain})
		if len(chosen) != MaxHosts {
			t.Fatalf("%d hosts", len(chosen))
		}
		for _, m := range chosen {
			told[m.ID]++
			if m.FailureDomain == domain {
				near++
			}
		}
	}
	weak, strong := 0, 0
	for _, m := range hosts {
		if told[m.ID] == 0 {
			t.Errorf("%s gets no callers", m.ID)
		}
		switch m.Capacity {
		case 0.5:
			weak += told[m.ID]
		case 2:
			strong += told[m.ID]
		}
	}
	if ratio := float64(strong) / float64(weak); ratio < 2 || ratio > 4 {
		t.Errorf("hosts of four times the capacity get %.1f times the callers", ratio)
	}
	if share := float64(near) / (callers * MaxHosts); share < 0.25 || share > 0.6 {
		t.Errorf("%.2f of the addresses are near", share)
	}
}

// A caller's addresses stay while other hosts come and go, and hosts that leave
// are not among them.
func TestCallersKeepTheirHosts(t *testing.T) {
	hosts := fleet(295)
	caller := Caller{Key: "10.9.0.1", FailureDomain: "2"}
	before := map[string]bool{}
	for _, m := range Choose(hosts, caller) {
		before[m.ID] = true
	}
	for i := range hosts {
		hosts[i].Leaving = i%10 == 0
	}
	kept := 0
	for _, m := range Choose(hosts, caller) {
		if m.Leaving {
			t.Errorf("%s leaves", m.ID)
		}
		if before[m.ID] {
			kept++
		}
	}
	if kept < MaxHosts*8/10 {
		t.Errorf("%d of %d addresses are kept", kept, MaxHosts)
	}
}

// Small fleets are named whole.
func TestSmallFleets(t *testing.T) {
	for _, n := range []int{0, 1, 9, MaxHosts} {
		if got := Choose(fleet(n), Caller{Key: "a"}); len(got) != n {
			t.Errorf("%d of %d hosts", len(got), n)
		}
	}
}
