package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/routing"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

// outcome says what an attempt came to.
type outcome string

// The outcomes of an attempt; also the labels of Attempts.
const (
	// attemptDone: the caller has its answer, or has left.
	attemptDone outcome = "answered"
	// attemptUnsent: no byte reached the upstream.
	attemptUnsent outcome = "unsent"
	// attemptNotRun: the upstream said that it did not run the request.
	attemptNotRun outcome = "not_run"
	// attemptFailed: the request may have run, and there is no answer.
	attemptFailed outcome = "failed"
)

// Labels of Repeats.
const (
	repeatUnsent  = "unsent"
	repeatNotRun  = "not_run"
	repeatFailed  = "failed"
	repeatResumed = "resumed"
	repeatBudget  = "budget_empty"
	repeatBound   = "attempts_used"
)

const (
	// maxUnsent bounds the upstreams that are tried without reaching one; each
	// may take the time of a dial.
	maxUnsent = 4
	// maxNotRun bounds the upstreams that may refuse one request: a third is
	// likely to be as full as the two before.
	maxNotRun = 2
	// fullRetry is when to come again where every upstream is full: about the
	// time in which a running request of theirs ends.
	fullRetry = 400 * time.Millisecond
	// absentRetry is when to come again where there is no upstream: about the
	// time in which a new one is listed.
	absentRetry = time.Second
	// idleBacklog is the backlog up to which an upstream reads a prompt at about
	// its full speed, in tokens.
	idleBacklog = 1500
)

// serve tries upstreams until the caller has an answer.
func (e *exchange) serve() {
	unsent, refused := 0, 0
	for {
		t, ok := e.choose(time.Now())
		if !ok {
			e.refuse(e.exhausted(refused))
			return
		}
		result, err := e.attempt(t, "")
		Attempts.Inc(string(result))
		if result == attemptDone {
			return
		}
		if e.r.Context().Err() != nil {
			e.gone()
			return
		}
		again, why := false, ""
		switch result {
		case attemptUnsent:
			unsent++
			again, why = unsent < maxUnsent && e.ctx.Err() == nil, repeatUnsent
		case attemptNotRun:
			refused++
			again, why = refused < maxNotRun && e.ctx.Err() == nil && e.allowed(), repeatNotRun
		default:
			again, why = e.route.Kind.Repeatable() && e.runs < e.route.MaxAttempts && e.ctx.Err() == nil && e.allowed(), repeatFailed
		}
		e.log(events.ForwardAttempt, "upstream", t.ID, "address", t.Address, "chosen_by", string(t.reason),
			"outcome", string(result), "error", err, "repeat", again)
		if !again {
			e.refuse(e.failure(result, err))
			return
		}
		Repeats.Inc(why)
		e.tried = append(e.tried, t.ID)
	}
}

// allowed takes a repeated attempt from the pool's budget.
func (e *exchange) allowed() bool {
	if e.granted {
		e.granted = false
		return true
	}
	if e.f.windows.Allow(e.pool, e.f.Hosts(), time.Now()) {
		return true
	}
	Repeats.Inc(repeatBudget)
	return false
}

// exhausted is the refusal where no upstream is left to try.
func (e *exchange) exhausted(refused int) *apierr.Error {
	if e.runs > 0 {
		return apierr.New(apierr.CodeUpstreamFailed, "the upstreams failed").WithRan(apierr.RanUnknown)
	}
	if refused > 0 {
		return apierr.New(apierr.CodeOverloaded, "every upstream is full").WithRetryAfter(spread(fullRetry))
	}
	return apierr.New(apierr.CodeNoUpstream, "no upstream is there").WithRetryAfter(spread(absentRetry))
}

// failure is the refusal after an attempt that is not repeated.
func (e *exchange) failure(result outcome, err error) *apierr.Error {
	late := errors.Is(err, errDeadline)
	switch {
	case e.runs > 0 && late:
		return apierr.New(apierr.CodeDeadlineExceeded, "the request's time is over").WithRan(apierr.RanUnknown).WithCause(err)
	case e.runs > 0:
		return apierr.New(apierr.CodeUpstreamFailed, "the upstream failed").WithRan(apierr.RanUnknown).WithCause(err)
	case result == attemptNotRun:
		return apierr.New(apierr.CodeOverloaded, "the upstreams are full").WithRetryAfter(spread(fullRetry)).WithCause(err)
	default:
		return apierr.New(apierr.CodeNoUpstream, "no upstream could be reached").WithRetryAfter(spread(fullRetry)).WithCause(err)
	}
}

// request builds the request for an upstream.
func (e *exchange) request(t target, resumeAfter string) *http.Request {
	header := make(http.Header, len(e.r.Header)+4)
	copyEndToEnd(header, e.r.Header)
	sending := Sending{
		Instance: t.ID, TimeLeft: time.Until(e.deadline), Priority: e.priority(), ResumeAfter: resumeAfter,
	}
	if e.account != nil {
		sending.Account = e.account.Name
	}
	e.f.Codec.Encode(header, sending)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // an empty one is not sent
	}
	req := &http.Request{
		Method: e.r.Method, Host: e.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Opaque: targetOf(e.r)},
	}
	if strings.HasPrefix(req.URL.Opaque, "//") { // Opaque would be taken for an authority
		req.URL = e.r.URL
	}
	if len(e.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(e.body)), int64(len(e.body))
	}
	return req
}

// priority is the request's rank at a model engine; negative elsewhere.
func (e *exchange) priority() int {
	if e.meta.PromptTokens == 0 {
		return -1
	}
	return e.route.Priority
}

// attempt sends the request to one upstream and passes its answer on.
func (e *exchange) attempt(t target, resumeAfter string) (outcome, error) {
	unread := t.unread
	idle := t.live.Backlog() < idleBacklog && t.reason != routing.ReasonAffinity
	sent := time.Now()
	e.f.pool(e.pool).demand.add(unread, sent)
	t.live.Begin()
	t.live.BeginPrefill(unread)
	read := false
	endPrefill := func() {
		if !read {
			read = true
			t.live.EndPrefill(unread)
		}
	}
	began := func() {
		if !read && idle {
			e.f.pool(e.pool).demand.read(unread, time.Since(sent))
		}
		endPrefill()
	}
	defer func() {
		endPrefill()
		t.live.End()
	}()
	answer, err := e.f.conns.Exchange(e.ctx, t.Address, e.request(t, resumeAfter), func(h http.Header) bool {
		return e.f.Codec.Verdict(0, h).RequestID == e.meta.RequestID
	})
	if err != nil {
		return e.unanswered(t, err)
	}
	e.sends++
	verdict := e.f.Codec.Verdict(answer.StatusCode, answer.Header)
	if verdict.NotRun || verdict.Moved {
		if verdict.Moved {
			t.live.Fail(time.Now())
		}
		answer.Close(drainBody(answer))
		return attemptNotRun, &StatusError{Upstream: t.ID, Status: answer.StatusCode}
	}
	e.runs++
	return e.relay(t, answer, verdict, began)
}

// unanswered classifies an exchange without an answer.
func (e *exchange) unanswered(t target, err error) (outcome, error) {
	var failed *connpool.Error
	if e.ctx.Err() == nil {
		t.live.Fail(time.Now())
	}
	if e.r.Context().Err() == nil {
		// Shared with all hosts: each of hundreds meets a dark upstream anew.
		t.live.Outcome(true, time.Now())
	}
	if errors.As(err, &failed) && failed.Stage != connpool.StageSent {
		return attemptUnsent, err
	}
	e.sends++
	e.runs++
	return attemptFailed, err
}

// StatusError is an answer that is not passed on.
type StatusError struct {
	Upstream string
	Status   int
	// Unsealed says that a success lacked the upstream's mark.
	Unsealed bool
}

// Error implements error.
func (e *StatusError) Error() string {
	msg := "upstream " + e.Upstream + " answered " + http.StatusText(e.Status)
	if e.Unsealed {
		msg += " without its mark"
	}
	return msg
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// copyEndToEnd copies the headers that do not concern one connection only.
func copyEndToEnd(to, from http.Header) {
	var named []string
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(named, name) {
			to[name] = values
		}
	}
}
