package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/genlog"
)

// Completion is the JSON body of an answer that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the single generated message of a Completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const finishReasonStop = "stop"

// completeAnswer waits until a generation log is complete and returns its text in one response. It
// follows a request that moves to another entry host.
func (g *Gateway) completeAnswer(ctx context.Context, log *genlog.Log) (*huma.StreamResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-g.stopWaiting:
			cancel()
		case <-ctx.Done():
		}
	}()
	text, count, failed := g.collect(ctx, log)
	if failed != nil {
		return nil, g.refuse(failed, log.RequestID)
	}
	body := Completion{
		ID: log.RequestID, Object: "chat.completion", Created: time.Now().Unix(), Model: log.Service,
		Choices: []Choice{{Message: Message{Role: "assistant", Content: text}, FinishReason: finishReasonStop}},
		Usage:   Usage{CompletionTokens: count},
	}
	return &huma.StreamResponse{Body: func(c huma.Context) {
		c.SetHeader("Content-Type", "application/json")
		c.SetHeader(headerRequestID, log.RequestID)
		_ = json.NewEncoder(c.BodyWriter()).Encode(body)
	}}, nil
}

// collect reads a generation log to its end, also across moves to other entry hosts. It returns the
// text and the number of its tokens.
func (g *Gateway) collect(ctx context.Context, log *genlog.Log) (string, int, *apierr.Error) {
	var text strings.Builder
	for at := (position{}); ; {
		chunk, err := log.Read(ctx, at.next)
		if err != nil {
			return "", 0, g.stillRunningError().WithCause(err)
		}
		if chunk.Len() > 0 && chunk.BranchEpoch() != at.branch && !log.Extends(at.branch, at.next) {
			return "", 0, lostTextError()
		}
		_, _ = text.Write(chunk.Text())
		at.next += chunk.Len()
		at.branch = max(at.branch, chunk.BranchEpoch())
		switch chunk.State {
		case genlog.StateDone:
			return text.String(), at.next, nil
		case genlog.StateFailed:
			return "", 0, chunk.Failed
		case genlog.StateMoved:
			next, found := g.Requests.Find(ctx, log.RequestID)
			if !found {
				return "", 0, g.stillRunningError()
			}
			log = next
		}
	}
}

// stillRunningError returns the error for a caller whose request continues at another entry host
// while this host stops waiting for the answer.
func (g *Gateway) stillRunningError() *apierr.Error {
	const detail = "the request goes on; repeat it under its key, or read its events by its id, at another address"
	return apierr.New(apierr.CodeDraining, detail).WithRan(apierr.RanUnknown).WithRetryAfter(notReadyRetryAfter)
}

// lostTextError returns the error for a caller that has received tokens which no surviving entry
// host stores.
func lostTextError() *apierr.Error {
	const detail = "the text after the caller's last event was lost with its hosts"
	return apierr.New(apierr.CodeRequestLost, detail).WithRan(apierr.RanUnknown)
}

// streamAnswer streams a generation log from a position as server-sent events. The id of an event
// is the index of its token, after the epoch of the token's branch if the log has branches.
func (g *Gateway) streamAnswer(log *genlog.Log, at position) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(c huma.Context) {
		c.SetHeader("Content-Type", "text/event-stream")
		c.SetHeader("Cache-Control", "no-store")
		c.SetHeader(headerRequestID, log.RequestID)
		c.SetStatus(http.StatusOK)
		w := c.BodyWriter()
		flusher, _ := w.(http.Flusher)
		flusher.Flush()
		g.sendEvents(c.Context(), log, at, func(events []byte) bool {
			_, err := w.Write(events)
			flusher.Flush()
			return err == nil
		})
	}}
}

// sendEvents sends the events of a generation log until the log ends, ctx ends or send returns
// false.
func (g *Gateway) sendEvents(ctx context.Context, log *genlog.Log, at position, send func([]byte) bool) {
	writer := newEventWriter(log)
	for {
		if log.SupersededFor(at.branch) {
			log.Move()
		}
		chunk, err := log.Read(ctx, at.next)
		if err != nil {
			return
		}
		pastEnd := chunk.Len() == 0 && chunk.State == genlog.StateDone && at.next > log.Count()+1
		if pastEnd || chunk.BranchEpoch() != at.branch && !log.Extends(at.branch, at.next) {
			send(writer.failure(lostTextError()))
			return
		}
		if chunk.State == genlog.StateDone && chunk.Len() == 0 {
			at.next = log.Count()
		}
		events := writer.encode(chunk, at.next)
		if chunk.State == genlog.StateMoved {
			events = writer.moved(g.addresses(""))
		}
		if !send(events) || chunk.State != genlog.StateRunning {
			return
		}
		at.next += chunk.Len()
		at.branch = max(at.branch, chunk.BranchEpoch())
	}
}
