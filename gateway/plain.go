package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/order"
	"github.com/cardamompier/cardamompier/upstream"
)

const maxKeyLength = 200 // bytes

// servePlain answers a call to a plain service. It stands outside of huma,
// which describes fixed bodies: method, path and body are the service's own.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	id := "req-" + uuid.NewString()
	w.Header().Set(headerRequestID, id)
	c, refusal := g.admit(r.Context(), r.Header.Get("Authorization"), r.PathValue("service"), config.KindPlain)
	if refusal != nil {
		g.writeRefusal(w, refusal, id)
		return
	}
	body, refusal := readBody(w, r)
	if refusal != nil {
		g.writeRefusal(w, refusal, id)
		return
	}
	work := upstream.Call{
		RequestID: id, Method: r.Method, Path: "/" + r.PathValue("path"), Query: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	g.work.Add(1)
	defer g.work.Done()
	reply, refusal := g.runPlain(r, c, work)
	if refusal != nil {
		g.writeRefusal(w, refusal, id)
		return
	}
	writeReply(w, reply)
}

func (g *Gateway) runPlain(r *http.Request, c call, work upstream.Call) (upstream.Reply, *apierr.Error) {
	// A caller that goes away does not end work that may have begun.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), time.Duration(c.service.Deadline))
	defer cancel()
	Accepted.Inc(c.service.Name)
	if c.service.Idempotent {
		return g.Dispatcher.Call(ctx, c.service, work)
	}
	return g.runOrder(ctx, c, work, r.Header.Get(headerIdempotent))
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apierr.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierr.New(apierr.CodeRequestTooLarge, "the body is too large")
	}
	if err != nil {
		return nil, apierr.New(apierr.CodeInvalidRequest, "the body could not be read").WithCause(err)
	}
	return body, nil
}

// runOrder runs non-idempotent work at most once for its key.
func (g *Gateway) runOrder(ctx context.Context, c call, work upstream.Call, key string) (upstream.Reply, *apierr.Error) {
	if key == "" || len(key) > maxKeyLength {
		return upstream.Reply{}, apierr.New(apierr.CodeKeyRequired, "an Idempotency-Key of 1 to 200 bytes is needed")
	}
	id := order.ID{Account: c.account.Name, Key: key}
	claim, record, err := g.Ledger.Claim(ctx, id, digestOf(c.service.Name, work))
	if err != nil {
		return upstream.Reply{}, refusalOfLedger(err)
	}
	if claim == nil {
		return replyOfRecord(record)
	}
	events.OrderClaimed.Log(g.Logger, "request", work.RequestID, "key", key)
	work.OrderKey = c.account.Name + "/" + key
	reply, failed := g.Dispatcher.Call(ctx, c.service, work)
	g.finishOrder(ctx, claim, work, reply, failed)
	return reply, failed
}

// finishOrder records what became of a claimed order.
func (g *Gateway) finishOrder(ctx context.Context, claim *order.Claim, work upstream.Call, reply upstream.Reply, failed *apierr.Error) {
	state, outcome := order.StateDone, &order.Outcome{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	if failed != nil {
		state, outcome = order.StateUnknown, nil
		if failed.Ran == apierr.NotRun {
			state = order.StateNotRun
		}
	}
	if err := g.Ledger.Finish(ctx, claim, state, outcome); err != nil {
		events.OrderRecordFailed.Log(g.Logger, "request", work.RequestID, "error", err)
	}
}

func replyOfRecord(record order.Record) (upstream.Reply, *apierr.Error) {
	switch record.State {
	case order.StateDone:
		o := record.Outcome
		return upstream.Reply{Status: o.Status, ContentType: o.ContentType, Body: o.Body}, nil
	case order.StateNotRun:
		return upstream.Reply{}, apierr.New(apierr.CodeUpstreamFailed, "the order was not run; send it under a new key")
	case order.StateClaimed:
		inProgress := apierr.New(apierr.CodeOrderInProgress, "the order is in progress or its host was lost")
		return upstream.Reply{}, inProgress.WithRan(apierr.RanUnknown).WithRetryAfter(time.Second)
	default:
		return upstream.Reply{}, apierr.New(apierr.CodeOrderUnknown, "the order may have run").WithRan(apierr.RanUnknown)
	}
}

func refusalOfLedger(err error) *apierr.Error {
	var failed *order.Error
	if errors.As(err, &failed) && failed.Reason == order.ReasonConflict {
		return apierr.New(apierr.CodeKeyConflict, "the key was used with a different request").WithCause(err)
	}
	return apierr.New(apierr.CodePlatformUnavailable, "the order could not be recorded, and was not run").
		WithRetryAfter(time.Second).WithCause(err)
}

func digestOf(service string, work upstream.Call) order.Digest {
	h := sha256.New()
	for _, part := range []string{service, work.Method, work.Path, work.Query, work.ContentType} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(work.Body)
	return order.Digest(h.Sum(nil))
}

func writeReply(w http.ResponseWriter, reply upstream.Reply) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
