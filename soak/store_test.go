package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
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
	return storeItem{Key: e.Key, Value: e.Value, Revision: e.Version.Revision(), Lease: numberOf(e.Lease)}
}

const (
	// eraHeader is the header of all answers that counts how often the store came back from a copy. Answers lack it while
	// the count is zero.
	eraHeader = "Store-Era"
	// leaseNumbers is added to the numbers of leases on the wire, which are large there.
	leaseNumbers = 1 << 47
)

// firstEraOf returns how often the store of a seed had come back from a copy before the test.
func firstEraOf(seed uint64) uint64 { return []uint64{3, 0, 1}[seed%3] }

// numberOf returns the number of a lease on the wire, and leaseOf the lease of an era for such a number.
func numberOf(lease kv.LeaseID) uint64 {
	if lease == 0 {
		return 0
	}
	return lease.Number() + leaseNumbers
}

func leaseOf(era kv.Era, number uint64) kv.LeaseID {
	if number < leaseNumbers {
		return 0
	}
	return kv.LeaseIDOf(era, number-leaseNumbers)
}

// versionOf returns the version of an era for a revision on the wire, which a caller may have from an earlier era.
func versionOf(era kv.Era, revision uint64) kv.Version {
	if revision == 0 {
		return 0
	}
	return kv.VersionOf(era, revision)
}

// pageItems is the number of keys in a page of a list. Pages are read one after the other and are no snapshot.
const pageItems = 3

// storeTrouble is what kvmem.Faults has no fault for.
type storeTrouble struct {
	// dropped is the newest revision that the history no longer has.
	dropped atomic.Uint64
	// pageDelay is the time that each page of a list takes, in ns.
	pageDelay atomic.Int64
	// silent is whether calls through the wire get no answer.
	silent atomic.Bool
	// firstEra is how often the store had come back from a copy before the test.
	firstEra atomic.Uint64
	// rewriteSpan is the longest time after which upstreams write their records again once the store came back from a
	// copy, in ns.
	rewriteSpan atomic.Int64
}

// storeCall is a call to the store in the era in which it arrived. It is the writer of its answer, which names the era.
type storeCall struct {
	http.ResponseWriter
	store *kvmem.Store
	era   kv.Era
	first uint64 // value of eraHeader in era 0
}

// WriteHeader begins the answer. A call during which the store went away gets none.
func (c *storeCall) WriteHeader(status int) {
	if c.store.Era() != c.era {
		panic(http.ErrAbortHandler)
	}
	if era := uint64(c.era) + c.first; era > 0 {
		c.Header().Set(eraHeader, strconv.FormatUint(era, 10))
	}
	c.ResponseWriter.WriteHeader(status)
}

// storeHandler serves an in-memory store through the platform's wire protocol.
func storeHandler(store *kvmem.Store, trouble *storeTrouble) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, do func(w *storeCall, r *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if trouble.silent.Load() {
				panic(http.ErrAbortHandler)
			}
			do(&storeCall{ResponseWriter: w, store: store, era: store.Era(), first: trouble.firstEra.Load()}, r)
		})
	}
	handle("GET /cardamompier/kv-key", func(w *storeCall, r *http.Request) {
		entry, err := store.Get(r.Context(), r.FormValue("key"))
		answerStore(w, itemOf(entry), err)
	})
	handle("GET /cardamompier/kv-range", func(w *storeCall, r *http.Request) {
		entries, revision, err := store.List(r.Context(), r.FormValue("prefix"))
		items := []storeItem{}
		for _, e := range entries {
			if e.Key > r.FormValue("after") {
				items = append(items, itemOf(e))
			}
		}
		time.Sleep(time.Duration(trouble.pageDelay.Load()))
		page := items[:min(len(items), pageItems)]
		answerStore(w, map[string]any{"items": page, "truncated": len(page) < len(items), "as_of": revision.Revision()}, err)
	})
	handle("GET /cardamompier/kv-watch", func(w *storeCall, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		if after < trouble.dropped.Load() || after > store.Revision().Revision() {
			w.WriteHeader(http.StatusGone)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
		defer cancel()
		version := versionOf(w.era, after)
		changes, revision, err := store.Watch(ctx, r.FormValue("prefix"), version)
		if ctx.Err() != nil && len(changes) == 0 {
			changes, revision, err = nil, version, nil
		}
		items := []storeItem{}
		for _, c := range changes {
			i := itemOf(c.Entry)
			i.Deleted = c.Deleted
			items = append(items, i)
		}
		answerStore(w, map[string]any{"events": items, "as_of": revision.Revision()}, err)
	})
	handle("POST /cardamompier/kv-txn", func(w *storeCall, r *http.Request) {
		var txn struct {
			Expect []storeItem `json:"expect_rev"`
			Set    []storeItem `json:"set_keys"`
			Remove []string    `json:"remove"`
		}
		if json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.Expect) != 1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		key := txn.Expect[0].Key
		if len(txn.Set) == 0 {
			err := store.Delete(r.Context(), txn.Remove[0], versionOf(w.era, txn.Expect[0].Revision))
			answerStore(w, conflictOr(r.Context(), store, key, struct{}{}, err), err)
			return
		}
		revision, err := store.CompareAndSwap(r.Context(), kv.Write{
			Key: txn.Set[0].Key, Value: txn.Set[0].Value, Expect: versionOf(w.era, txn.Expect[0].Revision),
			Lease: leaseOf(w.era, txn.Set[0].Lease),
		})
		answerStore(w, conflictOr(r.Context(), store, key, map[string]any{"revision": revision.Revision()}, err), err)
	})
	handle("POST /cardamompier/kv-lease", func(w *storeCall, r *http.Request) {
		var grant struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&grant) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id, err := store.Grant(r.Context(), time.Duration(grant.TTLMS)*time.Millisecond)
		answerStore(w, map[string]any{"lease": numberOf(id), "ttl_ms": grant.TTLMS}, err)
	})
	lease := func(prefix string, call func(context.Context, kv.LeaseID) error) func(*storeCall, *http.Request) {
		return func(w *storeCall, r *http.Request) {
			id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
			answerStore(w, struct{}{}, call(r.Context(), leaseOf(w.era, id)))
		}
	}
	handle("POST /cardamompier/kv-keep/", lease("/cardamompier/kv-keep/", store.KeepAlive))
	handle("DELETE /cardamompier/kv-lease-end/", lease("/cardamompier/kv-lease-end/", store.Revoke))
	return mux
}

// conflictOr returns the answer to a transaction: the present state of its key after a conflict, and body otherwise.
func conflictOr(ctx context.Context, store *kvmem.Store, key string, body any, err error) any {
	if kv.ReasonOf(err) != kv.ReasonConflict {
		return body
	}
	items := []storeItem{}
	if e, err := store.Get(ctx, key); err == nil {
		items = append(items, itemOf(e))
	}
	return map[string]any{"items": items}
}

// answerStore writes the response to a store call. It closes the connection without a response if
// the store's fault is a lost response.
func answerStore(w http.ResponseWriter, body any, err error) {
	status := http.StatusOK
	switch kv.ReasonOf(err) {
	case "":
	case kv.ReasonNotFound, kv.ReasonLeaseExpired:
		status = http.StatusNotFound
	case kv.ReasonConflict:
		status = http.StatusPreconditionFailed
	case kv.ReasonRateLimited:
		status = http.StatusTooManyRequests
	case kv.ReasonUnknown:
		panic(http.ErrAbortHandler)
	default:
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
