package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/danielgtaylor/huma/v2"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/dispatch"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/genlog"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role" enum:"system,user,assistant"`
	Content string `json:"content"`
}

// ChatRequest is the JSON body of POST /v1/chat/completions.
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
	c, refusal := g.admit(ctx, in.Authorization, in.Body.Model, config.KindModel)
	if refusal != nil {
		return nil, g.refuse(refusal, "")
	}
	if refusal := g.checkOverload(c); refusal != nil {
		return nil, g.refuse(refusal, "")
	}
	record := recordOf(c, in)
	log, refusal := g.Requests.Accept(ctx, record, in.Key != "")
	if refusal != nil {
		return nil, g.refuse(refusal, record.RequestID)
	}
	Accepted.Inc(c.service.Name)
	events.RequestAccepted.Log(g.Logger, "request", log.RequestID, "service", c.service.Name, "account", c.account.Name)
	if in.Body.Stream {
		return g.streamAnswer(log, position{}), nil
	}
	return g.completeAnswer(ctx, log)
}

// recordOf returns the stored record of a chat request. With an idempotency key, the request id is
// a hash of client account and key, so that a retry at any entry host joins the first run.
func recordOf(c call, in *chatInput) genlog.Record {
	limit := c.service.MaxTokens
	if in.Body.MaxTokens > 0 {
		limit = min(limit, in.Body.MaxTokens)
	}
	prompt := promptOf(in.Body.Messages)
	id := "req-" + uuid.NewString()
	if in.Key != "" {
		id = "req-" + uuid.NewSHA1(keyNamespace, []byte(c.account.Name+"\x00"+in.Key)).String()
	}
	return genlog.Record{
		RequestID: id, Account: c.account.Name, Service: c.service.Name, Prompt: prompt, MaxTokens: limit,
		Digest:   xxhash.Sum64String(c.service.Name + "\x00" + strconv.Itoa(limit) + "\x00" + prompt),
		Deadline: time.Now().Add(time.Duration(c.service.Deadline)),
	}
}

// keyNamespace is the UUID namespace of request ids that are derived from idempotency keys.
var keyNamespace = uuid.MustParse("6f1c8e0a-52f4-4d6a-9d0e-0a4b7a1f3c55")

// RunGeneration runs an accepted chat request until its generation log ends or moves to another
// entry host.
func (g *Gateway) RunGeneration(log *genlog.Log) {
	g.work.Add(1)
	defer g.work.Done()
	service := g.service(log.Service)
	if service == nil {
		log.Fail(apierr.New(apierr.CodeUnknownService, "the service is no longer published"))
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), log.Deadline)
	defer cancel()
	slot, err := g.enter(ctx, service.Pool, log)
	if err != nil {
		log.Fail(apierr.New(apierr.CodeDeadlineExceeded, "the deadline passed before the request was begun").WithCause(err))
		return
	}
	defer slot.Release()
	initial := log.Count()
	g.Dispatcher.Generate(ctx, dispatch.Generation{Service: service, Log: log, Begun: g.Requests.FlushNow})
	g.Quota.AddTokens(log.Account, log.Count()-initial)
	events.RequestFinished.Log(g.Logger, "request", log.RequestID, "tokens", log.Count())
}

// service returns a published service by name, or nil.
func (g *Gateway) service(name string) *config.Service {
	if snapshot := g.Config.Current(); snapshot != nil {
		return snapshot.Services[name]
	}
	return nil
}

// promptOf joins messages into one prompt, with a line "ROLE: CONTENT" for each.
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
