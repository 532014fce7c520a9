package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"
	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
)

// problem adapts an apierr.Error to huma.StatusError.
type problem struct {
	apierr.Body
	err *apierr.Error
}

var _ huma.StatusError = (*problem)(nil)

// Error implements error.
func (p *problem) Error() string { return p.err.Error() }

// GetStatus implements huma.StatusError.
func (p *problem) GetStatus() int { return p.err.Status() }

func init() {
	// Errors that huma detects itself, such as a body that violates its schema, get the JSON form
	// of apierr.Body.
	huma.NewError = func(status int, message string, causes ...error) huma.StatusError {
		code := apierr.CodeInvalidRequest
		if status == http.StatusRequestEntityTooLarge {
			code = apierr.CodeRequestTooLarge
		}
		if status >= http.StatusInternalServerError {
			code = apierr.CodeInternal
		}
		for _, cause := range causes {
			if cause != nil {
				message += ": " + cause.Error()
			}
		}
		Refusals.Inc(string(code))
		err := apierr.New(code, message)
		return &problem{err: err, Body: apierr.BodyFor(err, "")}
	}
}

// refuse counts and logs a refusal, and returns it as a huma error.
func (g *Gateway) refuse(err *apierr.Error, requestID string) error {
	g.countRefusal(err, requestID)
	p := &problem{err: err, Body: apierr.BodyFor(err, requestID)}
	if seconds := err.RetryAfterSeconds(); seconds > 0 {
		return huma.ErrorWithHeaders(p, http.Header{"Retry-After": {strconv.Itoa(seconds)}})
	}
	return p
}

// writeRefusal counts and logs a refusal, and writes it as the response of a handler outside huma.
func (g *Gateway) writeRefusal(w http.ResponseWriter, err *apierr.Error, requestID string) {
	g.countRefusal(err, requestID)
	if seconds := err.RetryAfterSeconds(); seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(err.Status())
	_ = json.NewEncoder(w).Encode(apierr.BodyFor(err, requestID))
}

func (g *Gateway) countRefusal(err *apierr.Error, requestID string) {
	Refusals.Inc(string(err.Code))
	events.RequestRefused.Log(g.Logger, "request", requestID, "type", err.Code, "ran", err.Ran, "error", errors.Unwrap(err))
}
