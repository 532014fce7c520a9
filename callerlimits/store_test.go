package callerlimits

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cardamompier/cardamompier/kv"
	"github.com/cardamompier/cardamompier/kv/kvmem"
)

// storeItem is a key-value entry in the platform's wire protocol.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func itemOf(e kv.Entry) storeItem {
	return storeItem{Key: e.Key, Value: e.Value, Revision: uint64(e.Version), Lease: uint64(e.Lease)}
}

// storeHandler serves an in-memory store through the platform's wire protocol.
func storeHandler(store *kvmem.Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cardamompier/kv-key", func(w http.ResponseWriter, r *http.Request) {
		entry, err := store.Get(r.Context(), r.FormValue("key"))
		answerStore(w, itemOf(entry), err)
	})
	mux.HandleFunc("GET /cardamompier/kv-range", func(w http.ResponseWriter, r *http.Request) {
		entries, revision, err := store.List(r.Context(), r.FormValue("prefix"))
		items := []storeItem{}
		for _, e := range entries {
			if e.Key > r.FormValue("after") {
				items = append(items, itemOf(e))
			}
		}
		answerStore(w, map[string]any{"items": items, "truncated": false, "as_of": revision}, err)
	})
	mux.HandleFunc("GET /cardamompier/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
		defer cancel()
		changes, revision, err := store.Watch(ctx, r.FormValue("prefix"), kv.Version(after))
		if ctx.Err() != nil && len(changes) == 0 {
			changes, revision, err = nil, kv.Version(after), nil
		}
		items := []storeItem{}
		for _, c := range changes {
			i := itemOf(c.Entry)
			i.Deleted = c.Deleted
			items = append(items, i)
		}
		answerStore(w, map[string]any{"events": items, "as_of": revision}, err)
	})
	mux.HandleFunc("POST /cardamompier/kv-txn", func(w http.ResponseWriter, r *http.Request) {
		var txn struct {
			Expect []storeItem `json:"expect_rev"`
			Set    []storeItem `json:"set_keys"`
			Remove []string    `json:"remove"`
		}
		if json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.Expect) != 1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if len(txn.Set) == 0 {
			answerStore(w, struct{}{}, store.Delete(r.Context(), txn.Remove[0], kv.Version(txn.Expect[0].Revision)))
			return
		}
		revision, err := store.CompareAndSwap(r.Context(), kv.Write{
			Key: txn.Set[0].Key, Value: txn.Set[0].Value, Expect: kv.Version(txn.Expect[0].Revision), Lease: kv.LeaseID(txn.Set[0].Lease),
		})
		answerStore(w, map[string]any{"revision": revision}, err)
	})
	mux.HandleFunc("POST /cardamompier/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var grant struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&grant) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id, err := store.Grant(r.Context(), time.Duration(grant.TTLMS)*time.Millisecond)
		answerStore(w, map[string]any{"lease": id, "ttl_ms": grant.TTLMS}, err)
	})
	lease := func(prefix string, call func(context.Context, kv.LeaseID) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
			answerStore(w, struct{}{}, call(r.Context(), kv.LeaseID(id)))
		}
	}
	mux.HandleFunc("POST /cardamompier/kv-keep/", lease("/cardamompier/kv-keep/", store.KeepAlive))
	mux.HandleFunc("DELETE /cardamompier/kv-lease-end/", lease("/cardamompier/kv-lease-end/", store.Revoke))
	return mux
}

// answerStore writes the response to a store call.
func answerStore(w http.ResponseWriter, body any, err error) {
	status := http.StatusOK
	switch kv.ReasonOf(err) {
	case "":
	case kv.ReasonNotFound, kv.ReasonLeaseExpired:
		status = http.StatusNotFound
	case kv.ReasonConflict:
		status = http.StatusPreconditionFailed
	default:
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
