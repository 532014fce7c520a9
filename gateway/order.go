package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/order"
	"github.com/cardamompier/cardamompier/upstream"
)

const (
	maxKeyLength = 200 // bytes
	// headerKeyCreated is the header with the creation time of an idempotency key, in RFC 3339. A
	// UUIDv7 key contains its creation time and needs no such header.
	headerKeyCreated = "Idempotency-Key-Created"
	orderRetryAfter  = time.Second
	// outcomeMargin is the time after an order's deadline in which the host that claimed the order
	// may still record its outcome.
	outcomeMargin = time.Minute
)

// runOrder runs a non-idempotent call (an order) at most once for each idempotency key.
func (g *Gateway) runOrder(ctx context.Context, c call, work upstream.Call, header http.Header) (upstream.Reply, *apierr.Error) {
	request, refusal := orderRequest(c, work, header)
	if refusal != nil {
		return upstream.Reply{}, refusal
	}
	claim, record, err := g.Ledger.Claim(ctx, request)
	if err != nil {
		return upstream.Reply{}, refusalOfLedger(err)
	}
	if claim == nil {
		return replyOfRecord(record, time.Duration(c.service.Deadline))
	}
	if ctx.Err() != nil {
		expired := apierr.New(apierr.CodeDeadlineExceeded, "the deadline passed before the order was sent")
		g.finishOrder(ctx, claim, work, upstream.Reply{}, expired)
		return upstream.Reply{}, expired
	}
	events.OrderClaimed.Log(g.Logger, "request", work.RequestID, "key", claim.ID.Key)
	work.OrderKey = claim.ID.Account + "/" + claim.ID.Key
	reply, failed := g.Dispatcher.CallPlain(ctx, c.service, work)
	g.finishOrder(ctx, claim, work, reply, failed)
	return reply, failed
}

// orderRequest validates the idempotency key of an order and the key's age.
func orderRequest(c call, work upstream.Call, header http.Header) (order.Request, *apierr.Error) {
	key, created := header.Get(headerIdempotent), header.Get(headerKeyCreated)
	if key == "" || len(key) > maxKeyLength {
		return order.Request{}, apierr.New(apierr.CodeKeyRequired, "an Idempotency-Key of 1 to 200 bytes is needed")
	}
	at, ok := order.KeyCreationTime(key, created)
	if !ok {
		return order.Request{}, apierr.New(apierr.CodeKeyRequired,
			"the Idempotency-Key has to be a UUIDv7, or Idempotency-Key-Created its time in RFC 3339")
	}
	switch order.ClassifyKeyAge(at, time.Now()) {
	case order.AgeTooOld:
		// The order's record may have expired, so an earlier request with this key may have run.
		tooOld := apierr.New(apierr.CodeKeyTooOld, "the key is too old; look up the order before placing it under a new key")
		return order.Request{}, tooOld.WithRan(apierr.RanUnknown)
	case order.AgeInFuture:
		future := apierr.New(apierr.CodeInvalidRequest, "the key's time is in the future")
		return order.Request{}, future.WithRan(apierr.RanUnknown)
	}
	return order.Request{
		ID:     order.ID{Account: c.account.Name, Key: key},
		Digest: digestOf(c.service.Name, work, created), Created: at,
	}, nil
}

// finishOrder records the outcome of a claimed order, also after the order's deadline.
func (g *Gateway) finishOrder(ctx context.Context, claim *order.Claim, work upstream.Call, reply upstream.Reply, failed *apierr.Error) {
	state, outcome := order.StateDone, &order.Outcome{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	if failed != nil {
		state, outcome = order.StateUnknown, nil
		if failed.Ran == apierr.NotRun {
			state = order.StateNotRun
		}
	}
	if state == order.StateUnknown {
		events.OrderOutcomeLost.Log(g.Logger, "request", work.RequestID, "key", claim.ID.Key)
	}
	if err := g.Ledger.Finish(ctx, claim, state, outcome); err != nil {
		events.OrderRecordFailed.Log(g.Logger, "request", work.RequestID, "error", err)
	}
}

// replyOfRecord returns the reply to a repeated order from the record of the first one.
func replyOfRecord(record order.Record, deadline time.Duration) (upstream.Reply, *apierr.Error) {
	unknown := apierr.New(apierr.CodeOrderUnknown, "the order may have run").WithRan(apierr.RanUnknown)
	switch record.State {
	case order.StateDone:
		o := record.Outcome
		return upstream.Reply{Status: o.Status, ContentType: o.ContentType, Body: o.Body}, nil
	case order.StateNotRun:
		notRun := apierr.New(apierr.CodeUpstreamFailed, "the order was not run; send it again")
		return upstream.Reply{}, notRun.WithRetryAfter(orderRetryAfter)
	case order.StateClaimed:
		if time.Since(record.At) > deadline+outcomeMargin {
			return upstream.Reply{}, unknown // the host that claimed the order was lost
		}
		inProgress := apierr.New(apierr.CodeOrderInProgress, "the order is in progress, or its host was lost")
		return upstream.Reply{}, inProgress.WithRan(apierr.RanUnknown).WithRetryAfter(orderRetryAfter)
	default:
		return upstream.Reply{}, unknown
	}
}

// refusalOfLedger maps the error of a failed order claim to the caller's error. The current request
// was not sent, but "not run" is reported only if no earlier request with its key can have run.
func refusalOfLedger(err error) *apierr.Error {
	reason := order.ReasonUnreadable
	var failed *order.Error
	if errors.As(err, &failed) {
		reason = failed.Reason
	}
	refused := apierr.New(apierr.CodePlatformUnavailable, "the order could not be recorded, and was not run")
	switch reason {
	case order.ReasonConflict:
		return apierr.New(apierr.CodeKeyConflict, "the key was used with a different request").WithCause(err)
	case order.ReasonUnavailable, order.ReasonTooLarge:
	default:
		refused.Ran = apierr.RanUnknown
		refused.Detail = "this request was not run, and the records of earlier ones could not be read; repeat it under the same key"
	}
	return refused.WithRetryAfter(orderRetryAfter).WithCause(err)
}

// digestOf returns the hash of an order's service, call and key creation time. Two requests with
// one key are the same order only if their digests are equal.
func digestOf(service string, work upstream.Call, created string) order.Digest {
	h := sha256.New()
	for _, part := range []string{service, work.Method, work.Path, work.Query, work.ContentType, created} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(work.Body)
	return order.Digest(h.Sum(nil))
}
