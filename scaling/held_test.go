package scaling

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/planner"
)

// counts records the counts of the orders that it gets.
type counts []int

// Scale implements cloud.Scaler.
func (c *counts) Scale(_ context.Context, _ uint64, o cloud.ScaleOrder) error {
	*c = append(*c, o.Count)
	return nil
}

// TestHeldOrdersAreNotLowered guards against upstreams that are ended while a roll-out of their pool runs: by a lower order,
// and by the first order of a host that does not know the order before.
func TestHeldOrdersAreNotLowered(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	holder := lease.New(kvmem.New(), "duties", "h", hclog.NewNullLogger(), lease.Options{})
	holder.Run(ctx, func(ctx context.Context, term *lease.Term) {
		defer cancel()
		held, sent := true, counts{}
		s := &Scaler{Cloud: &sent, Held: func(string) bool { return held }, Logger: hclog.NewNullLogger(), sent: map[orderKey]sentOrder{}}
		order := func(count, live int) {
			s.sendOrder(ctx, term, cloud.ScaleOrder{Pool: "p", FailureDomain: "d", Count: count}, live, planner.Demand{})
		}
		order(2, 4) // nothing is known of the order before
		order(5, 4)
		order(3, 5)
		held = false
		order(3, 5)
		if len(sent) != 2 || sent[0] != 5 || sent[1] != 3 {
			t.Errorf("ordered %v, want 5 during the roll-out and 3 after it", sent)
		}
	})
	if ctx.Err() != context.Canceled {
		t.Error("the lease was not acquired")
	}
}
