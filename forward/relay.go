package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

const (
	// wholeBytes is the size up to which a plain answer is read whole before it
	// is passed on, so that one that breaks off can still be replaced.
	wholeBytes = 32 << 10
	// refusalBytes bounds the body of an upstream's refusal that is read to
	// keep the connection.
	refusalBytes = 16 << 10
	// writeSlack is how long after its deadline an answer may still be written
	// to a caller that reads slowly.
	writeSlack = 200 * time.Millisecond
	// streamBuffer is the size of one read of a stream, in bytes.
	streamBuffer = 8 << 10
)

// drainBody reads a short body to its end and says whether it ended.
func drainBody(a *connpool.Answer) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, refusalBytes))
	return err == nil && n < refusalBytes
}

// relay passes an answer of a request that ran on to the caller.
func (e *exchange) relay(t target, a *connpool.Answer, v Verdict, read func()) (outcome, error) {
	success := a.StatusCode < http.StatusMultipleChoices
	if success && !v.Sealed || a.Header.Get("Content-Encoding") != "" {
		a.Close(false)
		return attemptFailed, &StatusError{Upstream: t.ID, Status: a.StatusCode, Unsealed: true}
	}
	if success && e.route.Kind.Streaming() {
		return e.relayStream(t, a, read)
	}
	return e.relayWhole(t, a, read)
}

// relayWhole passes on a plain answer.
func (e *exchange) relayWhole(t target, a *connpool.Answer, read func()) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes))
	if err != nil {
		a.Close(false)
		return attemptFailed, e.cause(err)
	}
	read()
	e.started()
	long := len(body) == wholeBytes
	failed := a.StatusCode >= http.StatusInternalServerError
	t.live.Outcome(failed, time.Now())
	if failed && !long && e.repeatFailure() {
		a.Close(true)
		return attemptFailed, &StatusError{Upstream: t.ID, Status: a.StatusCode}
	}
	// A status that promises that the request did not run would be false here.
	if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests {
		a.Close(!long)
		return attemptFailed, &StatusError{Upstream: t.ID, Status: a.StatusCode}
	}
	if !failed {
		t.live.Succeed()
	}
	e.head(a)
	if !long && e.r.Method != http.MethodHead {
		e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	e.w.WriteHeader(a.StatusCode)
	e.answered = true
	e.first()
	if _, err := e.w.Write(body); err != nil {
		a.Close(!long)
		e.gone()
		return attemptDone, nil
	}
	if long {
		if _, err := io.Copy(e.w, a.Body); err != nil {
			a.Close(false)
			e.breakOff(t, err)
		}
	}
	a.Close(true)
	e.finish(t, a.StatusCode)
	return attemptDone, nil
}

// repeatFailure says whether an upstream's own failure is worth another try.
func (e *exchange) repeatFailure() bool {
	e.granted = e.route.Kind.Repeatable() && e.runs < e.route.MaxAttempts && e.ctx.Err() == nil && e.allowed()
	return e.granted
}

// relayStream passes on events as they arrive.
func (e *exchange) relayStream(t target, a *connpool.Answer, read func()) (outcome, error) {
	pass := &eventPasser{e: e, dedupe: e.route.Kind.Repeatable()}
	first := func() {
		read()
		e.started()
		if e.answered {
			return
		}
		e.answered = true
		e.head(a)
		e.w.WriteHeader(a.StatusCode)
		e.first()
	}
	status := a.StatusCode
	for {
		err := pass.copy(a.Body, first)
		a.Close(err == nil)
		if err == nil {
			t.live.Outcome(false, time.Now())
			first() // a stream without events
			t.live.Succeed()
			e.finish(t, status)
			return attemptDone, nil
		}
		if e.r.Context().Err() != nil || pass.callerFailed {
			e.gone()
			return attemptDone, nil
		}
		if e.ctx.Err() == nil {
			t.live.Outcome(true, time.Now())
			t.live.Fail(time.Now())
		}
		if !e.answered {
			return attemptFailed, e.cause(err)
		}
		next, answer, ok := e.resume(t, pass, err)
		if !ok {
			e.breakOff(t, e.cause(err))
		}
		t, a = next, answer
	}
}

// resume continues a stream at another upstream after the last event passed on.
func (e *exchange) resume(from target, pass *eventPasser, cause error) (target, *connpool.Answer, bool) {
	e.tried = append(e.tried, from.ID)
	for tries := 0; tries < maxUnsent && e.ctx.Err() == nil; tries++ {
		if !e.route.Kind.Repeatable() || e.runs >= e.route.MaxAttempts {
			Repeats.Inc(repeatBound)
			return target{}, nil, false
		}
		t, ok := e.choose(time.Now())
		if !ok || !e.allowed() {
			return target{}, nil, false
		}
		after := ""
		if pass.lastID > 0 {
			after = strconv.FormatInt(pass.lastID, 10)
		}
		answer, err := e.f.conns.Exchange(e.ctx, t.Address, e.request(t, after), func(h http.Header) bool {
			return e.f.Codec.Verdict(0, h).RequestID == e.meta.RequestID
		})
		if err != nil {
			_, err = e.unanswered(t, err)
			e.log(events.ForwardAttempt, "upstream", t.ID, "outcome", "resume_failed", "error", err)
			e.tried = append(e.tried, t.ID)
			continue
		}
		e.sends++
		v := e.f.Codec.Verdict(answer.StatusCode, answer.Header)
		if answer.StatusCode != http.StatusOK || !v.Sealed {
			answer.Close(false)
			if !v.NotRun && !v.Moved {
				e.runs++
			}
			e.tried = append(e.tried, t.ID)
			continue
		}
		e.runs++
		Repeats.Inc(repeatResumed)
		e.log(events.ForwardResumed, "from", from.ID, "to", t.ID, "after_event", pass.lastID, "error", cause)
		return t, answer, true
	}
	return target{}, nil, false
}

// head sets the headers of the answer.
func (e *exchange) head(a *connpool.Answer) {
	header := e.w.Header()
	copyEndToEnd(header, a.Header)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // net/http would add one of its own
		}
	}
	if e.f.draining.Load() != nil {
		header.Set("Connection", "close")
	}
}

// started notes that an upstream began to run the request.
func (e *exchange) started() {
	if e.counted || e.account == nil {
		return
	}
	e.counted = true
	e.f.Started(e.account.Name)
}

// first notes that the answer begins.
func (e *exchange) first() {
	e.firstAt = time.Now()
	FirstByte.Observe(e.firstAt.Sub(e.arrived))
}

// finish notes that the answer was passed on whole.
func (e *exchange) finish(t target, status int) {
	Requests.Inc(outcomeServed)
	Whole.Observe(time.Since(e.arrived))
	e.log(events.ForwardFinished, "upstream", t.ID, "domain", t.FailureDomain, "chosen_by", string(t.reason),
		"unread", t.unread, "prompt_tokens", e.meta.PromptTokens, "readers", len(e.readers), "located", e.located,
		"status", status, "sends", e.sends, "first_ms", e.firstAt.Sub(e.arrived).Milliseconds(), "pause_ms", e.pause.Milliseconds())
}

// breakOff ends an answer of which a part was passed on, so that it does not
// look complete.
func (e *exchange) breakOff(t target, err error) {
	Requests.Inc(outcomeBroken)
	e.log(events.ForwardBroken, "upstream", t.ID, "error", err)
	panic(http.ErrAbortHandler)
}

// cause returns why the context ended where that is what an error came from.
func (e *exchange) cause(err error) error {
	if cause := context.Cause(e.ctx); cause != nil {
		return cause
	}
	return err
}
