package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"

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

func (g *Gateway) resume(ctx context.Context, in *resumeInput) (*huma.StreamResponse, error) {
	account, _, refusal := g.authenticate(in.Authorization)
	if refusal != nil {
		return nil, g.refuse(refusal, in.ID)
	}
	from, err := positionAfter(in.LastEventID)
	if err != nil {
		return nil, g.refuse(apierr.New(apierr.CodeInvalidRequest, "Last-Event-ID is no event id").WithCause(err), in.ID)
	}
	log, ok := g.Requests.Find(ctx, in.ID)
	if !ok || log.Account != account.Name {
		unknown := apierr.New(apierr.CodeUnknownRequest, "no entry host that answers knows a request with this id")
		return nil, g.refuse(unknown.WithRan(apierr.RanUnknown), in.ID)
	}
	return g.streamAnswer(log, from), nil
}

// position is the point in an answer from which a caller continues to read.
type position struct {
	// next is the index of the first token that the caller has not received.
	next int
	// branch is the epoch number of the branch that contains the caller's last token. A log
	// branches when a new owner generates tokens that may differ from those that its predecessor
	// sent. Zero means the log's first branch.
	branch uint64
}

// branchSeparator separates the branch epoch from the token index in an event id. An event id
// without a branch is the token index alone.
const branchSeparator = "-"

// positionAfter parses the id of the last event that a caller received, and returns the position
// after that event. An empty id means the start of the answer.
func positionAfter(lastEventID string) (position, error) {
	if lastEventID == "" {
		return position{}, nil
	}
	var p position
	index := lastEventID
	if branch, rest, found := strings.Cut(lastEventID, branchSeparator); found {
		epoch, err := strconv.ParseUint(branch, 10, 63)
		if err != nil {
			return position{}, err
		}
		p.branch, index = epoch, rest
	}
	last, err := strconv.ParseUint(index, 10, 31)
	p.next = int(last) + 1
	return p, err
}
