package forward

import (
	"math/rand/v2"
	"time"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/routes"
)

// admit selects the upstream pool for the request and charges the request's cost to
// the limit of its client account. It returns an error if the account is over its
// limit.
func (e *exchange) admit() *apierr.Error {
	e.pool = drawPool(e.route)
	e.f.repeats.Request(e.pool, clock.SinceBoot())
	if e.meta.PromptTokens > 0 {
		e.f.pool(e.pool).mix.Add(e.meta.PromptTokens, e.meta.PromptTokens-int(assumedCachedShare*float64(e.meta.sharedTokens())), e.meta.MaxOutputTokens)
	}
	if e.account == nil {
		return nil
	}
	e.cost = costOf(e.account, e.meta)
	limit := admission.AccountLimit{Rate: e.account.Rate, Burst: e.account.Burst}
	if e.account.Tokens {
		limit.Slack = e.f.LimitSlack
	}
	wait, by, ok := e.f.Limits.Take(e.ctx, e.account.Name, limit, e.cost)
	e.limitDecidedBy = by
	if !ok {
		e.cost = 0
		return apierr.New(apierr.CodeRateLimited, "the client account is over its limit").WithRetryAfter(withJitter(wait))
	}
	return nil
}

// refund returns the cost of a request that did not run to the client account's limit.
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

// drawPool selects one of the route's upstream pools at random, in proportion to the
// weights of the route's targets.
func drawPool(route *routes.Route) string {
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

// assumedCachedShare is the share of shared prompt tokens that an upstream is assumed
// to have cached, so that it does not process them again.
const assumedCachedShare = 0.7

// jitterRatio is the maximum random delay added to a Retry-After time, relative to
// that time. Jitter prevents callers that were rejected together from retrying
// together.
const jitterRatio = 0.5

func withJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*jitterRatio*float64(wait))
}
