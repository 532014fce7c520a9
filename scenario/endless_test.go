package scenario

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/upstream/enginehttp"
)

const (
	// endlessBytes bounds what one answer without end sends, so that the test ends.
	endlessBytes = 1 << 30
	// endlessTokenGap is the time between two tokens of an engine whose reports have no end.
	endlessTokenGap = 50 * time.Millisecond
)

// endlessAnswers are what a faulty upstream sends, by way: a start and a text again and again.
var endlessAnswers = map[string]struct{ start, again string }{
	"heads":         {"HTTP/1.1 200 OK\r\nA: ", "xxxxxxxx"},
	"informational": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	"bodies":        {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"x\":\"", "xxxxxxxx"},
	"values":        {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[", "{\"Sequence\":1},"},
}

// cmdEndless implements "endless NAME DOMAIN POOL WAY [reports]", which adds an upstream that answers without end. With
// "reports" it generates tokens without end, and answers all other calls so.
func cmdEndless(ts *testscript.TestScript, _ bool, args []string) {
	way, ok := endlessAnswers[args[3]]
	if !ok {
		ts.Fatalf("no way %q of an answer without end", args[3])
	}
	d := deploymentOf(ts)
	listener, err := net.Listen("tcp", freeAddress(ts))
	ts.Check(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(args) > 4 && r.URL.Path == enginehttp.PathGenerate {
			generateWithoutEnd(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		block := way.start + strings.Repeat(way.again, 1+(32<<10)/len(way.again))
		for sent := 0; sent < endlessBytes; sent += len(block) {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
			block = strings.TrimPrefix(block, way.start)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	ts.Defer(func() { _ = server.Close() })
	d.addHost(ts, hosts.Host{ID: args[0], Address: listener.Addr().String(), FailureDomain: args[1], Pool: args[2], State: hosts.StateLive})
}

func generateWithoutEnd(w http.ResponseWriter, r *http.Request) {
	for i := 0; r.Context().Err() == nil; i++ {
		if _, err := fmt.Fprintf(w, "{\"i\":%d,\"t\":\"x\"}\n", i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(endlessTokenGap)
	}
}

// cmdFlood implements "flood NAME KEY SERVICE COUNT chat|order", which sends requests at once to entry host NAME, waits until
// each has an answer or has ended, and prints how many have status 200.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[3])
	ts.Check(err)
	p := deploymentOf(ts).process(ts, args[0])
	url, body := "http://"+p.address+"/v1/chat/completions", `{"model":"`+args[2]+`","messages":[{"role":"user","content":"tokens=2 names"}]}`
	if args[4] == "order" {
		url, body = "http://"+p.address+"/services/"+args[2]+"/orders", `{"n":1}`
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range count {
		calls.Go(func() {
			key := ""
			if args[4] == "order" {
				key = fmt.Sprintf("flood-%s-%d", args[2], i)
			}
			status, _, err := request(http.MethodPost, url, args[1], key, body)
			if err != nil {
				status = 0
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	calls.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "served %d of %d %v\n", statuses[http.StatusOK], count, statuses)
}

// cmdMemory implements "memory NAME MIB", which checks that the process runs and never used more memory.
func cmdMemory(ts *testscript.TestScript, _ bool, args []string) {
	p := deploymentOf(ts).process(ts, args[0])
	bound, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	select {
	case <-p.exited:
		ts.Fatalf("%s has ended", args[0])
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	ts.Check(err)
	for line := range strings.Lines(string(status)) {
		rest, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		ts.Check(err)
		ts.Logf("%s: %d MiB at its peak", args[0], kb>>10)
		if kb>>10 > bound {
			ts.Fatalf("%s used %d MiB, bound %d MiB", args[0], kb>>10, bound)
		}
	}
}
