package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/genlog"
)

// gates holds the gate of each pool.
type gates struct {
	pools sync.Map // pool name to *admission.Gate
}

func (g *gates) of(pool string) *admission.Gate {
	if gate, ok := g.pools.Load(pool); ok {
		return gate.(*admission.Gate)
	}
	gate, _ := g.pools.LoadOrStore(pool, admission.NewGate())
	return gate.(*admission.Gate)
}

// RunGates samples the pace of the pools' streams until ctx ends.
func (g *Gateway) RunGates(ctx context.Context) {
	ticker := time.NewTicker(admission.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.gates.pools.Range(func(_, gate any) bool {
				gate.(*admission.Gate).Sample(now)
				return true
			})
		case <-ctx.Done():
			return
		}
	}
}

// checkOverload refuses a request that would wait too long for its pool.
func (g *Gateway) checkOverload(c call) *apierr.Error {
	wait, full := g.gates.of(c.service.Pool).Full(c.account.Name)
	if !full {
		return nil
	}
	return apierr.New(apierr.CodeOverloaded, "the service has more work than it can answer in time").WithRetryAfter(wait)
}

// enter waits for a slot in the pool of an accepted request.
func (g *Gateway) enter(ctx context.Context, pool string, log *genlog.Log) (*admission.Slot, error) {
	weight := 0.0
	if snapshot := g.Config.Current(); snapshot != nil {
		if account, ok := snapshot.Accounts[log.Account]; ok {
			weight = account.Weight
		}
	}
	return g.gates.of(pool).Enter(ctx, log.Account, weight, log)
}
