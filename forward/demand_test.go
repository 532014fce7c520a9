package forward_test

import (
	"testing"

	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/planner"
)

// The host that orders upstreams is one of hundreds and may have had no request
// for a pool: it plans by what the others send and have measured. On a day of
// 4.5 million tokens a second it ordered two upstreams.
func TestHolderWithoutRequestsPlansByTheOthers(t *testing.T) {
	f := newFixture(t, nil)
	loads := []loadshare.Load{
		{Upstream: loadshare.Key("demand/p"), Unread: 4_500_000},
		{Upstream: loadshare.Key("speed/p"), Unread: 3 * 60_000, InFlight: 3},
		{Upstream: loadshare.Key("u1"), InFlight: 5}, {Upstream: loadshare.Key("u2"), InFlight: 5},
	}
	f.SetOthers(loads)
	demand := f.Demand("p")
	if demand.ReadPerSecond != 60_000 || demand.InFlight != 10 || demand.TokensPerSecond != 4_500_000 {
		t.Errorf("%+v", demand)
	}
	if needed := planner.Needed(demand); needed < 100 {
		t.Errorf("%d upstreams are needed", needed)
	}
}
