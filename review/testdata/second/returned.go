package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["returned-entry"] = returnedEntry }

const (
	// drainSpan is drain_ms.
	drainSpan = 2 * time.Second
	// servesOn is how long the leaving runner serves after its entry was removed.
	servesOn = 8 * time.Second
	// callers is the number of clients, each with one stream at a time.
	callers = 8
)

// streamCall is one stream of a client.
type streamCall struct {
	id       string
	sentAt   time.Time
	status   int
	complete bool
}

// stream sends a request for a stream and reads it to its end.
func stream(address, id string) streamCall {
	c := streamCall{id: id, sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/s/x", strings.NewReader("body"))
	if err != nil {
		return c
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Deadline-Ms", "10000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return c
	}
	defer func() { _ = res.Body.Close() }()
	c.status = res.StatusCode
	body, err := io.ReadAll(res.Body)
	c.complete = err == nil && strings.Contains(string(body), "id: 20\n")
	return c
}

// returnedEntry lets another writer write an entry without born under the id of a runner that leaves, after the runner's
// own entry was removed.
func returnedEntry(d *deployment, trouble bool) int {
	config := plainConfig()
	config["tenants"] = []any{map[string]any{"name": "t", "api_keys": []string{"key"}}}
	d.store.Put("op/config", config)
	stays, leaves := d.startRunner("i-1", "llm", "zone-a"), d.startRunner("i-2", "llm", "zone-b")
	for i, zone := range []string{"zone-a", "zone-b"} {
		d.addHost(fmt.Sprintf("front-%d", i+1), zone)
	}
	for _, h := range d.hosts {
		d.writeSettings(h, nil)
		d.start(h)
	}
	if !d.awaitReady(10 * time.Second) {
		return 2
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var calls []streamCall
	var running sync.WaitGroup
	stop := make(chan struct{})
	for c := range callers {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				call := stream(d.hosts[(c+n)%len(d.hosts)].listen, fmt.Sprintf("s-%d-%d", c, n))
				mu.Lock()
				calls = append(calls, call)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	leaves.stopBeating()
	d.store.Remove("servers/i-2")
	removedAt := time.Now()
	d.record.log("the entry of i-2 is removed; it serves on for %v", servesOn)
	time.Sleep(time.Second)
	if trouble {
		d.record.log("another writer writes an entry without born under servers/i-2")
		d.store.Put("servers/i-2", map[string]any{
			"service": "llm", "address": leaves.address, "zone": "zone-b", "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": 0, "seq": 1,
		})
	}
	time.Sleep(time.Until(removedAt.Add(servesOn)))
	leaves.close()
	d.record.log("i-2 exits")
	time.Sleep(time.Second)
	close(stop)
	running.Wait()
	late, cut, served := 0, 0, 0
	for _, c := range calls {
		n, _ := leaves.ran(c.id)
		if c.complete {
			served++
		}
		if n == 0 || c.sentAt.Sub(removedAt) <= drainSpan {
			continue
		}
		late++
		d.record.log("DRAIN: %s was sent %v after the removal was acknowledged and reached i-2; status %d, complete %v",
			c.id, c.sentAt.Sub(removedAt).Round(time.Millisecond), c.status, c.complete)
		if !c.complete {
			cut++
		}
	}
	d.record.log("%d streams, %d served; %d reached i-2 later than drain_ms after its removal, %d of them were cut", len(calls), served, late, cut)
	if n := stays.count(); n == 0 || served == 0 {
		return 2
	}
	if late > 0 {
		return 1
	}
	return 0
}
