package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as on the users' page PROTOCOL.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	leases   map[uint64]*grant
	nextID   uint64
	changed  chan struct{}
	// away, if set, decides whether a call is answered 503 without effect.
	away func(r *http.Request) bool
}

func newStore() *store {
	s := &store{items: map[string]item{}, revision: 10, leases: map[uint64]*grant{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.leases {
		if time.Now().After(g.ends) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds s.mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
			s.wake()
		}
	}
}

func (s *store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key without a condition, for the operator and the runners.
func (s *store) set(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.wake()
}

func (s *store) put(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.away != nil && s.away(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(2 * time.Millisecond)
	path := strings.TrimPrefix(r.URL.Path, "/cardamompier/")
	switch {
	case path == "kv-key":
		s.mu.Lock()
		it, ok := s.items[r.URL.Query().Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, it)
	case path == "kv-range":
		s.list(w, r)
	case path == "kv-watch":
		s.watch(w, r)
	case path == "kv-txn":
		s.txn(w, r)
	case path == "kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
		s.leases[id] = &grant{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.IndexByte(path, '/')+1:], 10, 64)
		s.mu.Lock()
		g := s.leases[id]
		if g != nil && strings.HasPrefix(path, "kv-keep/") {
			g.ends = time.Now().Add(g.ttl)
		} else if g != nil {
			s.endLease(id)
		}
		s.mu.Unlock()
		if g == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": g.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	truncated := len(out) > 500
	if truncated {
		out = out[:500]
	}
	reply(w, 200, map[string]any{"items": out, "truncated": truncated, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, 200, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect_rev"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, e := range in.Expect {
		it := s.items[e.Key]
		current = append(current, it)
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Set {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range in.Set {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.wake()
	reply(w, 200, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
