package forward

import (
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/clock"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

// outcome is the result of one attempt to send a request to an upstream.
type outcome string

// Outcomes of an attempt, also used as labels of the Attempts counter.
const (
	// attemptDone means that the caller received its answer or disconnected.
	attemptDone outcome = "answered"
	// attemptUnsent means that no byte of the request was sent to the upstream.
	attemptUnsent outcome = "unsent"
	// attemptNotRun means that the upstream answered that it did not run the request.
	attemptNotRun outcome = "not_run"
	// attemptFailed means that the upstream may have run the request, but no usable
	// answer arrived.
	attemptFailed outcome = "failed"
)

// Labels of the Repeats counter: the reason for a repeated attempt, or for its
// rejection.
const (
	repeatUnsent       = "unsent"
	repeatClosed       = "closed"
	repeatNotRun       = "not_run"
	repeatFailed       = "failed"
	repeatResumed      = "resumed"
	repeatBudgetEmpty  = "budget_empty"
	repeatStarted      = "recently_started"
	repeatAttemptsUsed = "attempts_used"
	repeatSuspect      = "crash_suspect"
)

const (
	// maxUnsentAttempts limits the attempts of one request that end before a byte is
	// sent. Each may last as long as a dial.
	maxUnsentAttempts = 4
	// maxClosedAttempts limits the attempts of one request that are not sent because the
	// upstream takes no requests.
	maxClosedAttempts = 8
	// maxNotRunAttempts limits the upstreams that may reject one request without
	// running it. After two full upstreams, a third is likely to be full too.
	maxNotRunAttempts = 2
	// fullRetryAfter is the Retry-After time when every upstream is full: about the
	// time until an upstream finishes a running request.
	fullRetryAfter = 400 * time.Millisecond
	// noUpstreamRetryAfter is the Retry-After time when no upstream is available:
	// about the time until a new upstream is listed.
	noUpstreamRetryAfter = time.Second
	// idleBacklogTokens is the largest backlog, in prompt tokens, at which an upstream
	// still processes a prompt at about full speed.
	idleBacklogTokens = 1500
)

// serve sends the request to one upstream after another until the caller has an answer
// or the request is rejected.
func (e *exchange) serve() {
	unsent, refused, closed := 0, 0, 0
	for {
		t, ok := e.choose(time.Now())
		if !ok {
			e.refuse(e.noUpstreamLeft(refused))
			return
		}
		result, err := e.attempt(t, "")
		Attempts.Inc(string(result))
		if result == attemptDone {
			return
		}
		if e.r.Context().Err() != nil {
			e.abandonCaller()
		}
		repeat, reason := false, ""
		switch result {
		case attemptUnsent:
			if errors.Is(err, errClosed) {
				if closed++; closed < maxClosedAttempts && e.ctx.Err() == nil {
					Repeats.Inc(repeatClosed)
					continue // the upstream was not tried
				}
			}
			unsent++
			repeat, reason = unsent < maxUnsentAttempts && e.ctx.Err() == nil, repeatUnsent
		case attemptNotRun:
			refused++
			repeat, reason = refused < maxNotRunAttempts && e.ctx.Err() == nil && e.reserveRetry(), repeatNotRun
		default:
			repeat, reason = e.mayRepeat(err), repeatFailed
		}
		e.log(events.ForwardAttempt, slices.Concat(e.versionField(t), e.head.logFields(), e.budgetFields(), []any{
			"upstream", t.ID, "upstream_started_ms", t.StartedMS, "address", t.Address, "chosen_by", string(t.reason),
			"outcome", string(result), "answer_head", e.head.status != 0, "error", err, "repeat", repeat,
		})...)
		if !repeat {
			e.refuse(e.attemptError(result, err))
			return
		}
		Repeats.Inc(reason)
		e.tried = append(e.tried, t.ID)
	}
}

// mayRepeat reports whether a request that an upstream may have run is sent to another
// upstream, and reserves the repeated attempt.
func (e *exchange) mayRepeat(err error) bool {
	if !e.route.Kind.Repeatable() || e.possibleRuns >= e.route.MaxAttempts || e.ctx.Err() != nil {
		return false
	}
	if isSuspect(err) || e.quarantined() != nil {
		Repeats.Inc(repeatSuspect)
		return false
	}
	return e.reserveRetry()
}

// reserveRetry takes one repeated attempt from the retry budget of the upstream pool
// and returns whether the attempt is allowed. An attempt that was reserved earlier is
// not counted twice.
func (e *exchange) reserveRetry() bool {
	if e.retryReserved {
		e.retryReserved = false
		return true
	}
	d := e.f.repeats.Allow(e.pool, e.f.Hosts(), clock.SinceBoot())
	e.budget = &d
	switch {
	case d.Allowed:
	case d.RecentlyStarted:
		Repeats.Inc(repeatStarted)
	default:
		Repeats.Inc(repeatBudgetEmpty)
	}
	return d.Allowed
}

// budgetFields returns the log fields of the newest decision of the retry budget; none if there was no decision.
func (e *exchange) budgetFields() []any {
	if e.budget == nil {
		return nil
	}
	return []any{"budget_allowed", e.budget.Allowed, "budget_repeats", e.budget.Repeats, "budget_requests", e.budget.Requests,
		"budget_limit", e.budget.Limit, "budget_hosts", e.budget.Hosts, "budget_recently_started", e.budget.RecentlyStarted}
}

// noUpstreamLeft returns the error for the caller when no untried upstream is
// available. refused is the number of upstreams that rejected the request without
// running it.
func (e *exchange) noUpstreamLeft(refused int) *apierr.Error {
	if e.stopping() {
		return e.stopRefusal()
	}
	if e.possibleRuns > 0 {
		return apierr.New(apierr.CodeUpstreamFailed, "the upstreams failed").WithRan(apierr.RanUnknown)
	}
	if wait := e.f.nextOpening(e.pool, time.Now()); wait > 0 {
		return apierr.New(apierr.CodeOverloaded, "no upstream takes requests now").WithRetryAfter(withJitter(wait))
	}
	if refused > 0 {
		return apierr.New(apierr.CodeOverloaded, "every upstream is full").WithRetryAfter(withJitter(fullRetryAfter))
	}
	return apierr.New(apierr.CodeNoUpstream, "no upstream is there").WithRetryAfter(withJitter(noUpstreamRetryAfter))
}

// attemptError returns the error for the caller after a failed attempt that is not
// repeated.
func (e *exchange) attemptError(result outcome, err error) *apierr.Error {
	if refusal := e.quarantined(); refusal != nil && e.withdrawn() {
		return refusal
	}
	deadlinePassed := errors.Is(err, errDeadline)
	switch {
	case e.stopping():
		return e.stopRefusal().WithCause(err)
	case e.possibleRuns > 0 && deadlinePassed:
		return apierr.New(apierr.CodeDeadlineExceeded, "the request's time is over").WithRan(apierr.RanUnknown).WithCause(err)
	case e.possibleRuns > 0:
		return apierr.New(apierr.CodeUpstreamFailed, "the upstream failed").WithRan(apierr.RanUnknown).WithCause(err)
	case e.f.nextOpening(e.pool, time.Now()) > 0:
		return e.noUpstreamLeft(0)
	case result == attemptNotRun:
		return apierr.New(apierr.CodeOverloaded, "the upstreams are full").WithRetryAfter(withJitter(fullRetryAfter)).WithCause(err)
	default:
		return apierr.New(apierr.CodeNoUpstream, "no upstream could be reached").WithRetryAfter(withJitter(fullRetryAfter)).WithCause(err)
	}
}

// newRequest builds the request for an upstream from the caller's request. resumeAfter
// is the id of the last event that the caller received; empty for a request that is
// not resumed.
func (e *exchange) newRequest(t selectedUpstream, resumeAfter string) *http.Request {
	header := make(http.Header, len(e.r.Header)+4)
	copyEndToEndHeaders(header, e.r.Header)
	metadata := UpstreamMetadata{
		Instance: t.ID, Account: e.accountName(), TimeLeft: time.Until(e.deadline), Priority: e.priority(), ResumeAfter: resumeAfter,
	}
	e.f.Codec.Encode(header, metadata)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // an empty value prevents net/http from adding its own User-Agent
	}
	req := &http.Request{
		Method: e.r.Method, Host: e.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Opaque: requestTarget(e.r)},
	}
	if strings.HasPrefix(req.URL.Opaque, "//") { // the Opaque value would be parsed as an authority (host name)
		req.URL = e.r.URL
	}
	if size := e.body.Len(); size > 0 {
		req.Body, req.ContentLength = io.NopCloser(e.body.Reader()), int64(size)
	}
	return req
}

// priority returns the request's rank at a model engine, 0 first; negative for
// requests without prompt tokens.
func (e *exchange) priority() int {
	if e.meta.PromptTokens == 0 {
		return -1
	}
	return e.route.Priority
}

// attempt sends the request to one upstream and relays the upstream's answer to the
// caller.
func (e *exchange) attempt(t selectedUpstream, resumeAfter string) (outcome, error) {
	e.waiting.Store(true)
	if e.quarantined() != nil { // since the request was admitted
		e.cancel(errWithdrawn)
		return attemptUnsent, errWithdrawn
	}
	prefillTokens := t.prefillTokens
	idle := t.live.Backlog() < idleBacklogTokens && t.reason != routing.ReasonAffinity
	sample := e.beginSample(t)
	sent := time.Now()
	e.f.pool(e.pool).demand.add(prefillTokens, sent)
	t.live.Begin()
	t.live.BeginPrefill(prefillTokens)
	prefillEnded := false
	endPrefill := func() {
		if !prefillEnded {
			prefillEnded = true
			t.live.EndPrefill(prefillTokens)
		}
	}
	prefillDone := func() {
		e.recordRead()
		if !prefillEnded {
			e.recordPrefill(prefillTokens, idle, sent, sample)
		}
		endPrefill()
	}
	defer func() {
		endPrefill()
		t.live.End()
		e.endVersion()
	}()
	answer, verdict, err := e.send(t, resumeAfter)
	e.waiting.Store(false)
	if errors.Is(err, errClosed) {
		return attemptUnsent, err
	}
	if err != nil {
		return e.classifyFailure(t, err)
	}
	if verdict.WrongInstance {
		t.live.Fail(time.Now())
	}
	if verdict.NotRun {
		return e.rejected(t, answer)
	}
	e.possibleRuns++
	sample.answered(answer.StatusCode, e.sentAt)
	return e.relay(t, answer, verdict, prefillDone)
}

// recordPrefill records the time since a request was sent, when the upstream has read its prompt or, for a
// request without prompt tokens, has answered. idle is whether the upstream was about idle before.
func (e *exchange) recordPrefill(tokens int, idle bool, sent time.Time, sample *rateSample) {
	if idle {
		e.f.pool(e.pool).demand.recordPrefill(tokens, time.Since(sent))
	}
	sample.end(time.Now())
}

// send sends the request to one upstream and returns the head of the upstream's answer. It is the
// only way by which requests reach upstreams. If the upstream takes no requests any more since it was
// chosen, nothing is sent and the cause of the error is errClosed.
func (e *exchange) send(t selectedUpstream, resumeAfter string) (*connpool.Answer, AnswerMetadata, error) {
	ctx := e.prepareVersion(t)
	e.head = answerHead{}
	open := func() error {
		if !e.f.admits(t) || !e.admitsVersion() {
			return errClosed
		}
		e.sentAt = time.Now()
		e.heardAt = e.sentAt
		if list := e.f.Upstreams(); list != nil {
			e.sentBy = sentList{revision: list.Revision, age: e.f.listAge(list)}
			ListAge.Observe(e.sentBy.age)
		}
		return nil
	}
	answer, err := e.f.conns.Exchange(ctx, connpool.Call{
		Address: t.Address, Request: e.newRequest(t, resumeAfter), ID: e.meta.RequestID, Check: open,
		Matches: func(h http.Header) bool { return e.f.Codec.AnswerMetadata(0, h).RequestID == e.meta.RequestID },
	})
	if err != nil {
		return nil, AnswerMetadata{}, err
	}
	e.sends++
	e.heardAt = time.Now()
	m := e.f.Codec.AnswerMetadata(answer.StatusCode, answer.Header)
	e.noteHead(answer.StatusCode, m)
	e.f.noteAnnouncements(t.Host, m, e.sentAt)
	return answer, m, nil
}

// sentList is the list of upstreams that was in force when an attempt was sent.
type sentList struct {
	revision uint64
	age      time.Duration
}

// classifyFailure returns the outcome of an attempt that ended without an answer, and
// records the failure for the upstream.
func (e *exchange) classifyFailure(t selectedUpstream, err error) (outcome, error) {
	var failed *connpool.Error
	sent := !errors.As(err, &failed) || failed.Stage == connpool.StageSent
	if e.moved() {
		return e.classifyMoved(sent)
	}
	if sent {
		e.recordVersion(true)
	}
	if e.ctx.Err() == nil {
		t.live.Fail(time.Now())
	}
	if e.r.Context().Err() == nil && !e.withdrawn() && !e.stopping() {
		// All hosts share the outcomes of requests, so that hundreds of hosts do not
		// each have to detect an unreachable upstream by failed requests of their own.
		t.live.RecordOutcome(true, time.Now())
	}
	if !sent {
		return attemptUnsent, err
	}
	e.sends++
	e.possibleRuns++
	e.reportLoss(t, false, err)
	return attemptFailed, err
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// copyEndToEndHeaders copies all headers except hop-by-hop headers and those that the
// Connection header names.
func copyEndToEndHeaders(to, from http.Header) {
	var named []string
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) && !slices.Contains(named, name) {
			to[name] = values
		}
	}
}
