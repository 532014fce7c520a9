package scaling

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/clock/clocktest"
	"github.com/cardamompier/cardamompier/cloud"
	"github.com/cardamompier/cardamompier/kv/kvmem"
	"github.com/cardamompier/cardamompier/lease"
	"github.com/cardamompier/cardamompier/planner"
)

// TestNoOrderThatOutlivesItsTerm guards against an order that is sent just before its term ends and takes effect after
// an order of the next holder, as its process is suspended.
func TestNoOrderThatOutlivesItsTerm(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	clock := clocktest.New(1)
	holder := lease.New(kvmem.New(), "duties", "h", hclog.NewNullLogger(), lease.Options{Elapsed: clock.Elapsed})
	holder.Run(ctx, func(ctx context.Context, term *lease.Term) {
		defer cancel()
		sent := counts{}
		s := &Scaler{Cloud: &sent, Logger: hclog.NewNullLogger(), sent: map[orderKey]sentOrder{}}
		s.sendOrder(ctx, term, cloud.ScaleOrder{Pool: "p", FailureDomain: "d", Count: 1}, 0, planner.Demand{})
		clock.Suspend(term.Remaining() - cloud.CallLifetime + time.Millisecond)
		s.sendOrder(ctx, term, cloud.ScaleOrder{Pool: "p", FailureDomain: "d", Count: 2}, 0, planner.Demand{})
		if !term.Valid() || len(sent) != 1 || sent[0] != 1 {
			t.Errorf("ordered %v, want 1 at the begin of the term and nothing %v before its end", sent, term.Remaining())
		}
	})
	if ctx.Err() != context.Canceled {
		t.Error("the lease was not acquired")
	}
}
