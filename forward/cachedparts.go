package forward

import (
	"context"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/promptcache"
	"github.com/cardamompier/cardamompier/routing"
)

// Counters and histograms that compare what upstreams were expected to hold of a prompt with the time to
// the first event of their answers.
var (
	PromptTokens     = metrics.New("promptcache_tokens_total", "Prompt tokens of requests whose first event came: all, shared with other requests, and expected to be held by the upstream.")
	FirstEventHeld   = metrics.NewHistogram("promptcache_first_event_held_ms", "Time from sending a request to its first event where the upstream was expected to hold at least 9 in 10 shared tokens.")
	FirstEventPart   = metrics.NewHistogram("promptcache_first_event_part_ms", "The same where it was expected to hold fewer of them.")
	FirstEventNew    = metrics.NewHistogram("promptcache_first_event_new_ms", "The same where it was expected to hold none of them.")
	ReadingTimeError = metrics.NewHistogram("promptcache_reading_error_ms", "Difference between the time to the first event at an upstream with little work and the reading time of the tokens that were expected to be unread, at the pool's speed.")
)

// Labels of PromptTokens.
const (
	labelAllTokens    = "all"
	labelSharedTokens = "shared"
	labelHeldTokens   = "held"
)

// mostlyHeld is the share of shared tokens from which a prompt counts as held in the histograms.
const mostlyHeld = 0.9

// CachedParts estimates, over all hosts, which leading parts of prompts the upstreams hold.
type CachedParts interface {
	// Held returns the number of leading tokens of a chain that each run holds. known is false if the
	// other hosts' knowledge could not be had.
	Held(ctx context.Context, chain promptcache.Chain) (held map[promptcache.Run]int, known bool)
	// SentParts records that a prompt was sent to a run. own is the number of prompt tokens after the
	// chain. notRead is the run to which the request was sent before if that one has not read the
	// prompt, else nil. It does not block.
	SentParts(chain promptcache.Chain, own int, run promptcache.Run, notRead *promptcache.Run)
}

// promptParts is what a request knows of its prompt's shared parts and of its current reading.
type promptParts struct {
	chain promptcache.Chain
	own   int // prompt tokens after chain
	held  map[promptcache.Run]int

	reading  *promptcache.Reading // nil if no upstream reads the prompt
	run      promptcache.Run      // of reading
	heldHere int                  // expected tokens of chain that run holds
	begun    time.Time            // start of reading
	idle     bool                 // whether run had little work then
	writes   int                  // writes of events of the answer
	notRead  *promptcache.Run     // the run before, if it has not read the prompt
}

// sharesEnough reports whether the shared parts are worth a query of their owner.
func (e *exchange) sharesEnough() bool { return e.meta.sharedTokens() >= minSharedTokens }

// locateCachedParts estimates which upstreams hold which parts of the prompt. Small shared parts are looked
// up in this host's own knowledge only.
func (e *exchange) locateCachedParts() {
	if e.meta.PromptTokens == 0 {
		return
	}
	shared := make([]promptcache.Part, 0, len(e.meta.Prompt))
	for _, part := range e.meta.Prompt[:max(0, len(e.meta.Prompt)-1)] {
		shared = append(shared, promptcache.Part{Digest: part.Digest, Tokens: part.Tokens})
	}
	p := &e.parts
	p.chain = promptcache.NewChain(shared)
	p.own = max(0, e.meta.PromptTokens-p.chain.Tokens())
	if e.sharesEnough() {
		e.sharedPrompt = sharedDigest(e.meta.Prompt)
		p.held, e.cachedOnKnown = e.f.CachedParts.Held(e.ctx, p.chain)
		return
	}
	p.held = e.f.PromptTracker.Holders(p.chain, time.Now())
}

// heldAt returns the number of leading prompt tokens that an upstream of the request's pool is estimated
// to hold.
func (e *exchange) heldAt(id string) int {
	v := e.f.pool(e.pool).current.Load()
	if v == nil || len(e.parts.held) == 0 {
		return 0
	}
	return e.parts.held[promptcache.Run{ID: id, StartedMS: v.startedMS[id]}]
}

// weighHeld returns the policy for a prompt. It uses the estimates of what upstreams hold if they are
// switched on.
func (e *exchange) weighHeld(policy routing.Prefill) routing.Policy {
	if e.f.CachedParts == nil {
		return policy
	}
	return routing.HeldPrefill{Prefill: policy, Held: e.heldAt, CopySurcharge: routing.DefaultCopySurcharge}
}

// weighHeldByRate is weighHeld for upstreams of different rates.
func (e *exchange) weighHeldByRate(policy routing.ExpectedFinish) routing.Policy {
	if e.f.CachedParts != nil {
		policy.Held, policy.CopySurcharge = e.heldAt, routing.DefaultCopySurcharge
	}
	return policy
}

// reportSent reports that the prompt is sent to an upstream, which reads it from now on.
func (e *exchange) reportSent(t selectedUpstream, now time.Time) {
	if e.f.CachedParts == nil {
		if e.sharedPrompt != 0 {
			e.f.pool(e.pool).memory.Sent(e.sharedPrompt, t.ID, now)
			e.f.Prompts.Sent(e.sharedPrompt, t.ID)
		}
		return
	}
	e.endReading(now)
	if e.meta.PromptTokens == 0 {
		return
	}
	p := &e.parts
	p.run = promptcache.Run{ID: t.ID, StartedMS: t.StartedMS}
	p.heldHere, p.begun, p.idle, p.writes = e.heldAt(t.ID), now, t.live.Backlog() < idleBacklogTokens, 0
	p.reading = e.f.PromptTracker.Begin(p.run, p.chain, p.own, now)
	if e.sharesEnough() {
		e.f.CachedParts.SentParts(p.chain, p.own, p.run, p.notRead)
	}
	e.log(events.PromptPlaced, "upstream", t.ID, "chosen_by", string(t.reason), "held", p.heldHere,
		"shared", p.chain.Tokens(), "prompt_tokens", e.meta.PromptTokens, "holders", len(p.held), "located", e.cachedOnKnown)
}

// endReading records that the request has ended at its current upstream.
func (e *exchange) endReading(now time.Time) {
	p := &e.parts
	if p.reading == nil {
		return
	}
	p.notRead = nil
	if p.writes == 0 {
		failed := p.run
		p.notRead = &failed
	}
	p.reading.End(p.writes, now)
	p.reading = nil
}

// recordRead records that the upstream has sent a part of its answer. The first one shows that it has
// read the prompt. Later ones count as the tokens of the answer.
func (e *exchange) recordRead() {
	p := &e.parts
	if p.reading == nil {
		return
	}
	if p.writes++; p.writes > 1 {
		return
	}
	now := time.Now()
	p.reading.Read(now)
	elapsed, shared := now.Sub(p.begun), p.chain.Tokens()
	PromptTokens.Add(labelAllTokens, int64(e.meta.PromptTokens))
	PromptTokens.Add(labelSharedTokens, int64(shared))
	PromptTokens.Add(labelHeldTokens, int64(p.heldHere))
	switch {
	case shared == 0:
	case float64(p.heldHere) >= mostlyHeld*float64(shared):
		FirstEventHeld.Observe(elapsed)
	case p.heldHere > 0:
		FirstEventPart.Observe(elapsed)
	default:
		FirstEventNew.Observe(elapsed)
	}
	if speed := e.f.pool(e.pool).demand.prefillSpeed(); p.idle && speed > 0 {
		expected := time.Duration(float64(max(0, e.meta.PromptTokens-p.heldHere)) / speed * float64(time.Second))
		ReadingTimeError.Observe(max(elapsed-expected, expected-elapsed))
	}
}

// updatePromptTracker gives the tracker the upstreams' memory, forgets runs that have ended and adds what the other
// hosts have let each pool read since the last call.
func (f *Forwarder) updatePromptTracker(now time.Time) {
	table, list := f.Table(), f.Upstreams()
	if f.CachedParts == nil || table == nil || list == nil {
		return
	}
	last := f.trackedAt.Swap(now.UnixNano())
	elapsed := time.Duration(min(max(now.UnixNano()-last, 0), int64(time.Second)))
	if last == 0 {
		elapsed = 0
	}
	listed := make(map[promptcache.Run]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		listed[promptcache.Run{ID: h.ID, StartedMS: h.StartedMS}] = true
	}
	if ended := f.PromptTracker.Retain(func(r promptcache.Run) bool { return listed[r] }); ended > 0 {
		events.PromptRunsEnded.Log(f.Logger, "runs", ended)
	}
	for _, pool := range table.Pools {
		if pool.Engine == nil {
			continue
		}
		var runs []promptcache.Run
		for _, h := range list.Pool(pool.Name) {
			if h.State == hosts.StateLive {
				run := promptcache.Run{ID: h.ID, StartedMS: h.StartedMS}
				f.PromptTracker.SetCapacity(run, pool.Engine.CacheTokens)
				runs = append(runs, run)
			}
		}
		f.PromptTracker.AddUnseen(runs, float64(f.pool(pool.Name).demand.peerDemand.Load())*elapsed.Seconds())
	}
}
