package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// entryHeader names the entry host to which a caller sent a request, and upstreamHeader the
	// upstream that answered.
	entryHeader, upstreamHeader = "X-Entry", "X-Upstream"
	leavingHeader               = "Server-Leaving"
	limitHeader                 = "Server-Limit"
	// pauseStart is the time after a rejection from which the pause that it names binds the host,
	// and maxInPause the number of requests of the host that may reach the upstream until its end.
	pauseStart, maxInPause = 500 * time.Millisecond, 2
	// answerMargin is how long an answer takes to a host that still waits for it.
	answerMargin = 100 * time.Millisecond
	// leavingSpan is how long an upstream serves after it began to announce that it leaves.
	leavingSpan = 4 * time.Second
)

// heardNotices records when entry hosts first passed on an answer in which an upstream announced that it
// leaves, or named a limit.
type heardNotices struct {
	mu sync.Mutex
	at map[[3]string]time.Time // by header, entry host and upstream
}

// record records the announcements in an answer that a caller received through an entry host.
func (n *heardNotices) record(entry string, h http.Header) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, header := range []string{leavingHeader, limitHeader} {
		key := [3]string{header, entry, h.Get(upstreamHeader)}
		if h.Get(header) == "" || !n.at[key].IsZero() {
			continue
		}
		if n.at == nil {
			n.at = map[[3]string]time.Time{}
		}
		n.at[key] = time.Now()
	}
}

// heardAt returns when an entry host first passed on an answer of an upstream with a header; zero if
// never.
func (n *heardNotices) heardAt(header, entry, upstream string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.at[[3]string{header, entry, upstream}]
}

// disturb records that the host's process was paused, stopped or started.
func (h *host) disturb() { h.disturbedAt.Store(time.Now().UnixNano()) }

// disturbedSince reports whether an entry host was disturbed after a time.
func (d *deployment) disturbedSince(entry string, since time.Time) bool {
	for _, h := range d.hosts {
		if h.listen == entry {
			return h.disturbedAt.Load() > since.UnixNano()
		}
	}
	return true
}

// pause is the time in which an upstream wants no requests of one entry host.
type pause struct {
	from, until time.Time
	arrived     int // requests between from and until
}

// rejectForPause rejects a request, which its caller sent at the given time, if the upstream wants a pause from
// the entry host and has not told it so yet. A host that has given up the request would not hear it.
func (u *upstream) rejectForPause(w http.ResponseWriter, entry string, sentAt time.Time) bool {
	span := time.Duration(u.pauseSpan.Load())
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pauses[entry]; span == 0 || p != nil && time.Now().Before(p.until) || time.Since(sentAt) > requestTimeout-answerMargin {
		return false
	}
	if u.d.disturbedSince(entry, sentAt) { // the process that sent the request may be gone, and its successor hears no pause
		return false
	}
	if u.pauses == nil {
		u.pauses = map[string]*pause{}
	}
	u.pauses[entry] = &pause{from: time.Now(), until: time.Now().Add(span)}
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(span.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// checkAnnouncements checks a request that has arrived against what the upstream has announced to the entry
// host before.
func (u *upstream) checkAnnouncements(r *http.Request, sentAt time.Time) {
	entry := r.Header.Get(entryHeader)
	if heard := u.d.heard.heardAt(leavingHeader, entry, u.id); !heard.IsZero() && sentAt.Sub(heard) > applySpan && !u.d.disturbedSince(entry, heard) {
		u.d.log.violate("DRAIN: %s reached %s, sent %v after %s had passed on that it leaves", r.Header.Get("Request-Id"), u.id, sentAt.Sub(heard), entry)
	}
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pauses[entry]
	if p == nil || now.Sub(p.from) < pauseStart || now.After(p.until) || u.d.disturbedSince(entry, p.from) || u.proxy.disturbedSince(p.from) {
		return
	}
	if p.arrived++; p.arrived > maxInPause {
		u.d.log.violate("BUDGET: %s is request %d of %s that reached %s in its pause", r.Header.Get("Request-Id"), p.arrived, entry, u.id)
	}
}

const (
	// limitWindow is the span over which the requests of a limited upstream are counted, and limitExcess
	// and limitSlack bound them: the limit times limitExcess, plus limitSlack.
	limitWindow             = 4 * time.Second
	limitExcess, limitSlack = 1.5, 5
	// toldSpan is the time after which the requests of a host that has heard the limit count.
	toldSpan = 500 * time.Millisecond
	// limitSpan is how long an upstream names a limit.
	limitSpan = contactSpan + limitWindow + time.Second
)

// namedLimit is the limit that an upstream names in its answers.
type namedLimit struct {
	rate    float64 // requests per second; zero for no limit
	from    time.Time
	counted []time.Time // arrivals from hosts that had heard the limit
}

// checkLimit checks a request that has arrived against the limit that the upstream names, and names it in
// the answer. A new upstream names one under a new id, so that no answer of before counts.
func (u *upstream) checkLimit(w http.ResponseWriter, entry string) {
	heard := u.d.heard.heardAt(limitHeader, entry, u.id)
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit.rate == 0 {
		return
	}
	w.Header().Set(limitHeader, strconv.FormatFloat(u.limit.rate, 'f', -1, 64))
	if heard.IsZero() || now.Sub(heard) < toldSpan || now.Sub(u.limit.from) < contactSpan ||
		u.d.disturbedSince(entry, now.Add(-limitWindow-contactSpan)) || u.proxy.disturbedSince(now.Add(-limitWindow)) {
		return
	}
	u.limit.counted = append(u.limit.counted, now)
	n := 0
	for _, at := range u.limit.counted {
		if now.Sub(at) < limitWindow {
			n++
		}
	}
	if bound := int(limitExcess*u.limit.rate*limitWindow.Seconds() + limitSlack); n > bound {
		u.d.log.violate("LIMIT: %s got %d requests in %v, its limit of %v a second allows %d", u.id, n, limitWindow, u.limit.rate, bound)
	}
}

// nameLimit lets the upstream name a limit from now on.
func (u *upstream) nameLimit(rate float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = namedLimit{rate: rate, from: time.Now()}
}

// pauseFor lets the upstream reject requests with a pause for a span.
func (u *upstream) pauseFor(pause, span time.Duration) {
	u.pauseSpan.Store(int64(pause))
	time.Sleep(span)
	u.pauseSpan.Store(0)
}

// wayOfEnding is how an upstream ends while it runs a request.
type wayOfEnding struct {
	name   string
	events int // events of the stream before the end
	end    func(u *upstream)
}

// waysOfEnding are the ways in which a fatal request ends upstreams.
var waysOfEnding = []wayOfEnding{
	{"refuses", 0, func(u *upstream) { u.proxy.refuse(crashDowntime) }},
	{"returns", 0, func(u *upstream) { u.proxy.reset() }},
	{"silent", 0, func(u *upstream) {
		u.proxy.impair(impairment{blockTo: true, blockFrom: true})
		time.Sleep(silentSpan)
		u.proxy.reset()
		u.proxy.impair(impairment{})
	}},
	{"after-events", 2, func(u *upstream) { u.proxy.reset() }},
}

// moves is a way of ending after which the upstream is back at once, listed at another address.
var moves = wayOfEnding{"moves", 0, func(u *upstream) {
	if err := u.proxy.move(); err == nil {
		u.born.Store(time.Now().UnixMilli())
	}
}}

const (
	// silentSpan is how long an upstream that ends silently sends nothing.
	silentSpan = 900 * time.Millisecond
	// fatalPrefix starts the paths of requests that end the upstreams that run them.
	fatalPrefix = "/resume/fatal-"
	// maxRetriesAfterThirdEnd is the number of fatal requests that may reach upstreams later than
	// contactSpan after a request ended its third upstream.
	maxRetriesAfterThirdEnd = 3
)

// fatalRuns records the times at which fatal requests reached upstreams, by path.
type fatalRuns struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

func (f *fatalRuns) add(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs == nil {
		f.runs = map[string][]time.Time{}
	}
	f.runs[path] = append(f.runs[path], time.Now())
}

func (f *fatalRuns) of(path string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[path]
}

// endOn begins the answer to a fatal request and ends the upstream.
func (u *upstream) endOn(w http.ResponseWriter, r *http.Request, way wayOfEnding) {
	u.d.fatal.add(r.URL.Path)
	if way.events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= way.events; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, answerOf(r.Header.Get("Request-Id")))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventInterval)
		}
	}
	way.end(u)
	panic(http.ErrAbortHandler)
}
