package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/journal"
)

// Completion is a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the one alternative of an answer.
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

// wholeAnswer waits for the end of a log and returns its text.
func (g *Gateway) wholeAnswer(ctx context.Context, log *journal.Log) (*huma.StreamResponse, error) {
	text, count, failed := collect(ctx, log)
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

func collect(ctx context.Context, log *journal.Log) (string, int, *apierr.Error) {
	var text strings.Builder
	count := 0
	for {
		chunk, err := log.Read(ctx, count)
		if err != nil {
			return "", 0, apierr.New(apierr.CodeDeadlineExceeded, "the caller went away").WithRan(apierr.RanUnknown).WithCause(err)
		}
		for _, token := range chunk.Tokens {
			text.WriteString(token)
		}
		count += len(chunk.Tokens)
		if chunk.Failed != nil {
			return "", 0, chunk.Failed
		}
		if chunk.Done {
			return text.String(), count, nil
		}
	}
}

// streamAnswer sends a log from an offset as server-sent events, each with
// the index of its token as event id.
func (g *Gateway) streamAnswer(log *journal.Log, from int) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(c huma.Context) {
		c.SetHeader("Content-Type", "text/event-stream")
		c.SetHeader("Cache-Control", "no-store")
		c.SetHeader(headerRequestID, log.RequestID)
		c.SetStatus(http.StatusOK)
		w := c.BodyWriter()
		flusher, _ := w.(http.Flusher)
		events := newEventWriter(log)
		for {
			chunk, err := log.Read(c.Context(), from)
			if err != nil {
				return
			}
			if _, err := w.Write(events.encode(chunk, from)); err != nil {
				return
			}
			flusher.Flush()
			from += len(chunk.Tokens)
			if chunk.Done || chunk.Failed != nil {
				return
			}
		}
	}}
}

// eventWriter encodes the chunks of one answer. Its buffer is used again.
type eventWriter struct {
	log    *journal.Log
	prefix []byte // the data of an event up to the token's text
	buffer []byte
}

func newEventWriter(log *journal.Log) *eventWriter {
	head, _ := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{log.RequestID, "chat.completion.chunk", time.Now().Unix(), log.Service})
	prefix := append([]byte("\ndata: "), head[:len(head)-1]...)
	return &eventWriter{log: log, prefix: append(prefix, `,"choices":[{"index":0,"delta":`...)}
}

func (e *eventWriter) encode(chunk journal.Chunk, from int) []byte {
	e.buffer = e.buffer[:0]
	for i, token := range chunk.Tokens {
		e.event(from + i)
		text, _ := json.Marshal(token)
		e.buffer = append(e.buffer, `{"content":`...)
		e.buffer = append(e.buffer, text...)
		e.buffer = append(e.buffer, "},\"finish_reason\":null}]}\n\n"...)
	}
	if chunk.Done {
		e.event(from + len(chunk.Tokens))
		e.buffer = append(e.buffer, "{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"...)
	}
	if chunk.Failed != nil {
		body, _ := json.Marshal(apierr.BodyFor(chunk.Failed, e.log.RequestID))
		e.buffer = append(e.buffer, "event: error\ndata: "...)
		e.buffer = append(e.buffer, body...)
		e.buffer = append(e.buffer, "\n\n"...)
	}
	return e.buffer
}

func (e *eventWriter) event(id int) {
	e.buffer = append(e.buffer, "id: "...)
	e.buffer = strconv.AppendInt(e.buffer, int64(id), 10)
	e.buffer = append(e.buffer, e.prefix...)
}
