package routing_test

import (
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/workload"
)

func byRate(c workload.UnevenChoice) routing.Policy {
	return routing.ExpectedFinish{Prefill: c.Prefill, Arrived: c.Arrived}
}

func plainByRate(c workload.UnevenChoice) routing.Policy {
	return routing.LeastExpectedWait{Domain: c.Domain, Arrived: c.Arrived}
}

// uneven returns a run of 76 hosts and 24 upstreams of which one in four is slow.
func uneven() workload.UnevenSetup {
	return workload.UnevenSetup{
		Seed: 1, Hosts: 76, Upstreams: 24, Speeds: []float64{0.55, 1.2, 1.2, 1.2}, Load: 0.7, Duration: 16 * time.Second,
		Measure: true, Policy: byRate,
	}
}

// One upstream in four reads at a relative speed of 0.55, the others at 1.2, and 76 hosts see sums that are up
// to 0.4 s old. Long and small prompts are answered in time; by equal speeds (Prefill) a quarter is late.
func TestPromptsAreInTimeAtUnevenUpstreams(t *testing.T) {
	setup := uneven()
	if got := workload.RunUneven(setup).InTime; got < 0.95 {
		t.Errorf("%.3f of the prompts were in time, want at least 0.95", got)
	}
	setup.Slowdowns = true
	if got := workload.RunUneven(setup).InTime; got < 0.9 {
		t.Errorf("with temporary slow-downs, %.3f of the prompts were in time, want at least 0.9", got)
	}
}

// Plain requests of 60 ms are spread by the rates of the upstreams although the sums are older than most
// requests. Hosts that all choose the upstream with the fewest requests overrun it.
func TestPlainRequestsDoNotOverrunUpstreams(t *testing.T) {
	setup := uneven()
	setup.Plain, setup.Policy = true, plainByRate
	setup.Upstreams, setup.Duration = 8, 8*time.Second // a small pool, as the race detector makes runs slow
	after := workload.RunUneven(setup).Percentile(99)
	setup.Measure = false
	setup.Policy = func(c workload.UnevenChoice) routing.Policy { return routing.LeastBacklog{Domain: c.Domain} }
	if before := workload.RunUneven(setup).Percentile(99); after > before/2 {
		t.Errorf("the 99th percentile is %s, want at most half of %s", after, before)
	}
}

// Every upstream gets requests, also the slow ones, and the hosts measure which ones are slow.
func TestNoUpstreamIsStarvedAndSlowOnesAreFound(t *testing.T) {
	setup := uneven()
	result := workload.RunUneven(setup)
	slow, fast := 0.0, 0.0
	for i, n := range result.Served {
		if n < len(result.First)/setup.Upstreams/8 {
			t.Errorf("upstream %d got %d of %d requests", i, n, len(result.First))
		}
		if i%4 == 0 {
			slow += result.Rates[i] / 6
		} else {
			fast += result.Rates[i] / 18
		}
	}
	if slow > 0.75*fast || slow < 0.3*fast {
		t.Errorf("the slow upstreams' mean rate is %.2f, the others' %.2f; want about 0.46 of it", slow, fast)
	}
}
