package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/cardamompier/cardamompier/apierr"
	"github.com/cardamompier/cardamompier/config"
	"github.com/cardamompier/cardamompier/upstream"
)

// servePlain handles a call to a plain service, which is an HTTP service that generates no tokens.
// It is not a huma operation: huma needs fixed schemas, and a plain service defines its own
// methods, paths and bodies.
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
	defer reply.Release()
	writeReply(w, reply)
}

// runPlain runs an admitted call to a plain service, as an order unless the service is idempotent.
func (g *Gateway) runPlain(r *http.Request, c call, work upstream.Call) (upstream.Reply, *apierr.Error) {
	// A caller's disconnect does not cancel a call that the upstream may have started.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), time.Duration(c.service.Deadline))
	defer cancel()
	Accepted.Inc(c.service.Name)
	if c.service.Idempotent {
		return g.Dispatcher.CallPlain(ctx, c.service, work)
	}
	return g.runOrder(ctx, c, work, r.Header)
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

// replyWriteTimeout is how long a caller may take to receive a reply, which occupies memory of this host.
const replyWriteTimeout = 30 * time.Second

func writeReply(w http.ResponseWriter, reply upstream.Reply) {
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(replyWriteTimeout)); err == nil {
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
