package workload

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routing"
)

const (
	maxAttempts = 4
	// connectTime is how long a dead engine takes to be noticed.
	connectTime = 2 * time.Millisecond
	maxTokens   = 4096
)

// request is one request at its entry host.
type request struct {
	fleet    *Fleet
	entry    *entry
	arrival  *Arrival
	work     routing.Work
	route    routing.Request
	attempts []*attempt
	tokens   int
	began    bool
	done     bool
	hedged   bool
}

// attempt is one stream of a request.
type attempt struct {
	stream *Stream
	engine int
	ended  bool
	// tokens that this attempt itself produced.
	tokens int
	lastAt time.Duration
}

func (f *Fleet) arrive(a *Arrival) {
	e := f.entries[a.Entry]
	e.sequence++
	e.popularity.Add(a.Blocks)
	r := &request{fleet: f, entry: e, arrival: a, work: e.history.Predict(a.Prompt, maxTokens)}
	r.route = routing.Request{Blocks: a.Blocks, Long: r.work.Long, Sequence: e.sequence}
	e.history.Arrive(r.work)
	f.open++
	f.result.request(a)
	if !r.send("") {
		r.close()
		f.result.failed(a)
		return
	}
	if f.setup.Hedge && !r.work.Long {
		f.clock.After(routing.MinHedge, r.awaitFirst)
	}
}

// close ends the request.
func (r *request) close() {
	r.done = true
	r.fleet.open--
}

// send starts an attempt at the engine that the policy chooses; why is empty
// for the first.
func (r *request) send(why retry.Reason) bool {
	f := r.fleet
	r.route.Now = f.clock.Time()
	random := uint64(r.arrival.ID)<<8 | uint64(len(r.attempts))
	choice := f.setup.Policy.Pick(r.entry.snapshot, &r.route, random^f.setup.Options.Seed<<40)
	if choice.Index < 0 || len(r.attempts) >= maxAttempts {
		return false
	}
	id := r.entry.snapshot.Upstreams[choice.Index].ID
	if len(r.attempts) > 0 && !f.setup.NoBudget {
		if _, ok := r.entry.budgets.Allow(r.route.Now, why, id, r.account()); !ok {
			f.result.refused(r.arrival)
			return false
		}
	}
	r.route.Tried = append(r.route.Tried, id)
	at := &attempt{engine: choice.Index, lastAt: f.clock.Now()}
	r.attempts = append(r.attempts, at)
	f.result.attempt(r.arrival)
	r.entry.lives[at.engine].Begin()
	at.stream = &Stream{
		Arrival: r.arrival, Prior: r.tokens,
		Started: func() { r.started(at) },
		Token:   func(index int) { r.token(at, index) },
		Ended:   func(crashed bool) { r.ended(at, crashed) },
	}
	if f.setup.Priority && !r.work.Long {
		at.stream.Priority = lo.Ternary(r.tokens > 0, movedPriority, shortPriority)
	}
	f.engines[at.engine].Submit(at.stream)
	return true
}

func (r *request) firstSpan() *routing.Span { return r.entry.history.FirstToken(r.arrival.Prompt) }

func (r *request) account() string { return string(rune('a' + r.arrival.Account)) }

func (r *request) started(at *attempt) {
	result := r.fleet.result
	if at == r.attempts[0] {
		result.prompt(r.arrival, at.stream)
	} else {
		result.recomputed(r.arrival, at.stream)
	}
	if !r.began {
		r.began = true
		result.started(r.arrival, r.fleet.clock.Now()-r.arrival.At)
	}
}

func (r *request) token(at *attempt, index int) {
	now := r.fleet.clock.Now()
	live := r.entry.lives[at.engine]
	if at.tokens > 0 {
		live.Token(r.fleet.clock.Time(), now-at.lastAt, r.entry.snapshot.TypicalGap)
	}
	at.tokens++
	at.lastAt = now
	if r.done || index != r.tokens {
		return
	}
	if r.tokens == 0 {
		r.firstToken(now)
	}
	r.tokens = index + 1
	r.cancelOthers(at)
	if at.tokens == 1 {
		r.watch(at, now)
	}
}

func (r *request) firstToken(now time.Duration) {
	r.fleet.result.first(r.arrival, now-r.arrival.At)
	if len(r.attempts) == 1 { // hedged ones would raise the estimate
		r.firstSpan().Add(now - r.arrival.At)
	}
}

// cancelOthers ends the attempts that lost to this one.
func (r *request) cancelOthers(winner *attempt) {
	for _, at := range r.attempts {
		if at == winner || at.ended {
			continue
		}
		if at.tokens == 0 && at.lastAt < winner.lastAt-routing.HedgeAfter(r.firstSpan()) {
			r.entry.lives[at.engine].MarkSlow(r.fleet.clock.Time())
		}
		r.drop(at)
	}
}

func (r *request) drop(at *attempt) {
	at.ended = true
	at.stream.Cancel()
	r.entry.lives[at.engine].End()
}

// awaitFirst starts a second attempt of short work that has no token yet when
// its upstream is a straggler or the wait is long.
func (r *request) awaitFirst() {
	f := r.fleet
	if r.done || r.tokens > 0 || r.hedged {
		return
	}
	waited := f.clock.Now() - r.arrival.At
	slow := r.entry.snapshot.Upstreams[r.attempts[0].engine].Slow(f.clock.Time())
	if slow || waited >= routing.HedgeAfter(r.firstSpan()) {
		r.hedged = r.send(retry.ReasonHedge)
	}
	f.clock.After(routing.HedgeCheck, r.awaitFirst)
}

// watch looks for a stall one limit after the given time, and moves a stalled
// stream of short work.
func (r *request) watch(at *attempt, from time.Duration) {
	limit := routing.StallAfter(r.entry.snapshot.TypicalGap)
	r.fleet.clock.At(from+limit+1, func() {
		if r.done || at.ended {
			return
		}
		now := r.fleet.clock.Now()
		if now-at.lastAt <= limit {
			r.watch(at, at.lastAt)
			return
		}
		r.entry.lives[at.engine].MarkSlow(r.fleet.clock.Time())
		if r.fleet.setup.Move && !r.work.Long && r.send(retry.ReasonStalled) {
			r.drop(at)
			return
		}
		r.watch(at, now)
	})
}

func (r *request) ended(at *attempt, crashed bool) {
	if at.ended {
		return
	}
	at.ended = true
	r.entry.lives[at.engine].End()
	if r.done {
		return
	}
	if !crashed {
		r.finish(at)
		return
	}
	r.entry.lives[at.engine].Fail(r.fleet.clock.Time())
	live := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
	if !live {
		r.fleet.clock.After(connectTime, r.retry)
	}
}

func (r *request) retry() {
	if !r.done && !r.send(retry.ReasonFailed) {
		r.close()
		r.fleet.result.failed(r.arrival)
	}
}

func (r *request) finish(at *attempt) {
	r.close()
	r.entry.history.Add(r.arrival.Prompt, r.arrival.Answer, r.work)
	upstream := r.entry.snapshot.Upstreams[at.engine]
	r.entry.lives[at.engine].Succeed()
	r.entry.budgets.Success(upstream.ID, r.account())
	r.fleet.result.finished(r.arrival, r.fleet.clock.Now()-r.arrival.At)
}
