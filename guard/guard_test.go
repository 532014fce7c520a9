package guard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// TestComponentThatPanicsIsStartedAgain checks that a component that panics on what it reads neither ends
// the process nor spins, and runs again when the cause is gone.
func TestComponentThatPanicsIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts, recordIsGone := 0, time.Now().Add(10*time.Second)
		began := time.Now()
		Run(t.Context(), hclog.NewNullLogger(), "reader", func(context.Context) {
			starts++
			if time.Now().Before(recordIsGone) {
				panic("a record that cannot be read")
			}
		})
		if took := time.Since(began); took < 10*time.Second || starts > 11 {
			t.Errorf("the component was started %d times in %v, want once a second until it returns", starts, took)
		}
	})
}

// TestEndOfContextEndsRestarts checks that no component is started after its context ended.
func TestEndOfContextEndsRestarts(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	starts := 0
	Run(ctx, hclog.NewNullLogger(), "reader", func(context.Context) {
		starts++
		cancel()
		panic("at each start")
	})
	if starts != 1 {
		t.Errorf("the component was started %d times, want once", starts)
	}
}
