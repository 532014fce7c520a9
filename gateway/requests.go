package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cardamompier/cardamompier/apierr"
)

type resumeInput struct {
	Authorization string `header:"Authorization"`
	ID            string `path:"id"`
	LastEventID   string `header:"Last-Event-ID" doc:"Id of the last event that the caller has"`
}

func (g *Gateway) registerRequests() {
	huma.Register(g.api, huma.Operation{
		OperationID: "resume-request", Method: http.MethodGet, Path: "/v1/requests/{id}/events",
		Summary: "The rest of an answer, as server-sent events, after the last event that the caller has",
	}, g.resume)
}

func (g *Gateway) resume(_ context.Context, in *resumeInput) (*huma.StreamResponse, error) {
	account, _, refusal := g.authenticate(in.Authorization)
	if refusal != nil {
		return nil, g.refuse(refusal, in.ID)
	}
	from, err := offsetAfter(in.LastEventID)
	if err != nil {
		return nil, g.refuse(apierr.New(apierr.CodeInvalidRequest, "Last-Event-ID is no event id").WithCause(err), in.ID)
	}
	log, ok := g.Journals.Get(in.ID)
	if !ok || log.Account != account.Name {
		unknown := apierr.New(apierr.CodeUnknownRequest, "no request with this id is known here")
		return nil, g.refuse(unknown.WithRan(apierr.RanUnknown), in.ID)
	}
	return g.streamAnswer(log, from), nil
}

// offsetAfter returns the offset of the first token that the caller misses.
func offsetAfter(lastEventID string) (int, error) {
	if lastEventID == "" {
		return 0, nil
	}
	last, err := strconv.ParseUint(lastEventID, 10, 31)
	return int(last) + 1, err
}
