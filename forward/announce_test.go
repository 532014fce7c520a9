package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/hosts"
)

// drainSpan is the time after an announcement within which requests may still reach the upstream
// that leaves.
const drainSpan = 2 * time.Second

const leavingHeader = "Server-Leaving: 1\r\n"

// flood sends requests to all hosts in turn for a span, with a pause between two of them, and returns
// the results.
func (f *fleet) flood(span, pause time.Duration) []call {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var out []call
	for i, began := 0, time.Now(); time.Since(began) < span; i++ {
		h := f.hosts[i%len(f.hosts)]
		calls.Go(func() {
			c := f.call(h, fmt.Sprintf("/resume/%d", i), "b")
			mu.Lock()
			defer mu.Unlock()
			out = append(out, c)
		})
		time.Sleep(pause)
	}
	calls.Wait()
	return out
}

// TestUpstreamThatLeavesByItsAnswers guards against requests for an upstream that announces in its
// answers that it leaves, while its record in the list stays live: each host must act on the
// answers it has passed on, also if it reaches no other host.
func TestUpstreamThatLeavesByItsAnswers(t *testing.T) {
	for name, answer := range map[string]simAnswer{
		"in the head of a stream": func(_ *simUpstream, r receivedRequest, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n%s%s\r\n", r.Header.Get("Request-Id"), sealHeader, leavingHeader)
			writeChunk(conn, eventText(1))
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return true
		},
		"in an error": func(_ *simUpstream, r receivedRequest, conn net.Conn) bool {
			writeAnswer(conn, r, http.StatusInternalServerError, sealHeader+leavingHeader, "failed")
			return true
		},
		"in a rejection": func(_ *simUpstream, r receivedRequest, conn net.Conn) bool {
			writeAnswer(conn, r, http.StatusServiceUnavailable, "Not-Executed: 1\r\n"+leavingHeader, "")
			return true
		},
	} {
		for _, n := range fleetSizes {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/hosts=%d,cut=%v", name, n, cut), func(t *testing.T) {
					t.Parallel()
					playLeaving(t, n, cut, answer)
				})
			}
		}
	}
}

// playLeaving lets the first of four upstreams announce in its answers that it leaves, and checks when
// requests reach it.
func playLeaving(t *testing.T, entryHosts int, cut bool, announce simAnswer) {
	var leaves atomic.Bool
	f := newFleet(t, entryHosts, 4, func(u *simUpstream, r receivedRequest, conn net.Conn) bool {
		if u.id == "u0" && leaves.Load() {
			return announce(u, r, conn)
		}
		answerStream(conn, r, 2)
		return true
	})
	if cut {
		f.cutPeers()
	}
	f.flood(300*time.Millisecond, 5*time.Millisecond)
	leaves.Store(true)
	leftAt := time.Now()
	calls := f.flood(contactSpan+time.Second, 5*time.Millisecond)
	first := map[string]time.Time{} // by host: its first answer with the announcement
	for _, a := range f.upstreams[0].arrived() {
		if a.at.Before(leftAt) {
			continue
		}
		at, told := first[a.entry]
		switch {
		case !told:
			first[a.entry] = a.at
		case a.at.Sub(at) > drainSpan:
			t.Fatalf("host %s sent a request %v after an answer had announced that the upstream leaves, bound %v", a.entry, a.at.Sub(at), drainSpan)
		}
		if !cut && a.at.Sub(leftAt) > contactSpan {
			t.Fatalf("host %s sent a request %v after the upstream had begun to leave", a.entry, a.at.Sub(leftAt))
		}
	}
	if len(first) == 0 {
		t.Fatal("no request reached the upstream that leaves")
	}
	served := 0
	for _, c := range calls {
		if c.served() {
			served++
		}
	}
	if served < len(calls)*9/10 {
		t.Errorf("%d of %d requests were served, want at least nine in ten", served, len(calls))
	}
}

const (
	// rejectionPause is the time for which a rejecting upstream wants no requests.
	rejectionPause = 1500 * time.Millisecond
	// pauseStart is the time after a rejection from which its pause binds.
	pauseStart = 500 * time.Millisecond
	// maxInPause is the number of requests that may reach an upstream in its pause from one host.
	maxInPause = 2
)

// TestPauseOfRejectingUpstream guards against requests that a host sends to an upstream in the time for which
// the upstream has told this host, in a rejection with status 503, that it wants none.
func TestPauseOfRejectingUpstream(t *testing.T) {
	for name, headers := range map[string]string{"not run": "Not-Executed: 1\r\n", "perhaps run": sealHeader} {
		for _, n := range fleetSizes {
			t.Run(fmt.Sprintf("%s/hosts=%d", name, n), func(t *testing.T) {
				t.Parallel()
				playPause(t, n, headers)
			})
		}
	}
}

// playPause lets the first of four upstreams reject one request of each host with a pause.
func playPause(t *testing.T, entryHosts int, headers string) {
	var mu sync.Mutex
	rejected := map[string]time.Time{} // by host
	f := newFleet(t, entryHosts, 4, func(u *simUpstream, r receivedRequest, conn net.Conn) bool {
		mu.Lock()
		_, known := rejected[r.Header.Get(entryHeader)]
		reject := u.id == "u0" && !known
		if reject {
			rejected[r.Header.Get(entryHeader)] = time.Now()
		}
		mu.Unlock()
		if reject {
			writeAnswer(conn, r, http.StatusServiceUnavailable, headers+fmt.Sprintf("Retry-After: %.1f\r\n", rejectionPause.Seconds()), "")
			return true
		}
		answerStream(conn, r, 2)
		return true
	})
	f.flood(3*time.Second, time.Millisecond)
	during, after := map[string]int{}, 0
	for _, a := range f.upstreams[0].arrived() {
		switch since := a.at.Sub(rejected[a.entry]); {
		case since > rejectionPause:
			after++
		case since > pauseStart:
			during[a.entry]++
		}
	}
	for entry, n := range during {
		if n > maxInPause {
			t.Errorf("%d requests of host %s reached the upstream in its pause, want at most %d", n, entry, maxInPause)
			break
		}
	}
	if len(rejected) < entryHosts/2 || after == 0 {
		t.Errorf("%d hosts were rejected and %d requests reached the upstream after its pause, want some", len(rejected), after)
	}
}

// TestAllUpstreamsPause checks that a request is rejected at once, with the time until the first pause ends,
// if no upstream wants requests from this host.
func TestAllUpstreamsPause(t *testing.T) {
	f := newFleet(t, 1, 4, func(_ *simUpstream, r receivedRequest, conn net.Conn) bool {
		writeAnswer(conn, r, http.StatusServiceUnavailable, "Not-Executed: 1\r\nRetry-After: 1.5\r\n", "")
		return true
	})
	for range 4 {
		f.call(f.hosts[0], "/read/x", "b")
	}
	before := f.arrivals()
	c := f.call(f.hosts[0], "/read/x", "b")
	wait, err := strconv.ParseFloat(c.header.Get("Retry-After"), 64)
	if err != nil || c.status != http.StatusTooManyRequests || !strings.Contains(c.body, `"not_run"`) {
		t.Fatalf("got status %d, headers %v, body %s, want 429 with Retry-After", c.status, c.header, c.body)
	}
	if wait < 1 || wait > 2.5 {
		t.Errorf("Retry-After is %v s, want the rest of 1.5 s and some jitter", wait)
	}
	if c.took > 200*time.Millisecond {
		t.Errorf("the rejection took %v, want it at once", c.took)
	}
	if got := f.arrivals(); got != before {
		t.Errorf("%d requests reached upstreams in their pause", got-before)
	}
}

// arrivals returns the number of requests that reached upstreams.
func (f *fleet) arrivals() int {
	total := 0
	for _, u := range f.upstreams {
		total += len(u.arrived())
	}
	return total
}

// TestListChangesBetweenChoiceAndSending guards against a request for an upstream that the list shows as leaving
// since the upstream was chosen: while a connection is opened, the list may change.
func TestListChangesBetweenChoiceAndSending(t *testing.T) {
	f := newFixture(t, func(_ int, r receivedRequest, conn net.Conn) { writeAnswer(conn, r, 200, sealHeader, "ok") })
	listed := f.snapshot.Load().Hosts
	onlyFirst := []hosts.Host{listed[0], listed[1]}
	onlyFirst[1].State = hosts.StateLeaving
	onlySecond := []hosts.Host{listed[0], listed[1]}
	onlySecond[0].State = hosts.StateLeaving
	f.setUpstreams(onlyFirst)
	f.onChoice = func() { f.setUpstreams(onlySecond) }
	status, _, _, err := f.send(t, "/read/x", "b", "Token-Count", "1500,5", "Prompt-Prefix", "f1:1000,f2:500")
	if err != nil || status != http.StatusOK {
		t.Errorf("got status %d and error %v, want 200", status, err)
	}
	if got := f.receivedRequests(); len(got) != 1 || got[0].upstream != listed[1].ID {
		t.Errorf("upstreams received %d requests, the first one at %s, want 1 at %s", len(got), got[0].upstream, listed[1].ID)
	}
}

// TestAnnouncementOfAnotherUpstream guards against closing an upstream for what another one announces at its former
// address, which rejects requests that are meant for the former.
func TestAnnouncementOfAnotherUpstream(t *testing.T) {
	f := newFixture(t, func(n int, r receivedRequest, conn net.Conn) {
		if n < 2 {
			writeAnswer(conn, r, http.StatusMisdirectedRequest, "Not-Executed: 1\r\n"+leavingHeader, "")
			return
		}
		writeAnswer(conn, r, 200, sealHeader, "ok")
	})
	_, _, _, _ = f.send(t, "/read/x", "b")
	if status, body, _, err := f.send(t, "/read/x", "b"); err != nil || status != http.StatusOK {
		t.Errorf("got status %d, body %s and error %v, want 200", status, body, err)
	}
}
