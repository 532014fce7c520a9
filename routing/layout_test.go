package routing

import (
	"fmt"
	"testing"
)

// A list of hundreds of upstreams changes several times a second on a day of
// reclaims: what each host makes of it for its policies is made at most once a
// list, and the hash ring only where a policy uses it.
func BenchmarkListOfHundredsOfUpstreams(b *testing.B) {
	upstreams := make([]Upstream, 330)
	for i := range upstreams {
		upstreams[i] = Upstream{ID: fmt.Sprintf("i-%08x", i), FailureDomain: fmt.Sprint(i % 6), Live: &Live{}}
	}
	b.ReportAllocs()
	for b.Loop() {
		NewSnapshot(upstreams, NewLayout(upstreams), 0)
	}
}
