package kvhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/cardamompier/cardamompier/kv"
)

// maxCallSize is the size limit of a request body, in bytes. It allows for a
// value of kv.MaxValueSize in base64, with its key.
const maxCallSize = 2 << 20

// Handler returns an HTTP handler that serves store in this package's wire format.
func Handler(store kv.Store) http.Handler {
	h := handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathGet, h.serve(h.get))
	mux.HandleFunc("POST "+pathList, h.serve(h.list))
	mux.HandleFunc("POST "+pathSwap, h.serve(h.swap))
	mux.HandleFunc("POST "+pathDelete, h.serve(h.delete))
	mux.HandleFunc("POST "+pathWatch, h.serve(h.watch))
	mux.HandleFunc("POST "+pathGrant, h.serve(h.grant))
	mux.HandleFunc("POST "+pathKeepAlive, h.serve(h.keepAlive))
	mux.HandleFunc("POST "+pathRevoke, h.serve(h.revoke))
	return mux
}

// handler runs the calls that arrive over HTTP on store.
type handler struct{ store kv.Store }

// callFunc runs one decoded call and returns its response.
type callFunc func(context.Context, callBody) (replyBody, error)

// serve returns an HTTP handler that decodes a call, runs it and writes the
// response. If the outcome of the call is unknown, the handler closes the
// connection without a response.
func (h handler) serve(call callFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body callBody
		if err := json.NewDecoder(io.LimitReader(r.Body, maxCallSize)).Decode(&body); err != nil {
			writeReply(w, http.StatusBadRequest, replyBody{Error: &errorBody{Reason: kv.ReasonInvalid}})
			return
		}
		reply, err := call(r.Context(), body)
		if err == nil {
			writeReply(w, http.StatusOK, reply)
			return
		}
		var failed *kv.Error
		if !errors.As(err, &failed) || failed.Reason == kv.ReasonUnknown {
			panic(http.ErrAbortHandler)
		}
		reply = replyBody{Error: &errorBody{Reason: failed.Reason, Current: failed.Current}}
		writeReply(w, statusOf(failed.Reason), reply)
	}
}

// statusOf returns the HTTP status code for reason.
func statusOf(reason kv.Reason) int {
	switch reason {
	case kv.ReasonNotFound:
		return http.StatusNotFound
	case kv.ReasonConflict:
		return http.StatusConflict
	case kv.ReasonRateLimited:
		return http.StatusTooManyRequests
	case kv.ReasonUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// writeReply writes reply as JSON with the given HTTP status code.
func writeReply(w http.ResponseWriter, status int, reply replyBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

func (h handler) get(ctx context.Context, c callBody) (replyBody, error) {
	entry, err := h.store.Get(ctx, c.Key)
	return replyBody{Entries: []entryBody{bodyOf(entry)}}, err
}

func (h handler) list(ctx context.Context, c callBody) (replyBody, error) {
	entries, revision, err := h.store.List(ctx, c.Key)
	reply := replyBody{Revision: revision}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, bodyOf(e))
	}
	return reply, err
}

func (h handler) swap(ctx context.Context, c callBody) (replyBody, error) {
	version, err := h.store.CompareAndSwap(ctx, kv.Write{Key: c.Key, Value: c.Value, Expect: c.Expect, Lease: c.Lease})
	return replyBody{Revision: version}, err
}

func (h handler) delete(ctx context.Context, c callBody) (replyBody, error) {
	return replyBody{}, h.store.Delete(ctx, c.Key, c.Expect)
}

func (h handler) watch(ctx context.Context, c callBody) (replyBody, error) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(c.WaitMS))
	defer cancel()
	events, revision, err := h.store.Watch(ctx, c.Key, c.After)
	reply := replyBody{Revision: revision}
	for _, e := range events {
		body := bodyOf(e.Entry)
		body.Deleted = e.Deleted
		reply.Entries = append(reply.Entries, body)
	}
	return reply, err
}

func (h handler) grant(ctx context.Context, c callBody) (replyBody, error) {
	lease, err := h.store.Grant(ctx, milliseconds(c.TTLMS))
	return replyBody{Lease: lease}, err
}

func (h handler) keepAlive(ctx context.Context, c callBody) (replyBody, error) {
	return replyBody{}, h.store.KeepAlive(ctx, c.Lease)
}

func (h handler) revoke(ctx context.Context, c callBody) (replyBody, error) {
	return replyBody{}, h.store.Revoke(ctx, c.Lease)
}
