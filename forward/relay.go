package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/membudget"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

const (
	// maxBufferedAnswer is the size in bytes up to which a non-streaming answer is
	// read whole before it is relayed, so that the request can still be repeated if
	// the answer breaks off.
	maxBufferedAnswer = 32 << 10
	// maxRefusalBody limits the bytes that are read from the body of an upstream's
	// rejection. The connection is reused only if the body ends within this limit.
	maxRefusalBody = 16 << 10
	// writeGrace is the time after a request's deadline during which its answer may
	// still be written to a caller that reads slowly.
	writeGrace = 200 * time.Millisecond
	// streamReadSize is the initial size of the buffer for reading a stream, in bytes.
	streamReadSize = 8 << 10
)

// drainBody reads and discards the body of an answer. It returns whether the body was
// shorter than maxRefusalBody bytes and ended without an error.
func drainBody(a *connpool.Answer) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxRefusalBody))
	return err == nil && n < maxRefusalBody
}

// relay passes the answer of an upstream that ran the request on to the caller. It
// calls prefillDone when the upstream has processed the prompt.
func (e *exchange) relay(t selectedUpstream, a *connpool.Answer, v AnswerMetadata, prefillDone func()) (outcome, error) {
	success := a.StatusCode < http.StatusMultipleChoices
	if success && !v.Sealed || a.Header.Get("Content-Encoding") != "" {
		e.closeBroken(a)
		return attemptFailed, &StatusError{Upstream: t.ID, Status: a.StatusCode, Unsealed: true}
	}
	if success && e.route.Kind.Streaming() {
		return e.relayStream(t, a, prefillDone)
	}
	return e.relayWhole(t, a, v, prefillDone)
}

// relayWhole relays an answer that is not an event stream.
func (e *exchange) relayWhole(t selectedUpstream, a *connpool.Answer, v AnswerMetadata, prefillDone func()) (outcome, error) {
	body, err := membudget.ReadAnswer(io.LimitReader(a.Body, maxBufferedAnswer), min(a.ContentLength, maxBufferedAnswer), e.chargeAnswer)
	if err != nil {
		e.closeBroken(a)
		return attemptFailed, e.lossError(t, err)
	}
	prefillDone()
	e.reportStarted()
	size := body.Len()
	exceedsBuffer := size == maxBufferedAnswer
	failed := a.StatusCode >= http.StatusInternalServerError
	if v.RetryAfter == 0 { // a pause is no failure
		e.recordWhole(t, a, failed, size)
	}
	if failed && !exceedsBuffer && e.reserveServerErrorRetry() {
		a.Close(true)
		return attemptFailed, &StatusError{Upstream: t.ID, Status: a.StatusCode}
	}
	// The upstream may have run the request, so the answer must not have a status that
	// tells the caller that it did not run.
	if statesNotRun(a.StatusCode) {
		a.Close(!exceedsBuffer)
		return attemptFailed, &StatusError{Upstream: t.ID, Status: a.StatusCode}
	}
	if !failed {
		t.live.Succeed()
	}
	if !exceedsBuffer {
		e.reportAnswered()
	}
	e.copyAnswerHeaders(a)
	if !exceedsBuffer && e.r.Method != http.MethodHead {
		e.w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	e.w.WriteHeader(a.StatusCode)
	e.answerBegun.Store(true)
	e.recordFirstByte()
	if _, err := body.WriteTo(e.w); err != nil {
		a.Close(!exceedsBuffer)
		e.abandonCaller()
	}
	if exceedsBuffer {
		e.copyRest(t, a)
	}
	a.Close(true)
	e.recordFinished(t, a.StatusCode)
	return attemptDone, nil
}

// copyRest relays the rest of an answer that exceeds maxBufferedAnswer. It panics if the answer breaks off.
func (e *exchange) copyRest(t selectedUpstream, a *connpool.Answer) {
	_ = e.chargeAnswer(copyBufferBytes)
	if _, err := io.Copy(e.w, a.Body); err != nil {
		e.closeBroken(a)
		e.reportBroken(t)
		e.abortAnswer(t, err)
	}
	e.reportAnswered()
}

// copyBufferBytes is the size of the buffer with which net/http copies an answer.
const copyBufferBytes = 32 << 10

// chargeAnswer charges memory for an answer. The request has run, so that it is answered also when the memory for
// callers is used up.
func (e *exchange) chargeAnswer(n int64) error {
	e.holder.Force(n)
	return nil
}

// reserveServerErrorRetry returns whether a request that an upstream answered with a
// server error (5xx) may be repeated, and reserves the repeated attempt.
func (e *exchange) reserveServerErrorRetry() bool {
	e.retryReserved = e.mayRepeat(nil)
	return e.retryReserved
}

// relayStream relays an event stream as the events arrive.
func (e *exchange) relayStream(t selectedUpstream, a *connpool.Answer, prefillDone func()) (outcome, error) {
	stream := &eventRelay{e: e, dedupe: e.route.Kind.Repeatable()}
	beginAnswer := func() {
		prefillDone()
		e.recordStreamBegun()
		e.reportStarted()
		if e.answerBegun.Load() {
			return
		}
		e.answerBegun.Store(true)
		e.copyAnswerHeaders(a)
		e.w.WriteHeader(a.StatusCode)
		e.recordFirstByte()
	}
	status := a.StatusCode
	for {
		err := stream.copy(a.Body, beginAnswer)
		if err == nil && !a.Framed() && stream.received == 0 {
			err = emptyStreamError{}
		}
		a.Close(err == nil)
		if err == nil {
			t.live.RecordOutcome(false, time.Now())
			e.recordStreamEnd(stream.received)
			beginAnswer() // begins the answer even if the stream has no events
			t.live.Succeed()
			if a.Framed() {
				e.reportAnswered()
			}
			e.recordFinished(t, status)
			return attemptDone, nil
		}
		if e.r.Context().Err() != nil || stream.callerWriteFailed {
			if !stream.callerWriteFailed {
				e.reportBroken(t)
			}
			e.abandonCaller()
		}
		if moved := e.noteStreamEnd(t); !e.answerBegun.Load() {
			if moved {
				return attemptFailed, errMoved
			}
			return attemptFailed, e.lossError(t, err)
		} else if !moved {
			e.reportBroken(t)
		}
		next, answer, ok := e.resume(t, stream, err)
		if !ok {
			e.abortAnswer(t, e.contextCause(err))
		}
		t, a = next, answer
	}
}

// resume continues a broken stream at another upstream, from the last event that the
// caller received. It returns false if no upstream resumes the stream.
func (e *exchange) resume(from selectedUpstream, stream *eventRelay, cause error) (selectedUpstream, *connpool.Answer, bool) {
	e.tried = append(e.tried, from.ID)
	for tries := 0; tries < maxUnsentAttempts && e.ctx.Err() == nil; tries++ {
		if !e.route.Kind.Repeatable() || e.possibleRuns >= e.route.MaxAttempts {
			Repeats.Inc(repeatAttemptsUsed)
			return selectedUpstream{}, nil, false
		}
		if e.quarantined() != nil {
			Repeats.Inc(repeatSuspect)
			return selectedUpstream{}, nil, false
		}
		t, ok := e.choose(time.Now())
		if !ok || !e.reserveRetry() {
			return selectedUpstream{}, nil, false
		}
		after := ""
		if stream.lastID > 0 {
			after = strconv.FormatInt(stream.lastID, 10)
		}
		answer, v, err := e.send(t, after)
		if errors.Is(err, errClosed) {
			e.retryReserved = true
			continue
		}
		if err != nil {
			_, err = e.classifyFailure(t, err)
			e.log(events.ForwardAttempt, append(e.versionField(t), "upstream", t.ID, "outcome", "resume_failed", "error", err)...)
			e.tried = append(e.tried, t.ID)
			continue
		}
		if answer.StatusCode != http.StatusOK || !v.Sealed {
			answer.Close(false)
			if !v.NotRun {
				e.recordVersion(true)
				e.possibleRuns++
			}
			e.log(events.ForwardAttempt, slices.Concat(e.versionField(t), e.head.logFields(), []any{"upstream", t.ID, "outcome", "resume_failed"})...)
			e.tried = append(e.tried, t.ID)
			continue
		}
		e.possibleRuns++
		Repeats.Inc(repeatResumed)
		e.log(events.ForwardResumed, "from", from.ID, "to", t.ID, "after_event", stream.lastID, "error", cause)
		return t, answer, true
	}
	return selectedUpstream{}, nil, false
}

// copyAnswerHeaders copies the headers of an upstream's answer to the answer for the
// caller.
func (e *exchange) copyAnswerHeaders(a *connpool.Answer) {
	header := e.w.Header()
	copyEndToEndHeaders(header, a.Header)
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // a nil value prevents net/http from adding the header
		}
	}
	if e.f.draining.Load() != nil {
		header.Set("Connection", "close")
	}
}

// reportStarted reports, once per request, that an upstream began to run a request of
// a client account.
func (e *exchange) reportStarted() {
	if e.startReported || e.account == nil {
		return
	}
	e.startReported = true
	e.f.OnStarted(e.account.Name)
}

// recordFirstByte records the time at which the answer to the caller begins.
func (e *exchange) recordFirstByte() {
	e.firstByteAt = time.Now()
	FirstByteTime.Observe(e.firstByteAt.Sub(e.arrived))
}

// recordFinished records that the complete answer was relayed to the caller.
func (e *exchange) recordFinished(t selectedUpstream, status int) {
	Requests.Inc(outcomeServed)
	AnswerTime.Observe(time.Since(e.arrived))
	e.log(events.ForwardFinished, append(e.versionField(t), "upstream", t.ID, "domain", t.FailureDomain, "chosen_by", string(t.reason),
		"unread", t.prefillTokens, "prompt_tokens", e.meta.PromptTokens, "readers", len(e.cachedOn), "located", e.cachedOnKnown,
		"status", status, "sends", e.sends, "first_ms", e.firstByteAt.Sub(e.arrived).Milliseconds(), "pause_ms", e.maxEventGap.Milliseconds())...)
}

// abortAnswer closes the caller's connection after a part of the answer was relayed,
// so that the answer does not look complete.
func (e *exchange) abortAnswer(t selectedUpstream, err error) {
	Requests.Inc(outcomeBrokenOff)
	e.log(events.ForwardBroken, "upstream", t.ID, "upstream_started_ms", t.StartedMS, "error", err)
	panic(http.ErrAbortHandler)
}

// lossError returns the error of an attempt that failed after the head of the answer and
// before a whole event or answer. It is a *suspectError if the request may have crashed the
// upstream.
func (e *exchange) lossError(t selectedUpstream, err error) error {
	if e.reportLoss(t, true, err) {
		return &suspectError{cause: err}
	}
	return e.contextCause(err)
}

// contextCause returns the error that ended the request's context, or err if the
// context has not ended.
func (e *exchange) contextCause(err error) error {
	if cause := context.Cause(e.ctx); cause != nil {
		return cause
	}
	return err
}
