package forward_test

import (
	"bytes"
	"encoding/json"
	"net"
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
