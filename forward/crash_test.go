package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/quarantine"
)

const (
	crashUpstreams = 12
	// crashDowntime is how long an upstream is down after a crash.
	crashDowntime = 300 * time.Millisecond
	// poisonPart is the prompt part that crashes every upstream that begins an answer on it.
	poisonPart = "dead"
)

// crashingUpstream is an upstream that crashes when it begins an answer to a request
// whose prompt contains poisonPart. It is back after crashDowntime.
type crashingUpstream struct {
	address string
	onCrash func() // called before a crash; may be nil

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	runs     map[string]int // answers begun, by "poison" or "sound"
}

func startCrashingUpstream(t *testing.T) *crashingUpstream {
	t.Helper()
	u := &crashingUpstream{conns: map[net.Conn]bool{}, runs: map[string]int{}, address: "127.0.0.1:0"}
	if err := u.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.stop)
	return u
}

// start opens the listener; after the first start at the address of that start.
func (u *crashingUpstream) start() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listener, u.address = listener, listener.Addr().String()
	go acceptConns(listener, func(conn net.Conn) {
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		go u.serve(conn)
	})
	return nil
}

// acceptConns calls accepted with each connection until the listener is closed.
func acceptConns(listener net.Listener, accepted func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted(conn)
	}
}

// stop closes the listener and all connections, as the end of a process does.
func (u *crashingUpstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.listener.Close()
	for conn := range u.conns {
		_ = conn.Close()
	}
	clear(u.conns)
}

func (u *crashingUpstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		writeStreamHead(conn, receivedRequest{Request: req})
		if strings.Contains(req.Header.Get("Prompt-Prefix"), poisonPart+":") {
			u.count("poison")
			if u.onCrash != nil {
				u.onCrash()
			}
			u.stop()
			time.AfterFunc(crashDowntime, func() { _ = u.start() })
			return
		}
		u.count("sound")
		writeChunk(conn, eventText(1)+eventText(2))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

func (u *crashingUpstream) count(kind string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[kind]++
}

// newCrashFixture returns a fixture with crashingUpstreams.
func newCrashFixture(t *testing.T) (*fixture, []*crashingUpstream) {
	t.Helper()
	f := newFixture(t, func(int, receivedRequest, net.Conn) {})
	upstreams := make([]*crashingUpstream, crashUpstreams)
	list := make([]hosts.Host, crashUpstreams)
	for i := range upstreams {
		upstreams[i] = startCrashingUpstream(t)
		list[i] = hosts.Host{
			ID: fmt.Sprintf("c%d", i), Address: upstreams[i].address, FailureDomain: "d", Pool: "p", State: hosts.StateLive, Slots: 8, StartedMS: 1,
		}
	}
	f.setUpstreams(list)
	return f, upstreams
}

func runsOf(upstreams []*crashingUpstream, kind string) int {
	total := 0
	for _, u := range upstreams {
		u.mu.Lock()
		total += u.runs[kind]
		u.mu.Unlock()
	}
	return total
}

// maxPoisonRuns is the number of requests with a poison part that may reach upstreams in
// total: five crashes, then three more.
const maxPoisonRuns = 5 + 3

// TestPromptPartThatCrashesUpstreams guards against crashes that follow a prompt part:
// requests with the part, no two alike, must stop reaching upstreams, while requests of
// the same account with the same first part are served.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	f, upstreams := newCrashFixture(t)
	const pairs = 30
	served := 0
	for i := range pairs {
		own := fmt.Sprintf("%x:20", 0xabc000+i)
		_, _, _, _ = f.send(t, fmt.Sprintf("/resume/poison/%d", i), fmt.Sprint("b", i), "Request-Id", fmt.Sprint("d", i),
			"Token-Count", "150,5", "Prompt-Prefix", "f1:100,"+poisonPart+":30,"+own)
		if status, _, _, err := f.send(t, fmt.Sprintf("/resume/sound/%d", i), fmt.Sprint("b", i), "Request-Id", fmt.Sprint("s", i),
			"Token-Count", "120,5", "Prompt-Prefix", "f1:100,"+own); err == nil && status == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := runsOf(upstreams, "poison"); got > maxPoisonRuns {
		t.Errorf("%d requests with the poison part reached upstreams, want at most %d", got, maxPoisonRuns)
	}
	if served < pairs*9/10 {
		t.Errorf("%d of %d sound requests were served, want at least nine in ten", served, pairs)
	}
}

// TestBrokenAnswerOfLiveUpstreamIsNoCrash guards against taking a connection that closes after the
// head of an answer for a crash: the upstream still accepts connections, so the request is
// sent again and its content stays allowed.
func TestBrokenAnswerOfLiveUpstreamIsNoCrash(t *testing.T) {
	f := newFixture(t, func(n int, r receivedRequest, conn net.Conn) {
		writeStreamHead(conn, r)
		if n%2 == 1 {
			writeChunk(conn, eventText(1))
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	for i := range 4 {
		status, _, _, err := f.send(t, "/resume/x", "b", "Token-Count", "150,5", "Prompt-Prefix", "f1:100,f2:30,f3:20")
		if err != nil || status != http.StatusOK {
			t.Errorf("request %d: got status %d and error %v, want 200", i, status, err)
		}
	}
}

// TestLeavingUpstreamIsNoCrash checks that upstreams that end after they were listed as leaving are
// no evidence against the requests that they had.
func TestLeavingUpstreamIsNoCrash(t *testing.T) {
	f, upstreams := newCrashFixture(t)
	listed := f.snapshot.Load().Hosts
	leaving := make([]hosts.Host, len(listed))
	for i, h := range listed {
		leaving[i] = h
		leaving[i].State = hosts.StateLeaving
	}
	for i := range 4 {
		f.setUpstreams(listed)
		for _, u := range upstreams {
			u.onCrash = func() { f.setUpstreams(leaving) }
		}
		_, body, _, _ := f.send(t, fmt.Sprintf("/stream/%d", i), "b", "Token-Count", "150,5", "Prompt-Prefix", "f1:100,"+poisonPart+":30,f3:20")
		if strings.Contains(body, "request_quarantined") {
			t.Errorf("request %d is refused because of its content", i)
		}
	}
}

// TestWaitingRequestsAreWithdrawn checks that requests with poison content that wait at upstreams when
// the content is quarantined are taken back, so that they crash no further upstream.
func TestWaitingRequestsAreWithdrawn(t *testing.T) {
	dropped := make(chan struct{}, 1)
	arrived := make(chan struct{}, 1)
	f := newFixture(t, func(_ int, _ receivedRequest, conn net.Conn) {
		arrived <- struct{}{}
		_, _ = conn.Read(make([]byte, 1)) // until the forwarder closes the connection
		dropped <- struct{}{}
	})
	part, err := strconv.ParseUint(poisonPart, 16, 64)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-arrived
		f.Withdraw(quarantine.Set{Keys: []quarantine.Key{quarantine.Key(part)}})
	}()
	started := time.Now()
	status, body, _, err := f.send(t, "/resume/x", "b", "Token-Count", "150,5", "Prompt-Prefix", "f1:100,"+poisonPart+":30,f3:20")
	if err != nil || status != http.StatusBadGateway {
		t.Errorf("got status %d, body %s and error %v, want 502", status, body, err)
	}
	if took := time.Since(started); took > requestTimeout/2 {
		t.Errorf("the answer took %v, want it at once", took)
	}
	<-dropped
	if n := len(f.receivedRequests()); n != 1 {
		t.Errorf("upstreams received %d requests, want 1", n)
	}
}

// TestRequestThatPanicsClosesItsConnection checks that a panic in the handling of a request is counted
// and ends that request only.
func TestRequestThatPanicsClosesItsConnection(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, sealHeader, "ok") })
	f.limitsPanic.Store(true)
	if _, _, _, err := f.send(t, "/order/x", "b"); err == nil {
		t.Error("the request that panicked got an answer")
	}
	f.limitsPanic.Store(false)
	if status, _, _, err := f.send(t, "/order/x", "b"); err != nil || status != http.StatusOK {
		t.Errorf("next request: got status %d and error %v, want 200", status, err)
	}
	if active := f.Active(); active != 0 {
		t.Errorf("%d requests count as active, want 0", active)
	}
}

// TestServerErrorOfQuarantinedContentIsRelayed checks that an upstream's error answer reaches the caller if
// the request must not be repeated because its content was quarantined meanwhile.
func TestServerErrorOfQuarantinedContentIsRelayed(t *testing.T) {
	part, err := strconv.ParseUint(poisonPart, 16, 64)
	if err != nil {
		t.Fatal(err)
	}
	var f *fixture
	f = newFixture(t, func(_ int, r receivedRequest, conn net.Conn) {
		for upstream := range uint64(2) {
			f.Crashes.Add(quarantine.Crash{
				Upstream: upstream, At: time.Now(), Begun: true, Keys: []quarantine.Key{quarantine.Key(1000 + upstream), quarantine.Key(part)},
			})
		}
		writeAnswer(conn, r, 500, sealHeader, "upstream body")
	})
	status, body, _, err := f.send(t, "/read/x", "b", "Token-Count", "150,5", "Prompt-Prefix", "f1:100,"+poisonPart+":30,f3:20")
	if err != nil || status != http.StatusInternalServerError || body != "upstream body" {
		t.Errorf("got status %d, body %q and error %v, want the upstream's 500", status, body, err)
	}
	if n := len(f.receivedRequests()); n != 1 {
		t.Errorf("upstreams received %d requests, want 1", n)
	}
}

// TestBrokenHeadsQuarantineNothing guards against sound requests that are refused, like those that crash upstreams, because
// upstreams that go on working answer them with broken heads.
func TestBrokenHeadsQuarantineNothing(t *testing.T) {
	f := newFixture(t, func(_ int, _ receivedRequest, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")
	})
	for range 8 {
		if status, body, _, err := f.send(t, "/order/x", "b"); err != nil || status != http.StatusBadGateway {
			t.Errorf("got status %d, body %q and error %v, want 502", status, body, err)
		}
		time.Sleep(300 * time.Millisecond) // for the check of the upstream, and beyond simultaneous losses
	}
}
