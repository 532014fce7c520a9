package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// limitWindow is the span over which the requests of a limited upstream are counted.
	limitWindow = 4 * time.Second
	// limitExcess and limitSlack bound the requests in a window: the limit times limitExcess, plus
	// limitSlack.
	limitExcess, limitSlack = 1.5, 5
	// toldSpan is the time after which the requests of a host that has heard the limit count.
	toldSpan = 500 * time.Millisecond
)

// limits holds the limits that upstreams name, by upstream, in requests per second; none without an
// entry.
type limits struct {
	mu    sync.Mutex
	rates map[string]float64
	told  map[[2]string]time.Time // by upstream and entry host: its first answer with a limit
}

func (l *limits) set(upstream string, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rates == nil {
		l.rates, l.told = map[string]float64{}, map[[2]string]time.Time{}
	}
	l.rates[upstream] = rate
}

func (l *limits) clear(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rates, upstream)
}

// header returns the header of an answer of an upstream to an entry host.
func (l *limits) header(upstream, entry string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, limited := l.rates[upstream]
	if !limited {
		return ""
	}
	if key := [2]string{upstream, entry}; l.told[key].IsZero() {
		l.told[key] = time.Now()
	}
	return "Server-Limit: " + strconv.FormatFloat(rate, 'f', -1, 64) + "\r\n"
}

// answer writes a stream whose head names the limit of the upstream.
func (l *limits) answer(u *simUpstream, r receivedRequest, conn net.Conn) bool {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n%s%s\r\n",
		r.Header.Get("Request-Id"), sealHeader, l.header(u.id, r.Header.Get(entryHeader)))
	writeChunk(conn, eventText(1))
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	return true
}

// windows returns the largest number of requests that reached an upstream in a window that began after a
// time: from hosts that had heard its limit, and from all hosts.
func (l *limits) windows(u *simUpstream, since time.Time) (told, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fromTold, fromAll []time.Time
	for _, a := range u.arrived() {
		if !a.at.After(since) {
			continue
		}
		fromAll = append(fromAll, a.at)
		if told := l.told[[2]string{u.id, a.entry}]; !told.IsZero() && a.at.Sub(told) >= toldSpan {
			fromTold = append(fromTold, a.at)
		}
	}
	return largestWindow(fromTold), largestWindow(fromAll)
}

// largestWindow returns the largest number of times within limitWindow.
func largestWindow(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	largest := 0
	for i, j := 0, 0; j < len(times); j++ {
		for times[j].Sub(times[i]) >= limitWindow {
			i++
		}
		largest = max(largest, j-i+1)
	}
	return largest
}

// maxInWindow returns the number of requests that an upstream with a limit may get in a window.
func maxInWindow(rate float64) int { return int(limitExcess*rate*limitWindow.Seconds() + limitSlack) }

// servedShare returns the share of the calls that were served.
func servedShare(calls []call) float64 {
	served := 0
	for _, c := range calls {
		if c.served() {
			served++
		}
	}
	return float64(served) / float64(max(1, len(calls)))
}

// TestUpstreamThatNamesALimit guards against a limit that an upstream names in its answers and that all hosts
// together exceed: one of four upstreams is limited, and callers must be served by the others.
func TestUpstreamThatNamesALimit(t *testing.T) {
	for _, n := range fleetSizes {
		for _, rate := range []float64{0, 1, 20} {
			t.Run(fmt.Sprintf("hosts=%d,limit=%v", n, rate), func(t *testing.T) {
				t.Parallel()
				var l limits
				f := newFleet(t, n, 4, l.answer)
				f.flood(300*time.Millisecond, 5*time.Millisecond)
				l.set("u0", rate)
				since := time.Now().Add(contactSpan)
				calls := f.flood(contactSpan+limitWindow+2*time.Second, 5*time.Millisecond)
				told, all := l.windows(f.upstreams[0], since)
				if told > maxInWindow(rate) {
					t.Errorf("the upstream got %d requests in %v, want at most %d", told, limitWindow, maxInWindow(rate))
				}
				if least := int(rate * limitWindow.Seconds() / 2); all < least {
					t.Errorf("the upstream got %d requests in %v, want at least %d: half of what its limit allows", all, limitWindow, least)
				}
				if share := servedShare(calls); share < 0.99 {
					t.Errorf("%.3f of the requests were served, want 0.99", share)
				}
			})
		}
	}
}

// TestAllUpstreamsNameALimit checks that requests beyond the sum of all limits are rejected at once with a
// time after which to retry, and that the limits are used.
func TestAllUpstreamsNameALimit(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			t.Parallel()
			const rate = 5
			var l limits
			f := newFleet(t, n, 4, l.answer)
			for _, u := range f.upstreams {
				l.set(u.id, rate)
			}
			since := time.Now().Add(contactSpan)
			calls := f.flood(contactSpan+limitWindow+2*time.Second, 5*time.Millisecond)
			for _, u := range f.upstreams {
				if told, all := l.windows(u, since); told > maxInWindow(rate) || all < rate*int(limitWindow.Seconds())/2 {
					t.Errorf("%s got %d requests in %v, %d of them from hosts that were told, want at most %d and at least half of the limit",
						u.id, all, limitWindow, told, maxInWindow(rate))
				}
			}
			checkRejectedAtOnce(t, calls)
		})
	}
}

// checkRejectedAtOnce checks that the calls that were not served were rejected soon and with a time after which to
// retry.
func checkRejectedAtOnce(t *testing.T, calls []call) {
	rejected := 0
	for _, c := range calls {
		if c.served() {
			continue
		}
		rejected++
		if c.status != http.StatusTooManyRequests && c.status != http.StatusServiceUnavailable || c.header.Get("Retry-After") == "" || c.took > time.Second {
			t.Fatalf("a request that was not served got status %d, error %v after %v, headers %v", c.status, c.err, c.took, c.header)
		}
	}
	if rejected == 0 {
		t.Error("no request was rejected")
	}
}

// TestLimitEnds checks that an upstream gets its share of the requests again after its answers name no limit any
// more.
func TestLimitEnds(t *testing.T) {
	var l limits
	f := newFleet(t, 4, 4, l.answer)
	l.set("u0", 1)
	f.flood(3*time.Second, 5*time.Millisecond)
	l.clear("u0")
	ended := time.Now()
	f.flood(8*time.Second, 5*time.Millisecond)
	late := 0
	for _, a := range f.upstreams[0].arrived() {
		if a.at.Sub(ended) > 6*time.Second {
			late++
		}
	}
	if late < 20 {
		t.Errorf("the upstream got %d requests in the two seconds that began 6 s after the end of its limit, want at least 20", late)
	}
}
