package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessPart, followed by the name of a way, is the start of a request's id that an upstream answers without end.
	endlessPart = "endless-"
	// maxHostMemory is the memory of the smallest host in the users' deployments, in bytes.
	maxHostMemory = 160 << 20
	// minServedBeside is the share of other requests that must be served meanwhile.
	minServedBeside = 0.9
	// endlessCalls is the number of requests with endless answers that each host has at once.
	endlessCalls = 30
	// endlessBytes bounds what one such answer sends, so that the test ends.
	endlessBytes = 1 << 30
)

// endlessWays are what an upstream sends: a start, with the request's id in place of %s, and a text again and again.
var endlessWays = map[string]struct{ start, again string }{
	"junk":          {"", "\x00\x01no answer"},
	"head-line":     {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxx"},
	"head-lines":    {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"unframed":      {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n", "xxxxxxxx"},
	"length":        {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 1099511627776\r\n\r\n", "xxxxxxxx"},
	"chunks":        {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	"events":        {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\nid: 1\ndata: x\n\n", ": x\n\n"},
	"rejection":     {"HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n", "xxxxxxxx"},
	"error":         {"HTTP/1.1 500 Failed\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n", "xxxxxxxx"},
	"other":         {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\n\r\n", "xxxxxxxx"},
	"trailer":       {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
}

// answerWithoutEnd sends bytes without end if the request's id asks for them, until the connection is closed.
func answerWithoutEnd(w http.ResponseWriter, id string) bool {
	name, _, _ := strings.Cut(strings.TrimPrefix(id, endlessPart), ".")
	way, ok := endlessWays[name]
	if !ok || !strings.HasPrefix(id, endlessPart) {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, strings.Replace(way.start, "%s", id, 1))
	writeWithoutEnd(conn, way.again)
	return true
}

func writeWithoutEnd(conn net.Conn, text string) {
	block := []byte(strings.Repeat(text, 1+(32<<10)/len(text)))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// callWithoutEnd sends a request that is answered without end. Half of the callers read what arrives, the others do not.
func (d *deployment) callWithoutEnd(address string, k kind, id string, reads bool) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	body := io.Reader(http.NoBody)
	if k.method == http.MethodPost {
		body = strings.NewReader("b")
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+address+k.prefix+id, body)
	if err != nil {
		d.log.violate("BUG: building a request failed: %v", err)
		return
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, ReadBufferSize: 4 << 10}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	if reads {
		_, _ = io.Copy(io.Discard, res.Body)
	} else {
		<-ctx.Done()
	}
}

// peakMemory returns the largest resident size that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Errorf("the process %d has ended: %v", pid, err)
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// TestBytesWithoutEnd guards against hosts that keep all that a faulty upstream sends, in a head or a body, until the
// caller closes: they run out of memory, and the requests of other callers end with them.
func TestBytesWithoutEnd(t *testing.T) {
	d := newDeployment(t, 1)
	processes := make([]int, 0, len(d.hosts))
	for _, h := range d.hosts {
		processes = append(processes, h.command.Process.Pid)
	}
	ctx, endCalls := context.WithCancel(t.Context())
	var beside, served atomic.Int64
	var others, endless sync.WaitGroup
	client := newClient()
	for i := range 2 * len(d.hosts) {
		others.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				if d.call(context.WithoutCancel(ctx), client, d.hosts[i%len(d.hosts)].listen, kinds[n%len(kinds)]) == "served" {
					served.Add(1)
				}
				beside.Add(1)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	slots := make(chan struct{}, endlessCalls*len(d.hosts))
	n := 0
	for name := range endlessWays {
		for _, k := range kinds {
			for range 2 * len(d.hosts) {
				n++
				id, host, reads := fmt.Sprintf("%s%s.%d", endlessPart, name, n), d.hosts[n%len(d.hosts)], n/len(d.hosts)%2 == 0
				slots <- struct{}{}
				endless.Go(func() {
					d.callWithoutEnd(host.listen, k, id, reads)
					<-slots
				})
			}
		}
	}
	endless.Wait()
	endCalls()
	others.Wait()
	for i, h := range d.hosts {
		peak := peakMemory(t, processes[i])
		t.Logf("%s: %d MiB at its peak", h.name, peak>>20)
		if peak > maxHostMemory {
			t.Errorf("LOST: %s used %d MiB, bound %d", h.name, peak>>20, maxHostMemory>>20)
		}
	}
	t.Logf("%d requests with answers without end; %d of %d others served", n, served.Load(), beside.Load())
	if float64(served.Load()) < minServedBeside*float64(beside.Load()) {
		t.Errorf("LOST: %d of %d other requests were served", served.Load(), beside.Load())
	}
	d.log.report(t)
}
