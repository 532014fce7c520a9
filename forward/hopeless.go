package forward

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/routing"
)

// Counters and histograms of early refusals.
var (
	HopelessRefusals = metrics.New("forward_hopeless_refusals_total", "Requests that were refused at once because they would start too late, by reason.")
	ReturnedRequests = metrics.New("forward_returned_requests_total", "Requests that came back after they were refused because they would start too late, by outcome of the next check.")
	ExpectedStart    = metrics.NewHistogram("forward_expected_start_ms", "Time until a request is expected to start at the best upstream, when less than half of the slots are free.")
)

// Labels of the ReturnedRequests counter.
const (
	returnedAdmitted = "admitted"
	returnedRefused  = "refused"
)

const (
	// returnedSpan is how long a refused request is remembered, and maxReturned how many are.
	returnedSpan = 12 * time.Second
	maxReturned  = 4096
)

// shortage is what the forwarder knows of the demand of client accounts and of refused requests. The zero value
// is ready to use.
type shortage struct {
	accounts admission.AccountWork
	refused  sync.Map // hash of the request (uint64) to the time of its refusal
	count    atomic.Int64
}

// refresh computes the accounts' shares and forgets old refusals.
func (s *shortage) refresh(now time.Time) {
	s.accounts.Refresh(now)
	s.refused.Range(func(key, at any) bool {
		if now.Sub(at.(time.Time)) > returnedSpan {
			s.forget(key.(uint64))
		}
		return true
	})
}

// forget reports whether the request was refused before, and forgets it.
func (s *shortage) forget(key uint64) bool {
	_, refused := s.refused.LoadAndDelete(key)
	if refused {
		s.count.Add(-1)
	}
	return refused
}

func (s *shortage) remember(key uint64, now time.Time) {
	if s.count.Load() >= maxReturned {
		return
	}
	if _, known := s.refused.Swap(key, now); !known {
		s.count.Add(1)
	}
}

// refuseHopeless returns an error if the request is refused because it is expected to start too late. It
// counts the work of a request that is admitted.
func (e *exchange) refuseHopeless(now time.Time) *apierr.Error {
	if !e.f.Balance.RefuseHopeless {
		return nil
	}
	list := e.f.Upstreams()
	if list == nil {
		return nil
	}
	p := e.f.pool(e.pool)
	key := xxhash.Sum64String(e.accountName() + "/" + e.meta.RequestID)
	returned := e.f.shortage.forget(key)
	prospect := e.prospect(p, e.startOf(p.view(e.pool, list), now), now)
	prospect.Returned = returned
	if 2*prospect.FreeSlots < prospect.Slots {
		ExpectedStart.Observe(prospect.Start)
	}
	retryAfter, reason, refuse := prospect.Refuse(rand.Float64())
	if returned && refuse {
		ReturnedRequests.Inc(returnedRefused)
	} else if returned {
		ReturnedRequests.Inc(returnedAdmitted)
	}
	if !refuse {
		e.countWork(p, now)
		return nil
	}
	e.f.shortage.remember(key, now)
	HopelessRefusals.Inc(string(reason))
	e.log(events.BalanceRefused, "reason", string(reason), "start_ms", prospect.Start.Milliseconds(), "ahead", prospect.Ahead,
		"share", prospect.Share, "fair", prospect.Fair, "returned", returned, "free_slots", prospect.FreeSlots, "slots", prospect.Slots)
	return apierr.New(apierr.CodeTooLate, "the request would start too late").WithRetryAfter(retryAfter)
}

// startOf returns when the request is expected to start, in work.
func (e *exchange) startOf(v *poolView, now time.Time) routing.Start {
	req := e.routingRequest(v, now)
	if e.meta.PromptTokens > 0 {
		return routing.ExpectedFinish{Prefill: routing.Prefill{Tokens: e.meta.PromptTokens}}.Start(v.snapshot, &req)
	}
	return routing.LeastExpectedWait{Domain: e.f.Domain}.Start(v.snapshot, &req)
}

// prospect returns what is expected for the request. The start is zero while the pool's speed is not known.
func (e *exchange) prospect(p *poolState, start routing.Start, now time.Time) admission.Prospect {
	out := admission.Prospect{Ahead: 1, TimeLeft: e.deadline.Sub(now), FreeSlots: start.FreeSlots, Slots: start.Slots}
	if e.meta.PromptTokens > 0 {
		if speed := p.demand.prefillSpeed(); speed > 0 {
			out.Start = time.Duration(start.Wait / speed * float64(time.Second))
			unread := float64(e.meta.PromptTokens) - assumedCachedShare*float64(e.meta.sharedTokens())
			out.Own = time.Duration(unread / speed * float64(time.Second))
		}
		out.Ahead = p.ranks.Ahead(e.route.Priority)
	} else {
		out.Own = p.answerTime.Mean()
		out.Start = time.Duration(start.Wait * float64(out.Own))
	}
	if e.account != nil {
		out.Share, out.Fair = e.f.shortage.accounts.Share(e.account.Name)
	}
	return out
}

// countWork counts the work of a request that is about to be sent.
func (e *exchange) countWork(p *poolState, now time.Time) {
	work := float64(max(e.meta.PromptTokens, 1))
	if e.meta.PromptTokens > 0 {
		p.ranks.Add(e.route.Priority, work)
	}
	if e.account != nil {
		e.f.shortage.accounts.Add(e.account.Name, work, now)
	}
}
