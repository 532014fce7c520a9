package workload

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routing"
)

const (
	maxAttempts = 4 // attempts of one request, the first included
	// connectTime is the delay until an entry host detects that an engine has crashed.
	connectTime = 2 * time.Millisecond
	maxTokens   = 4096 // upper bound of the predicted answer length
)

// request is the state of one request at its entry host.
type request struct {
	fleet    *Fleet
	entry    *entry
	arrival  *Arrival
	work     routing.Work
	route    routing.Request
	attempts []*attempt
	tokens   int  // answer tokens received so far, from all attempts
	began    bool // whether an engine has started an attempt
	done     bool
	hedged   bool // whether a second attempt was sent because of a long wait
}

// attempt is one stream of a request to one engine.
type attempt struct {
	stream *Stream
	engine int // index in Fleet.engines
	ended  bool
	// tokens counts the tokens of this attempt alone, without prior tokens.
	tokens int
	// lastAt is the time of the attempt's last token, or of its start if it has no token.
	lastAt time.Duration
}

// arrive starts the first attempt of a request and, for short requests, the hedge timer.
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

// close marks the request as done and no longer open.
func (r *request) close() {
	r.done = true
	r.fleet.open--
}

// send starts an attempt on the engine that the policy chooses. why is empty for the
// first attempt. send returns false when no engine is available, the attempts are used
// up or a retry budget denies the attempt.
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

// firstSpan returns the estimated time to first token for prompts of this size.
func (r *request) firstSpan() *routing.DurationEstimate {
	return r.entry.history.FirstToken(r.arrival.Prompt)
}

// account returns the client account's name as a letter.
func (r *request) account() string { return string(rune('a' + r.arrival.Account)) }

// started records that an engine has added an attempt to its batch.
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

// token records a token of an attempt. The first attempt that yields the next answer
// token wins, and all others are cancelled.
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

// firstToken records the time to the first token of the answer.
func (r *request) firstToken(now time.Duration) {
	r.fleet.result.first(r.arrival, now-r.arrival.At)
	if len(r.attempts) == 1 { // times of hedged or retried requests would raise the estimate
		r.firstSpan().Add(now - r.arrival.At)
	}
}

// cancelOthers cancels all attempts except the winner. It marks an engine as slow if its
// attempt has no token and started more than routing.HedgeAfter before the winner's token.
func (r *request) cancelOthers(winner *attempt) {
	for _, at := range r.attempts {
		if at == winner || at.ended {
			continue
		}
		if at.tokens == 0 && at.lastAt < winner.lastAt-routing.HedgeAfter(r.firstSpan()) {
			r.entry.lives[at.engine].MarkSlow(r.fleet.clock.Time())
		}
		r.cancel(at)
	}
}

// cancel cancels one attempt.
func (r *request) cancel(at *attempt) {
	at.ended = true
	at.stream.Cancel()
	r.entry.lives[at.engine].End()
}

// awaitFirst starts a second attempt for a request without a first token when its
// upstream is a straggler or the wait is long. It repeats until there is a token or a
// second attempt.
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
	f.clock.After(routing.HedgeCheckInterval, r.awaitFirst)
}

// watch checks an attempt for a stall when the stall limit has passed since from. It
// marks the engine of a stalled attempt as slow and, if Setup.Move is set, moves the
// stream of a short request to another engine.
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
			r.cancel(at)
			return
		}
		r.watch(at, now)
	})
}

// ended handles the end of an attempt. After a crash it schedules a retry, unless
// another attempt is still running.
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

// retry sends another attempt, or fails the request if that is not possible.
func (r *request) retry() {
	if !r.done && !r.send(retry.ReasonFailed) {
		r.close()
		r.fleet.result.failed(r.arrival)
	}
}

// finish records the complete answer of an attempt as the result of the request.
func (r *request) finish(at *attempt) {
	r.close()
	r.entry.history.Add(r.arrival.Prompt, r.arrival.Answer, r.work)
	upstream := r.entry.snapshot.Upstreams[at.engine]
	r.entry.lives[at.engine].Succeed()
	r.entry.budgets.Success(upstream.ID, r.account())
	r.fleet.result.finished(r.arrival, r.fleet.clock.Now()-r.arrival.At)
}
