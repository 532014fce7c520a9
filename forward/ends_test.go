package forward_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxRetriesAfterThirdEnd is the number of requests that may reach upstreams later than contactSpan
// after a request ended its third upstream.
const maxRetriesAfterThirdEnd = 3

// fatalPath starts the paths of requests that end the upstreams that run them.
const fatalPath = "/resume/fatal"

// playFatalRequest sends one request, which ends each upstream that runs it, again and again to all
// hosts in turn, beside sound requests. begin writes what the upstream sends before it ends, and end
// ends it. It checks how many requests reach upstreams once every host must know, that the sound
// requests are served from then on, and that none is ever refused for its content.
func playFatalRequest(t *testing.T, entryHosts int, begin func(r receivedRequest, conn net.Conn), end func(f *fleet, u *simUpstream)) {
	const upstreams, pause, span = 12, 50 * time.Millisecond, contactSpan + 2*time.Second
	var f *fleet
	f = newFleet(t, entryHosts, upstreams, func(u *simUpstream, r receivedRequest, conn net.Conn) bool {
		if strings.HasPrefix(r.URL.Path, fatalPath) {
			begin(r, conn)
			end(f, u)
			return false
		}
		answerStream(conn, r, 2)
		return true
	})
	var calls sync.WaitGroup
	var mu sync.Mutex
	var sound []call
	began := time.Now()
	for i := 0; time.Since(began) < span+silentSpan; i++ {
		h := f.hosts[i%len(f.hosts)]
		calls.Go(func() { f.call(h, fatalPath, "same body") })
		calls.Go(func() {
			c := f.call(h, fmt.Sprintf("/resume/sound/%d", i), "b")
			mu.Lock()
			defer mu.Unlock()
			sound = append(sound, c)
		})
		time.Sleep(pause)
	}
	calls.Wait()
	ends, fatal := f.endsAndArrivals(fatalPath)
	if len(ends) < 3 {
		t.Fatalf("%d upstreams ended, want at least 3", len(ends))
	}
	bound := ends[2].Add(contactSpan)
	late := 0
	for _, at := range fatal {
		if at.After(bound) {
			late++
		}
	}
	if late > maxRetriesAfterThirdEnd {
		t.Errorf("%d requests reached upstreams later than %v after the third upstream ended, want at most %d; %d ended in all",
			late, contactSpan, maxRetriesAfterThirdEnd, len(ends))
	}
	checkSoundCalls(t, sound, bound)
	t.Logf("%d sends, %d ends", len(fatal), len(ends))
}

// endsAndArrivals returns, in order, when upstreams ended and when requests with the given path reached upstreams.
func (f *fleet) endsAndArrivals(path string) (ends, arrivals []time.Time) {
	for _, u := range f.upstreams {
		u.mu.Lock()
		ends = append(ends, u.ends...)
		u.mu.Unlock()
		for _, a := range u.arrived() {
			if a.path == path {
				arrivals = append(arrivals, a.at)
			}
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	slices.SortFunc(arrivals, time.Time.Compare)
	return ends, arrivals
}

// checkSoundCalls checks that no sound request was refused for its content, and that those that began
// after the bound were served.
func checkSoundCalls(t *testing.T, sound []call, bound time.Time) {
	late, served := 0, 0
	for _, c := range sound {
		if strings.Contains(c.body, "request_quarantined") {
			t.Fatal("a sound request was refused for its content")
		}
		if c.startAt.Before(bound) {
			continue
		}
		if late++; c.served() {
			served++
		}
	}
	if late == 0 || served < late*19/20 {
		t.Errorf("%d of %d sound requests were served later than %v after the third upstream ended, want 19 in 20", served, late, contactSpan)
	}
}

// playFatalRequests runs playFatalRequest with each number of entry hosts.
func playFatalRequests(t *testing.T, begin func(r receivedRequest, conn net.Conn), end func(f *fleet, u *simUpstream)) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			t.Parallel()
			playFatalRequest(t, n, begin, end)
		})
	}
}

func writeNothing(receivedRequest, net.Conn) {}

// TestRequestThatEndsUpstreamsThatReturn guards against evidence that hangs on one way of ending:
// processes that are silent for a while, that accept connections again at once, or whose records in the
// list change were no evidence, so that the request that ended them was sent without bound.
func TestRequestThatEndsUpstreamsThatReturn(t *testing.T) {
	for name, c := range map[string]struct {
		begin func(r receivedRequest, conn net.Conn)
		end   func(f *fleet, u *simUpstream)
	}{
		"refuses connections":              {writeNothing, endAndRefuse},
		"silent, then back":                {writeNothing, endSilently},
		"accepts connections at once":      {writeNothing, endAndReturn},
		"listed at another address":        {writeNothing, endAndMove},
		"listed under another id":          {writeNothing, endAndReplace},
		"within the head":                  {func(_ receivedRequest, conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nRequest") }, endAndReturn},
		"between the head and first event": {func(r receivedRequest, conn net.Conn) { writeStreamHead(conn, r) }, endAndReturn},
		"within the first event": {func(r receivedRequest, conn net.Conn) {
			writeStreamHead(conn, r)
			writeChunk(conn, "id: 1\nda")
		}, endAndReturn},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playFatalRequests(t, c.begin, c.end)
		})
	}
}

// TestRequestThatEndsUpstreamsWithinALongAnswer is TestRequestThatEndsUpstreamsAfterEvents for an answer that
// is no stream and of which a part was relayed before the upstream ended.
func TestRequestThatEndsUpstreamsWithinALongAnswer(t *testing.T) {
	playFatalRequests(t, func(r receivedRequest, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 404 X\r\nRequest-Id: %s\r\nContent-Length: 100000\r\n%s\r\n%s",
			r.Header.Get("Request-Id"), sealHeader, strings.Repeat("x", 50000))
		time.Sleep(20 * time.Millisecond)
	}, endAndReturn)
}

// TestRequestThatEndsUpstreamsAfterEvents guards against a request that counts as harmless from the first
// events of its stream on, although the upstream ends before the stream does.
func TestRequestThatEndsUpstreamsAfterEvents(t *testing.T) {
	for name, c := range map[string]struct {
		events int
		pause  time.Duration
		end    func(f *fleet, u *simUpstream)
	}{
		"after the first event, back at once": {1, 20 * time.Millisecond, endAndReturn},
		"after the first event, refuses":      {1, 20 * time.Millisecond, endAndRefuse},
		"after the first event, silent":       {1, 20 * time.Millisecond, endSilently},
		"after several events, back at once":  {4, 60 * time.Millisecond, endAndReturn},
		"after several events, refuses":       {4, 60 * time.Millisecond, endAndRefuse},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playFatalRequests(t, func(r receivedRequest, conn net.Conn) {
				writeStreamHead(conn, r)
				for id := 1; id <= c.events; id++ {
					writeChunk(conn, eventText(id))
					time.Sleep(c.pause)
				}
			}, c.end)
		})
	}
}

// TestRequestThatEndsUpstreamsForLongerThanItsTime guards against evidence that is dropped with the request: its
// time ended, or its caller left, before the upstream was known to have ended.
func TestRequestThatEndsUpstreamsForLongerThanItsTime(t *testing.T) {
	for name, end := range map[string]func(f *fleet, u *simUpstream){
		"silent": endOutlasting, "refuses connections": endOutlastingAndRefuse, "its record expires": endAndExpire,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playFatalRequests(t, writeNothing, end)
		})
	}
}
