package forward

import (
	"math/rand/v2"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/routes"
)

// admit takes the request's cost from the client account's share.
func (e *exchange) admit() *apierr.Error {
	e.pool = drawTarget(e.route)
	now := time.Now()
	e.f.windows.Request(e.pool, now)
	if e.meta.PromptTokens > 0 {
		e.f.pool(e.pool).mix.Add(e.meta.PromptTokens, e.meta.PromptTokens-int(reread*float64(e.meta.sharedTokens())), e.meta.MaxOutputTokens)
	}
	if e.account == nil {
		return nil
	}
	e.cost = costOf(e.account, e.meta)
	limit := admission.AccountLimit{Rate: e.account.Rate, Burst: e.account.Burst}
	if e.account.Tokens {
		limit.Slack = e.f.Tolerated
	}
	wait, by, ok := e.f.Limits.Take(e.ctx, e.account.Name, limit, e.cost)
	e.limitBy = by
	if !ok {
		e.cost = 0
		return apierr.New(apierr.CodeRateLimited, "the client account is over its limit").WithRetryAfter(spread(wait))
	}
	return nil
}

// refund gives the cost back of a request that did not run.
func (e *exchange) refund() {
	if e.cost > 0 {
		e.f.Limits.Refund(e.account.Name, e.cost)
		e.cost = 0
	}
}

func costOf(a *routes.Account, m Metadata) float64 {
	if !a.Tokens {
		return 1
	}
	if tokens := m.PromptTokens + m.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}
	return a.PlainTokens
}

// drawTarget draws a pool by the weights of a route's targets.
func drawTarget(route *routes.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Pool
	}
	total := 0.0
	for _, t := range route.Targets {
		total += t.Weight
	}
	draw := rand.Float64() * total
	for _, t := range route.Targets {
		if draw -= t.Weight; draw < 0 {
			return t.Pool
		}
	}
	if len(route.Targets) == 0 {
		return ""
	}
	return route.Targets[len(route.Targets)-1].Pool
}

// reread is the part of shared prompts that is not taken to be read again.
const reread = 0.7

// spreadShare is the part of a wait by which returns are spread, so that
// callers that were refused together do not come back together.
const spreadShare = 0.5

func spread(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*spreadShare*float64(wait))
}
