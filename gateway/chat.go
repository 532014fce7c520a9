package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/dispatch"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/journal"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role" enum:"system,user,assistant"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat request.
type ChatRequest struct {
	_         struct{}  `json:"-" additionalProperties:"true"`
	Model     string    `json:"model" doc:"Name of the service"`
	Messages  []Message `json:"messages" minItems:"1"`
	Stream    bool      `json:"stream,omitempty" doc:"Send the answer as server-sent events"`
	MaxTokens int       `json:"max_tokens,omitempty" minimum:"0" doc:"Longest answer in tokens; 0 means the service's own limit"`
}

type chatInput struct {
	Authorization string `header:"Authorization"`
	Key           string `header:"Idempotency-Key" maxLength:"200" doc:"A repeat under the same key joins the first run"`
	Body          ChatRequest
}

func (g *Gateway) registerChat() {
	huma.Register(g.api, huma.Operation{
		OperationID: "create-chat-completion", Method: http.MethodPost, Path: "/v1/chat/completions",
		Summary: "Answer a conversation, whole or as server-sent events", MaxBodyBytes: maxBodySize,
	}, g.chat)
}

func (g *Gateway) chat(ctx context.Context, in *chatInput) (*huma.StreamResponse, error) {
	c, refusal := g.authorize(in.Authorization, in.Body.Model, "model")
	if refusal != nil {
		return nil, g.refuse(refusal, "")
	}
	id := "req-" + uuid.NewString()
	log, _ := g.Journals.Create(journal.NewLog(id, c.account.Name, c.service.Name))
	g.startGeneration(c, in.Body, log)
	if in.Body.Stream {
		return g.streamAnswer(log, 0), nil
	}
	return g.wholeAnswer(ctx, log)
}

// startGeneration runs an accepted request apart from its caller's connection.
func (g *Gateway) startGeneration(c call, body ChatRequest, log *journal.Log) {
	Accepted.Inc(c.service.Name)
	events.RequestAccepted.Log(g.Logger, "request", log.RequestID, "service", c.service.Name, "account", c.account.Name)
	limit := c.service.MaxTokens
	if body.MaxTokens > 0 {
		limit = min(limit, body.MaxTokens)
	}
	work := dispatch.Generation{Service: c.service, Prompt: promptOf(body.Messages), MaxTokens: limit, Log: log}
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.service.Deadline))
		defer cancel()
		g.Dispatcher.Generate(ctx, work)
		g.Journals.Expire(log.RequestID)
	}()
}

func promptOf(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}
