package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind describes a kind of request and its route.
type kind struct {
	name, method, prefix string
	// idempotent marks a request that may run more than once; streams marks a request
	// whose response is an event stream.
	idempotent, streams bool
	// prompt is the list of prompt parts; empty for a request without a prompt.
	prompt string
	// oneVersion is whether only one version of the configuration has the route, so that it may be missing.
	oneVersion bool
}

var kinds = []kind{
	{name: "order", method: http.MethodPost, prefix: "/order/"},
	{name: "read", method: http.MethodGet, prefix: "/read/", idempotent: true},
	{name: "stream", method: http.MethodPost, prefix: "/stream/", streams: true},
	resumable,
}

// resumable is the kind of a stream that another upstream may continue.
var resumable = kind{name: "resume", method: http.MethodPost, prefix: "/resume/", idempotent: true, streams: true}

// unanswered is the kind of an order that no upstream answers.
var unanswered = kind{name: "unanswered", method: http.MethodPost, prefix: "/unanswered/"}

const (
	requestTimeout = 2500 * time.Millisecond
	routeHost      = "h.example"
	accountKey     = "key-1"
)

// outcomeQuarantined is the outcome of a request that was refused for its content.
const outcomeQuarantined = "quarantined"

// request is a request that a caller has sent.
type request struct {
	kind               kind
	method, path, body string
	sentAt             time.Time
	arrivals           int  // number of arrivals at upstreams, also of those that were rejected
	runs               int  // number of executions at upstreams
	notRun             bool // a response stated that the request has not run and will not run
}

// requestLog records the requests that callers sent, their outcomes and the violations found.
type requestLog struct {
	mu         sync.Mutex
	requests   map[string]*request // sent requests by request ID
	outcomes   map[string]int      // number of requests by kind and outcome
	repeats    []time.Time         // arrivals at upstreams beyond the first of each request
	violations []string
}

// recordArrival records that a request arrives at an upstream.
func (l *requestLog) recordArrival(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		if r.arrivals++; r.arrivals > 1 {
			l.repeats = append(l.repeats, time.Now())
		}
	}
}

// recordRun records that an upstream executes a request. It returns the request and whether a
// caller has sent it.
func (l *requestLog) recordRun(id string) (request, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return request{}, false
	}
	r.runs++
	if r.runs > 1 && !r.kind.idempotent {
		l.violations = append(l.violations, fmt.Sprintf("TWICE: %s %s ran %d times", r.kind.name, id, r.runs))
	}
	if r.notRun && !r.kind.idempotent {
		l.violations = append(l.violations, fmt.Sprintf("REFUSED: %s %s runs after its response stated that it would not run", r.kind.name, id))
	}
	return *r, true
}

// sentAt returns when a caller sent a request; the current time for a request that none sent.
func (l *requestLog) sentAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		return r.sentAt
	}
	return time.Now()
}

// recordNotRun records a response that states that the request has not run.
func (l *requestLog) recordNotRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	r.notRun = true
	if r.runs > 0 && !r.kind.idempotent {
		l.violations = append(l.violations, fmt.Sprintf("REFUSED: %s %s had run although its response states that it has not", r.kind.name, id))
	}
}

// violate records a violation.
func (l *requestLog) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// count counts the outcome of a request.
func (l *requestLog) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
}

// newClient returns an HTTP client without an idle timeout that keeps up to 4 idle connections to
// each entry host.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4,
	}}
}

// call sends one request to an address and checks the response. It returns the outcome: "served",
// an HTTP status code, "no answer", "broken off" or outcomeQuarantined.
func (d *deployment) call(ctx context.Context, client *http.Client, address string, k kind) string {
	id := fmt.Sprintf("r%d", d.nextID.Add(1))
	path := k.prefix + id + "?q=%2f"
	body := ""
	if k.method == http.MethodPost {
		body = "body of " + id
	}
	d.log.mu.Lock()
	d.log.requests[id] = &request{kind: k, method: k.method, path: path, body: body, sentAt: time.Now()}
	d.log.mu.Unlock()
	outcome := d.exchange(ctx, client, address, k, id, path, body)
	d.log.count(k.name + " " + outcome)
	return outcome
}

// exchange sends the given request once and returns its outcome. It records rejections that state
// that the request has not run.
func (d *deployment) exchange(ctx context.Context, client *http.Client, address string, k kind, id, path, body string) string {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		d.log.violate("BUG: building a request failed: %v", err)
		return "bad request"
	}
	req.GetBody = nil // prevents automatic retries by the HTTP client
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Tenant-Id", "forged")
	req.Header.Set(entryHeader, address)
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if k.prompt != "" {
		req.Header.Set("Prompt-Prefix", k.prompt)
		req.Header.Set("Token-Count", "100,10")
	}
	res, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = res.Body.Close() }()
	d.heard.record(address, res.Header)
	switch res.StatusCode {
	case http.StatusOK:
		return d.checkAnswer(res, k, id)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		d.log.recordNotRun(id)
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if !k.oneVersion || res.StatusCode != http.StatusNotFound {
			d.log.violate("DENIED: %s %s got %d of %s", k.name, id, res.StatusCode, address)
		}
	}
	if text, _ := io.ReadAll(res.Body); bytes.Contains(text, []byte("request_quarantined")) {
		return outcomeQuarantined
	}
	return fmt.Sprint(res.StatusCode)
}

// checkAnswer checks the seal header and the body or event stream of a response with status 200.
func (d *deployment) checkAnswer(res *http.Response, k kind, id string) string {
	if got := res.Header.Get("Response-Seal"); got != sealOf(id) {
		d.log.violate("MIXED: %s %s has seal %q", k.name, id, got)
	}
	if !k.streams {
		got, err := io.ReadAll(res.Body)
		if err != nil {
			return "broken off"
		}
		if string(got) != answerOf(id) {
			d.log.violate("MIXED: %s %s got %q", k.name, id, got)
		}
		return "served"
	}
	var got bytes.Buffer
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			got.WriteString(text + " ")
		}
	}
	want := ""
	for n := 1; n <= streamEvents; n++ {
		want += fmt.Sprintf("%d ", n)
	}
	switch {
	case !strings.HasPrefix(want, got.String()):
		d.log.violate("ORDER: %s got events %q", id, got.String())
	case lines.Err() != nil:
		return "broken off"
	case got.String() != want:
		d.log.violate("ORDER: %s ended without an error after events %q", id, got.String())
	}
	return "served"
}

// callUntil sends sequential requests until ctx ends. It selects a new random entry host only after
// a request that was not served, as callers do that cache an address.
func (d *deployment) callUntil(ctx context.Context, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	host := random.IntN(len(d.hosts))
	for ctx.Err() == nil {
		outcome := d.call(context.WithoutCancel(ctx), client, d.hosts[host].listen, kinds[random.IntN(len(kinds))])
		if outcome != "served" {
			host = random.IntN(len(d.hosts))
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}
