package forward_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/forward"
)

// notRunHeader states that an upstream did not run the request.
const notRunHeader = "Not-Executed: 1\r\n"

// logLines collects log lines in JSON.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// of returns the lines of an event.
func (l *logLines) of(t *testing.T, event events.Event) (lines []map[string]any) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for decoder := json.NewDecoder(bytes.NewReader(l.text.Bytes())); decoder.More(); {
		line := map[string]any{}
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		if line["event"] == float64(event.Number) {
			lines = append(lines, line)
		}
	}
	return lines
}

// logTo makes the forwarder log to the returned lines.
func (f *fixture) logTo() *logLines {
	lines := &logLines{}
	f.Logger = hclog.New(&hclog.LoggerOptions{Output: lines, JSONFormat: true, Level: hclog.Debug})
	return lines
}

// TestRefusalNamesTheAnswer checks that the log tells which answer of an upstream led to a refusal. It guards against
// refusals of requests that ran which cannot be traced: the status and the marks of the answer were not logged.
func TestRefusalNamesTheAnswer(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 503, sealHeader, "") })
	lines := f.logTo()
	before := forward.UnmarkedRejections.Value("503")
	if _, _, _, err := f.send(t, "/order/x", "b"); err != nil {
		t.Fatal(err)
	}
	for _, event := range []events.Event{events.ForwardAttempt, events.ForwardRefused} {
		got := lines.of(t, event)
		if len(got) != 1 || got[0]["answer_status"] != 503.0 || got[0]["answer_not_run"] != false || got[0]["answer_sealed"] != true {
			t.Errorf("event %d: got lines %v, want one with the status 503, not marked as not run, and sealed", event.Number, got)
		}
	}
	if got := lines.of(t, events.ForwardRefused); len(got) == 1 && got[0]["possible_runs"] != 1.0 {
		t.Errorf("possible runs are %v, want 1", got[0]["possible_runs"])
	}
	if n := forward.UnmarkedRejections.Value("503") - before; n != 1 {
		t.Errorf("the counter of unmarked rejections grew by %d, want 1", n)
	}
}

// rejectionCase is an answer of an upstream to a request of a route.
type rejectionCase struct {
	path           string
	status         int
	sealed, marked bool
}

func (c rejectionCase) String() string {
	return fmt.Sprintf("%s answered %d, sealed %v, marked as not run %v", c.path, c.status, c.sealed, c.marked)
}

// headers returns the header lines of the answer.
func (c rejectionCase) headers() (lines string) {
	if c.sealed {
		lines += sealHeader
	}
	if c.marked {
		lines += notRunHeader
	}
	return lines
}

// repeatable reports whether requests of the route may run twice.
func (c rejectionCase) repeatable() bool { return c.path == "/read/x" || c.path == "/resume/x" }

// rejectionCases returns all routes with a status, sealed or not, marked as not run or not.
func rejectionCases(status int) (cases []rejectionCase) {
	for _, path := range []string{"/order/x", "/stream/x", "/read/x", "/resume/x"} {
		for _, sealed := range []bool{false, true} {
			for _, marked := range []bool{false, true} {
				cases = append(cases, rejectionCase{path, status, sealed, marked})
			}
		}
	}
	return cases
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// play sends a request to upstreams that all answer as the case says, and checks what the caller gets and what the
// upstreams received.
func (c rejectionCase) play(t *testing.T) {
	t.Helper()
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
		writeAnswer(conn, r, c.status, c.headers(), "upstream body")
	})
	status, _, header, err := f.send(t, c.path, "b")
	if err != nil {
		t.Errorf("%v: %v", c, err)
		return
	}
	sends := len(f.receivedRequests())
	ran := !c.marked // an unmarked answer states nothing
	if promisesNotRun(status) && ran {
		t.Errorf("%v: the caller got %d, which promises that the request did not run", c, status)
	}
	if c.marked && !promisesNotRun(status) {
		t.Errorf("%v: the caller got %d, want a status that promises that the request did not run", c, status)
	}
	if ran && !c.repeatable() && sends != 1 {
		t.Errorf("%v: upstreams received the request %d times, want once", c, sends)
	}
	if header.Get("Response-Seal") != "" && status != c.status {
		t.Errorf("%v: the answer with status %d has the seal of an upstream", c, status)
	}
	if !c.marked && !promisesNotRun(c.status) && status != c.status {
		t.Errorf("%v: the caller got %d, want the upstream's status", c, status)
	}
	if ran && promisesNotRun(c.status) && status != http.StatusBadGateway {
		t.Errorf("%v: the caller got %d, want 502", c, status)
	}
	if ran && promisesNotRun(c.status) && c.repeatable() && sends != 2 {
		t.Errorf("%v: upstreams received the request %d times, want once at each of two", c, sends)
	}
}

// TestTimeoutStatusOfUpstream guards against 408 of an upstream that is relayed: it promises that the request did not
// run, while the upstream ran it.
func TestTimeoutStatusOfUpstream(t *testing.T) {
	for _, c := range rejectionCases(http.StatusRequestTimeout) {
		c.play(t)
	}
}

// TestOtherStatusesOfUpstream guards against a refusal of a request that ran, or a repeated run, for all other
// statuses that reject requests.
func TestOtherStatusesOfUpstream(t *testing.T) {
	for _, status := range []int{300, 400, 401, 404, 409, 412, 413, 417, 423, 425, 429, 431, 500, 501, 502, 503, 504, 507, 511, 529} {
		for _, c := range rejectionCases(status) {
			c.play(t)
		}
	}
}

// TestMisdirectedStatusOfUpstream guards against 421 that is taken for "not run" without the header that states it:
// the request was sent to another upstream and ran twice, and the caller got 429.
func TestMisdirectedStatusOfUpstream(t *testing.T) {
	for _, c := range rejectionCases(http.StatusMisdirectedRequest) {
		c.play(t)
	}
}

// TestReusedAddress covers an address that belongs to another upstream since the list was read. It guards against a
// request that may have run there and runs once more, and against a failure of one that certainly did not run.
func TestReusedAddress(t *testing.T) {
	for _, marked := range []bool{false, true} {
		headers := ""
		if marked {
			headers = notRunHeader
		}
		f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
			if r.Header.Get("Expect-Instance") != r.upstream {
				writeAnswer(conn, r, http.StatusMisdirectedRequest, headers, "")
				return
			}
			writeAnswer(conn, r, 200, sealHeader, "ok")
		})
		list := slices.Clone(f.snapshot.Load().Hosts)
		list[0].ID = "departed"
		f.setUpstreams(list)
		misdirected := false
		for range 50 { // until the departed upstream is chosen
			status, _, _, err := f.send(t, "/order/x", "b")
			misdirected = slices.ContainsFunc(f.receivedRequests(), func(r receivedRequest) bool { return r.Header.Get("Expect-Instance") != r.upstream })
			if want := map[bool]int{false: http.StatusOK, true: http.StatusBadGateway}[misdirected && !marked]; err != nil || status != want {
				t.Errorf("marked as not run %v: got status %d and error %v, want %d", marked, status, err, want)
			}
			if misdirected {
				break
			}
		}
		if !misdirected {
			t.Errorf("marked as not run %v: no request was sent to the departed upstream", marked)
		}
	}
}
