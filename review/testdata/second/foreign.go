package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// defects are entries of another writer under servers/, as changes of a sound one.
var defects = []struct {
	name   string
	change func(entry map[string]any)
}{
	{"version-missing", func(e map[string]any) { delete(e, "version") }},
	{"version-a-number", func(e map[string]any) { e["version"] = 3 }},
	{"cold_left_ms-missing", func(e map[string]any) { delete(e, "cold_left_ms") }},
	{"cold_left_ms-a-text", func(e map[string]any) { e["cold_left_ms"] = "none" }},
	{"names-in-capitals", func(e map[string]any) {
		for name, value := range e {
			delete(e, name)
			e[strings.ToUpper(name)] = value
		}
	}},
	{"slots-missing", func(e map[string]any) { delete(e, "slots") }},
	{"slots-a-text", func(e map[string]any) { e["slots"] = "64" }},
	{"zone-missing", func(e map[string]any) { delete(e, "zone") }},
	{"state-not-named", func(e map[string]any) { e["state"] = "warm" }},
	{"seq-missing", func(e map[string]any) { delete(e, "seq") }},
}

// foreignEntry lets another writer write entries with missing or wrong fields beside those of two sound runners.
func foreignEntry(d *deployment, trouble bool) int {
	config := plainConfig()
	route := config["routes"].([]any)[0].(map[string]any)
	route["prefix"], route["kind"], route["max_attempts"], route["timeout_ms"] = "/o/", "non_idempotent", 1, 3000
	service := config["services"].([]any)[0].(map[string]any)
	delete(service, "engine")
	d.store.Put("op/config", config)
	runners := []*runner{d.startRunner("i-1", "llm", "zone-a"), d.startRunner("i-2", "llm", "zone-b")}
	for _, r := range runners {
		r.work = 20 * time.Millisecond
	}
	got := map[string]*atomic.Int64{}
	for _, defect := range defects {
		n := &atomic.Int64{}
		got[defect.name] = n
		address := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			n.Add(1)
			d.record.log("the server of the entry %s runs %s %s %s", defect.name, q.Method, q.URL.Path, q.Header.Get("Request-Id"))
			_, _ = io.WriteString(w, "done")
		}))
		entry := map[string]any{
			"service": "llm", "address": address, "zone": "zone-a", "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "seq": 1,
		}
		defect.change(entry)
		if trouble {
			d.store.Put("servers/"+defect.name, entry)
		}
	}
	h := d.addHost("front-1", "zone-a")
	d.writeSettings(h, nil)
	d.start(h)
	if !d.awaitReady(10 * time.Second) {
		return 2
	}
	time.Sleep(4 * time.Second)
	const orders, clients = 80, 8
	statuses := map[int]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			for n := range orders / clients {
				id := fmt.Sprintf("o-%d-%d", c, n)
				status, err := order(h.listen, id)
				d.record.log("client: %s is answered %d, error %v", id, status, err)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	d.record.log("client: answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return 2
	}
	status := 0
	for _, defect := range defects {
		if n := got[defect.name].Load(); n > 0 {
			d.record.log("ROUTE: %d of %d orders were run by the server of the entry %s, which names no runner", n, orders, defect.name)
			status = 1
		}
	}
	return status
}

// order sends one order and returns the status of its answer.
func order(address, id string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/o/x", strings.NewReader("order "+id))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Deadline-Ms", "3000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}
