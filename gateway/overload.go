package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/genlog"
)

// gates holds an admission gate for each pool, which limits the requests that run there.
type gates struct {
	pools sync.Map // pool name to *admission.Gate
}

// forPool returns the admission gate of a pool, and creates it at the first call.
func (g *gates) forPool(pool string) *admission.Gate {
	if gate, ok := g.pools.Load(pool); ok {
		return gate.(*admission.Gate)
	}
	gate, _ := g.pools.LoadOrStore(pool, admission.NewGate())
	return gate.(*admission.Gate)
}

// RunGates samples the token rate of every pool's streams each admission.SampleInterval until ctx
// ends. The gates adjust their limits to the samples.
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

// checkOverload returns a refusal when the queue of the request's pool is full, or when the client
// account holds too large a part of the queue; otherwise it returns nil.
func (g *Gateway) checkOverload(c call) *apierr.Error {
	wait, full := g.gates.forPool(c.service.Pool).ShouldReject(c.account.Name)
	if !full {
		return nil
	}
	return apierr.New(apierr.CodeOverloaded, "the service has more work than it can answer in time").WithRetryAfter(wait)
}

// enter waits for a free slot in the pool of an accepted request. It returns the error of ctx when
// ctx ends first.
func (g *Gateway) enter(ctx context.Context, pool string, log *genlog.Log) (*admission.Slot, error) {
	weight := 0.0
	if snapshot := g.Config.Current(); snapshot != nil {
		if account, ok := snapshot.Accounts[log.Account]; ok {
			weight = account.Weight
		}
	}
	return g.gates.forPool(pool).Enter(ctx, log.Account, weight, log)
}
