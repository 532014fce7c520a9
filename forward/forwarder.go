package forward

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/membudget"
	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/promptcache"
	"github.com/cardamompier/cardamompier/quarantine"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routes"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream/condition"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

// Counters and histograms of the forwarder.
var (
	Requests      = metrics.New("forward_requests_total", "Callers' requests, by outcome.")
	Refusals      = metrics.New("forward_refusals_total", "Requests that this host rejected, by error code.")
	Attempts      = metrics.New("forward_attempts_total", "Attempts to send a request to an upstream, by outcome.")
	Repeats       = metrics.New("forward_repeats_total", "Repeated attempts, by reason, and repeats rejected by the retry budget or the attempt limit.")
	Withdrawals   = metrics.New("forward_withdrawals_total", "Requests withdrawn from upstreams because their content was quarantined while they waited, by upstream pool.")
	FirstByteTime = metrics.NewHistogram("forward_first_byte_ms", "Time from a request's arrival to the first byte of its answer.")
	ListAge       = metrics.NewHistogram("forward_list_age_ms", "Age of the list of upstreams in force when a request is sent to one of them.")
	AnswerTime    = metrics.NewHistogram("forward_whole_ms", "Time from a request's arrival to the end of its answer.")
)

// Config contains the settings and dependencies of a Forwarder. All are required except ListConfirmed, Balance,
// CachedParts, PromptTracker and Versions.
type Config struct {
	// Domain is this host's failure domain.
	Domain string
	Codec  Codec
	// Table returns the current route table; nil while none is known.
	Table func() *routes.Table
	// Upstreams returns the newest list of upstreams; nil while none is known.
	Upstreams func() *hosts.Snapshot
	// ListConfirmed returns when the list of upstreams was last confirmed to be current. If it is nil, the
	// list counts as confirmed when it was read.
	ListConfirmed func() time.Time
	// Limits enforces the rate limits of client accounts.
	Limits Limits
	// Prompts finds the upstreams that have already processed a prompt that several
	// requests share.
	Prompts Prompts
	// CachedParts estimates which prompt parts the upstreams hold, and PromptTracker is its tracker of
	// this host's requests. If CachedParts is nil, whole shared prompts are tracked by Prompts.
	CachedParts   CachedParts
	PromptTracker *promptcache.Tracker
	// Hosts returns the number of entry hosts (hosts that accept callers' requests)
	// that share Retries; zero if this host has no part of its slack.
	Hosts func() int
	// OnStarted is called once for each request of a client account that an upstream
	// began to run.
	OnStarted func(account string)
	// LimitSlack is how far a client account may exceed its limit, in tokens.
	LimitSlack float64
	Retries    retry.Bound
	// Started is when the process started, by clock.SinceBoot. Repeats that processes before it have sent still count
	// against Retries. Zero means that there was none.
	Started time.Duration
	// DemandWindow is the time over which the demand for upstreams is averaged; the average then counts
	// in full as soon as a load begins. Zero means 4 s, with an average that grows from zero.
	DemandWindow time.Duration
	// Permits paces the requests of all hosts to upstreams that name a limit.
	Permits Permits
	// Crashes decides which content is refused because it crashes upstreams.
	Crashes *quarantine.Tracker
	// Balance switches on how uneven upstreams are handled. The zero value switches all of it off.
	Balance Balance
	// Versions restricts which upstreams get requests during roll-outs; nil means that there are none.
	Versions Versions
	Logger   hclog.Logger
}

// Limits enforces the rate limits of client accounts across all hosts that accept
// callers' requests.
type Limits interface {
	// Take charges cost to an account's limit. If the limit is used up, ok is false
	// and wait is the time until the request may be retried. by names the host that
	// decided.
	Take(ctx context.Context, account string, limit admission.AccountLimit, cost float64) (wait time.Duration, by string, ok bool)
	// Refund returns the cost of a request that did not run to the account's limit.
	Refund(account string, cost float64)
}

// Permits paces the requests that all hosts together send to an upstream that names a limit.
type Permits interface {
	// Permit asks for a permit to send one request to an upstream that takes rate requests per second
	// from all hosts together. If it is refused, retryAfter is the time after which to ask again.
	Permit(ctx context.Context, upstream string, rate float64) (retryAfter time.Duration, ok bool)
}

// Prompts records which upstreams have processed a prompt that several requests share.
// A prompt is identified by its digest.
type Prompts interface {
	// Upstreams returns the ids of the upstreams that have processed the prompt, the
	// most recent first. known is false if they could not be determined.
	Upstreams(ctx context.Context, prompt uint64) (ids []string, known bool)
	// Sent records that a prompt was sent to an upstream. It does not block.
	Sent(prompt uint64, upstream string)
}

// Forwarder is an http.Handler that forwards requests to upstreams. Use New to create
// one.
type Forwarder struct {
	Config
	conns      connpool.Pool
	repeats    *retry.RepeatLimiter
	pools      sync.Map // pool name (string) to *poolState
	draining   atomic.Pointer[drainPeriod]
	active     atomic.Int64
	endChecks  endChecks
	conditions condition.Table
	loadAge    routing.LoadAge
	trackedAt  atomic.Int64 // last call of updatePromptTracker, in Unix nanoseconds
	shortage   shortage
	exchanges  sync.Map // *exchange to nil: the requests that were read and have not ended
}

// New returns a Forwarder. The caller must start Run, which closes idle connections to
// upstreams.
func New(parts Config) *Forwarder {
	return &Forwarder{Config: parts, repeats: retry.NewRepeatLimiter(parts.Retries, parts.Started)}
}

// listAge returns the time since the list of upstreams was last confirmed to be current.
func (f *Forwarder) listAge(list *hosts.Snapshot) time.Duration {
	if f.ListConfirmed == nil {
		return list.Age()
	}
	return time.Since(f.ListConfirmed())
}

// idleCheckInterval is the interval between two searches for idle connections to
// close.
const idleCheckInterval = 500 * time.Millisecond

// Run closes idle connections to upstreams that are no longer live, and connections
// that were idle for too long, and forgets conditions that have ended, until ctx ends. Then
// it closes all idle connections.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	defer f.conns.Close()
	for {
		select {
		case now := <-ticker.C:
			f.conditions.RemoveExpired(now)
		case <-ctx.Done():
			return
		}
		if list := f.Upstreams(); list != nil {
			inUse := make(map[string]bool, len(list.Hosts))
			for _, h := range list.Hosts {
				inUse[h.Address] = h.State == hosts.StateLive
			}
			f.conns.CloseUnused(func(address string) bool { return inUse[address] })
		}
	}
}

// drainPeriod holds the times that decide which requests a stopping host still
// accepts.
type drainPeriod struct{ acceptUntil, stopAt, answerBy time.Time }

// Drain prepares this host for its stop: every later answer asks its caller to close
// the connection. Requests that arrive until acceptUntil are accepted. Later requests
// are accepted only if their deadline is not after stopAt, when the host stops. Requests
// without an answer are ended at answerBy: a caller whose connection is closed without an
// answer cannot know whether its request ran.
func (f *Forwarder) Drain(acceptUntil, stopAt, answerBy time.Time) {
	f.draining.Store(&drainPeriod{acceptUntil: acceptUntil, stopAt: stopAt, answerBy: answerBy})
	time.AfterFunc(time.Until(answerBy), f.endRequests)
}

// endRequests ends all requests in progress whose answer has not begun, because this host stops.
func (f *Forwarder) endRequests() {
	ended := 0
	f.exchanges.Range(func(key, _ any) bool {
		if e := key.(*exchange); !e.answerBegun.Load() {
			e.cancel(errStopping)
			ended++
		}
		return true
	})
	if ended > 0 {
		events.ForwardEnded.Log(f.Logger, "requests", ended)
	}
}

// stoppingError is the cause of the context of a request that ended because this host stops.
type stoppingError struct{}

// Error implements error.
func (stoppingError) Error() string { return "this host stops" }

var errStopping = stoppingError{}

// stopping reports whether the request was ended because this host stops.
func (e *exchange) stopping() bool { return errors.Is(context.Cause(e.ctx), errStopping) }

// stopRefusal returns the error for the caller of a request that this host does not serve, or no
// longer, because it stops.
func (e *exchange) stopRefusal() *apierr.Error {
	if e.possibleRuns > 0 {
		return apierr.New(apierr.CodeDraining, "this host stops before the upstream has answered").WithRan(apierr.RanUnknown)
	}
	return apierr.New(apierr.CodeDraining, "this host is stopping").WithRetryAfter(drainRetryAfter)
}

// rejectsWhileDraining returns whether a request is rejected because this host may
// stop before the request's deadline.
func (f *Forwarder) rejectsWhileDraining(arrived, deadline time.Time) bool {
	d := f.draining.Load()
	return d != nil && arrived.After(d.acceptUntil) && deadline.After(d.stopAt)
}

// pastDrain returns whether endRequests has run or is due.
func (f *Forwarder) pastDrain(now time.Time) bool {
	d := f.draining.Load()
	return d != nil && !now.Before(d.answerBy)
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// Ready returns whether a route table and a list of upstreams are known, so that
// requests can be served.
func (f *Forwarder) Ready() bool { return f.Table() != nil && f.Upstreams() != nil }

// Panics counts the requests that panicked, by route.
var Panics = metrics.New("forward_panics_total", "Requests whose handling panicked, a fault of this program, by route.")

// reportPanic logs a panic while the request was handled. The panic goes on as one that
// closes the caller's connection.
func (e *exchange) reportPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		route := ""
		if e.route != nil {
			route = e.route.Name
		}
		Panics.Inc(route)
		events.ForwardPanicked.Log(e.f.Logger, "id", e.meta.RequestID, "route", route, "cause", cause, "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// runBytes is the memory of a request that runs, without its body and its answer: the upstream's connection with its
// buffer of 8 KiB, two goroutines and the headers. docs/CAPACITY.md says how it was measured.
const runBytes = 24 << 10

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	e := &exchange{f: f, w: w, r: r, arrived: time.Now(), holder: membudget.FromContext(r.Context())}
	defer e.reportPanic()
	if refused := e.identify(); refused != nil {
		e.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), e.deadline, errDeadline)
	defer cancel()
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	defer e.cancel(nil)
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(e.deadline.Add(writeGrace)); err == nil {
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	if refused := e.readBody(); refused != nil {
		e.refuse(refused)
		return
	}
	if err := e.holder.Grow(runBytes); err != nil {
		e.refuse(e.bodyError(err))
		return
	}
	e.keys = e.contentKeys()
	// The request is registered before the check, so that no quarantine that begins
	// meanwhile is missed.
	f.exchanges.Store(e, nil)
	defer f.exchanges.Delete(e)
	if f.pastDrain(time.Now()) { // endRequests may not see this request
		e.refuse(e.stopRefusal())
		return
	}
	if refused := e.quarantined(); refused != nil {
		e.refuse(refused)
		return
	}
	if refused := e.admit(); refused != nil {
		e.refuse(refused)
		return
	}
	if refused := e.refuseHopeless(time.Now()); refused != nil {
		e.refuse(refused)
		return
	}
	e.locateCachedPrompt()
	defer func() { e.endReading(time.Now()) }()
	e.serve()
}
