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

// item is a key with its value, as the platform's store sends it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is a change of one key.
type event struct {
	item
	Deleted bool
}

// MarshalJSON writes a deletion without a value.
func (e event) MarshalJSON() ([]byte, error) {
	if e.Deleted {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// A page of a range has at most about so many items and bytes.
const maxPageItems, maxPageBytes = 500, 1 << 20

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	nextID  uint64
	items   map[string]item
	leases  map[uint64]*lease
	events  []event
	changed chan struct{}
	writes  map[string]int // conditional writes by key
}

func newStore() *store {
	s := &store{rev: 1, nextID: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), writes: map[string]int{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, event{item: item{Key: key, Revision: s.rev}, Deleted: true})
}

func (s *store) set(key string, value []byte, lease uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.events = append(s.events, event{item: i})
}

// Put writes a key as the operator or a runner.
func (s *store) Put(key string, value any) {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, encoded, 0)
	s.notify()
}

// Remove deletes a key as a runner whose record has expired.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

// Get returns the value of a key.
func (s *store) Get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cardamompier/kv-key", s.serveKey)
	mux.HandleFunc("GET /cardamompier/kv-range", s.serveRange)
	mux.HandleFunc("GET /cardamompier/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /cardamompier/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /cardamompier/kv-lease", s.serveLease)
	mux.HandleFunc("POST /cardamompier/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /cardamompier/kv-lease-end/{id}", s.serveEnd)
	return mux
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	i, ok := s.Get(r.URL.Query().Get("key"))
	if !ok {
		reply(w, 404, map[string]any{"error": "missing"})
		return
	}
	reply(w, 200, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	asOf := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	fit, size := 0, 0
	for fit < len(items) && fit < maxPageItems && (fit == 0 || size+len(items[fit].Value) <= maxPageBytes) {
		size += len(items[fit].Value)
		fit++
	}
	truncated := fit < len(items)
	items = items[:fit]
	reply(w, 200, map[string]any{"items": items, "truncated": truncated, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, 200, map[string]any{"events": found, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": found, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, map[string]any{"error": "invalid"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range t.Set {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{"error": "forbidden"})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{"error": "lease"})
			return
		}
	}
	s.rev++
	for _, p := range t.Set {
		s.set(p.Key, p.Value, p.Lease)
		s.writes[p.Key]++
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.rev})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(g.TTL, 1000)) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": s.nextID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{"error": "lease"})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, 404, map[string]any{"error": "lease"})
		return
	}
	s.endLease(id)
	reply(w, 200, map[string]any{})
}
