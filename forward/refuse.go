package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
)

// Labels of the Requests counter: the outcome of a caller's request.
const (
	outcomeServed     = "served"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeBrokenOff  = "broken_off"
	outcomeCallerGone = "caller_gone"
)

// errorBody is the JSON body of an answer that rejects a request.
type errorBody struct {
	Code   apierr.Code `json:"code"`
	Ran    apierr.Ran  `json:"ran"`
	Detail string      `json:"detail"`
}

// refuse answers the request with an error from this host and refunds the request's
// cost if no upstream ran it.
func (e *exchange) refuse(refused *apierr.Error) {
	if e.r.Context().Err() != nil && !e.holder.WasShed() { // net/http ends the context also when a body is interrupted
		e.abandonCaller()
	}
	Refusals.Inc(string(refused.Code))
	ran := refused.Ran
	if ran == "" {
		ran = apierr.NotRun
	}
	if ran == apierr.NotRun {
		e.refund()
		Requests.Inc(outcomeRefused)
	} else {
		Requests.Inc(outcomeFailed)
	}
	e.log(events.ForwardRefused, append(e.head.logFields(), "code", string(refused.Code), "ran", string(ran), "detail", refused.Detail,
		"retry_after_ms", refused.RetryAfter.Milliseconds(), "cause", refused.Cause, "sends", e.sends, "possible_runs", e.possibleRuns)...)
	header := e.w.Header()
	if refused.RetryAfter > 0 {
		e.f.Codec.SetRetryAfter(header, refused.RetryAfter)
	}
	if e.f.draining.Load() != nil || refused.Code == apierr.CodeRequestTooLarge || e.bodyUnread {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	e.w.WriteHeader(statusOf(refused))
	if err := json.NewEncoder(e.w).Encode(errorBody{Code: refused.Code, Ran: ran, Detail: refused.Detail}); err != nil {
		Requests.Inc(outcomeCallerGone)
	}
}

// statusOf returns the HTTP status of an error. A request that an upstream may have
// run gets 502 or 504, never a status that tells the caller that the request did not
// run.
func statusOf(refused *apierr.Error) int {
	status := refused.Status()
	if refused.Code == apierr.CodeQuarantined {
		status = http.StatusServiceUnavailable // the quarantine ends, so the caller may try again later
	}
	if refused.Ran != apierr.RanUnknown {
		return status
	}
	if status == http.StatusGatewayTimeout {
		return status
	}
	return http.StatusBadGateway
}

// abandonCaller records that the caller disconnected before its answer was complete, and refunds the request's
// cost if no upstream received the request. It panics to close the connection: a caller that has only ended its
// direction of it would take what net/http writes after a handler has returned for a complete answer.
func (e *exchange) abandonCaller() {
	Requests.Inc(outcomeCallerGone)
	if e.sends == 0 {
		e.refund()
	}
	e.log(events.ForwardGone, "sends", e.sends)
	panic(http.ErrAbortHandler)
}

// log writes a log event with the data on which the decision about the request was
// based.
func (e *exchange) log(event events.Event, fields ...any) {
	all := append(make([]any, 0, len(fields)+26), "id", e.meta.RequestID, "ms", time.Since(e.arrived).Milliseconds())
	if e.table != nil {
		all = append(all, "table", e.table.Version)
	}
	if e.route != nil {
		all = append(all, "route", e.route.Name, "pool", e.pool, "left_ms", time.Until(e.deadline).Milliseconds())
	}
	if len(e.meta.Prompt) > 1 {
		all = append(all, "shared_parts", loggedParts(e.meta.Prompt[:len(e.meta.Prompt)-1]))
	}
	if e.account != nil {
		all = append(all, "account", e.account.Name, "cost", e.cost, "limit_by", e.limitDecidedBy)
	}
	if list := e.f.Upstreams(); list != nil {
		all = append(all, "list_age_ms", e.f.listAge(list).Milliseconds())
	}
	if !e.sentAt.IsZero() {
		all = append(all, "sent_ms", e.sentAt.Sub(e.arrived).Milliseconds(), "sent_list_age_ms", e.sentBy.age.Milliseconds(), "sent_list_revision", e.sentBy.revision)
	}
	event.Log(e.f.Logger, append(all, fields...)...)
}

// maxLoggedParts limits the prompt parts in one log line.
const maxLoggedParts = 8

// loggedParts returns the digests of the last maxLoggedParts parts in hexadecimal,
// separated by commas.
func loggedParts(parts []PromptPart) string {
	text := make([]byte, 0, maxLoggedParts*9)
	for i, part := range parts[max(0, len(parts)-maxLoggedParts):] {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, part.Digest, 16)
	}
	return string(text)
}
