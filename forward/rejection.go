package forward

import (
	"net/http"
	"strconv"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/upstream/connpool"
)

// UnmarkedRejections counts answers whose status tells callers that the request did not run, although the answer
// does not state it.
var UnmarkedRejections = metrics.New("forward_unmarked_rejections_total",
	"Answers of upstreams with a status that tells callers that the request did not run, without the header that states it, by status.")

// statesNotRun reports whether a status tells callers that their request did not run and never will.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// answerHead is the part of the head of an upstream's answer that decides whether the request may have run. The
// status is zero if no answer was received.
type answerHead struct {
	status         int
	notRun, sealed bool
}

// noteHead records the head of the current attempt's answer.
func (e *exchange) noteHead(status int, m AnswerMetadata) {
	e.head = answerHead{status: status, notRun: m.NotRun, sealed: m.Sealed}
	if statesNotRun(status) && !m.NotRun {
		UnmarkedRejections.Inc(strconv.Itoa(status))
	}
}

// logFields returns the log fields of the head; none if no answer was received.
func (h answerHead) logFields() []any {
	if h.status == 0 {
		return nil
	}
	return []any{"answer_status", h.status, "answer_not_run", h.notRun, "answer_sealed", h.sealed}
}

// rejected handles the answer of an upstream that did not run the request.
func (e *exchange) rejected(t selectedUpstream, answer *connpool.Answer) (outcome, error) {
	answer.CloseRejected(e.meta.RequestID, drainBody(answer))
	return attemptNotRun, &StatusError{Upstream: t.ID, Status: answer.StatusCode}
}

// StatusError reports an upstream's answer that is not relayed to the caller.
type StatusError struct {
	Upstream string
	Status   int
	// Unsealed is true if a successful answer lacked the header that marks it as a
	// complete answer of the upstream.
	Unsealed bool
}

// Error implements error.
func (e *StatusError) Error() string {
	msg := "upstream " + e.Upstream + " answered " + http.StatusText(e.Status)
	if e.Unsealed {
		msg += " without the header that marks its answers"
	}
	return msg
}
