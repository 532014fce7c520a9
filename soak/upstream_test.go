package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamompier/cardamompier/kv"
)

// These failure modes define what an upstream does with a request.
const (
	healthy = iota
	// losesAnswers executes requests and closes the connection without a response.
	losesAnswers
	// answersErrors executes requests and returns status 500.
	answersErrors
	// answersRejections executes requests and answers with a status that states the opposite, without the header for it.
	answersRejections
)

const (
	streamEvents  = 6
	eventInterval = 25 * time.Millisecond
	// upstreamLease is how long an upstream's record remains in the store after the last lease
	// renewal.
	upstreamLease = 3600 * time.Millisecond
)

// upstream is a stand-in upstream behind a proxy. It registers itself in the store.
type upstream struct {
	d      *deployment
	id     string
	server *httptest.Server
	// version is the version of its software.
	version string
	proxy   *proxy
	mode    atomic.Int32
	stop    context.CancelFunc
	ended   sync.WaitGroup // waits for register to return
	born    atomic.Int64   // start of the current run, in Unix ms
	// leaves is 0 while the upstream is ready and 1 once it must announce that it leaves. After the
	// store has confirmed the record with state draining, it is the time of the confirmation in
	// Unix ns.
	leaves atomic.Int64
	// departedAt is when the store confirmed that the upstream leaves or is gone, in Unix ns; 0 if it does not
	// leave. It is set only by checks of all its requests.
	departedAt atomic.Int64
	// announcesLeaving is whether answers announce that the upstream leaves.
	announcesLeaving atomic.Bool
	// pauseSpan is the pause in ns that rejections name; 0 if the upstream rejects nothing.
	pauseSpan atomic.Int64

	// rejections counts the requests that were answered with a rejection after they ran.
	rejections atomic.Int64

	mu      sync.Mutex
	arrived []time.Time       // times at which requests arrived
	pauses  map[string]*pause // newest pause by entry host
	limit   namedLimit
}

// startUpstream starts an upstream behind a proxy and registers it in the store.
func (d *deployment) startUpstream(t *testing.T) *upstream {
	u := &upstream{d: d, id: "u" + strconv.FormatInt(d.nextID.Add(1), 10), version: "1"}
	u.start(t, u.serve)
	return u
}

// start starts the upstream's server with the given handler, and registers the upstream.
func (u *upstream) start(t *testing.T, serve http.HandlerFunc) {
	u.server = startServer(t, serve)
	u.proxy = newProxy(t, u.server.Listener.Addr().String())
	u.born.Store(time.Now().UnixMilli())
	ctx, stop := context.WithCancel(context.Background())
	u.stop = stop
	u.ended.Go(func() { u.register(ctx) })
}

// register writes the upstream's record to the store and renews its lease until ctx ends. It writes
// the record again when the lease has expired or the record has changed.
func (u *upstream) register(ctx context.Context) {
	var lease kv.LeaseID
	var version kv.Version
	written := ""
	era := u.d.store.Era()
	for ctx.Err() == nil {
		if span := u.d.trouble.rewriteSpan.Load(); era != u.d.store.Era() && span > 0 {
			time.Sleep(time.Duration(rand.Int64N(span)))
		}
		era = u.d.store.Era()
		state := "ready"
		if u.leaves.Load() != 0 {
			state = "draining"
		}
		if lease != 0 && u.d.store.KeepAlive(ctx, lease) != nil {
			lease, version = 0, 0
		}
		if lease == 0 {
			lease, _ = u.d.store.Grant(ctx, upstreamLease)
			written = ""
		}
		value, _ := json.Marshal(map[string]any{
			"service": "desk", "address": u.proxy.address(), "zone": "a", "state": state, "slots": 64, "born": u.born.Load(), "version": u.version, "cold_left_ms": 0, "seq": 1,
		})
		if lease != 0 && written != string(value) {
			key := "servers/" + u.id
			if e, err := u.d.store.Get(ctx, key); err == nil {
				version = e.Version
			}
			if _, err := u.d.store.CompareAndSwap(ctx, kv.Write{Key: key, Value: value, Expect: version, Lease: lease}); err == nil {
				written = string(value)
				if state == "draining" {
					u.leaves.CompareAndSwap(1, time.Now().UnixNano())
				}
			}
		}
		select {
		case <-time.After(300 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// crash stops the upstream without deregistering it. Its record expires with its lease.
func (u *upstream) crash() {
	u.stop()
	u.proxy.close()
	u.server.CloseClientConnections()
	u.server.Close()
	u.ended.Wait()
}

// serve executes a request and checks that it arrived as the caller sent it, with the account that
// the entry host authenticated and without the API key.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	u.d.log.recordArrival(id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("Expect-Instance") != u.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if answerWithoutEnd(w, id) {
		return
	}
	u.mu.Lock()
	u.arrived = append(u.arrived, time.Now())
	u.mu.Unlock()
	u.checkDeparted(r.Header.Get(entryHeader))
	w.Header().Set(upstreamHeader, u.id)
	sentAt := u.d.log.sentAt(id)
	u.checkAnnouncements(r, sentAt)
	u.checkLimit(w, r.Header.Get(entryHeader))
	if u.announcesLeaving.Load() {
		w.Header().Set(leavingHeader, "1")
	}
	if u.rejectForPause(w, r.Header.Get(entryHeader), sentAt) {
		return
	}
	sent, known := u.d.log.recordRun(id)
	switch {
	case !known:
		u.d.log.violate("UNASKED: request %q that no caller sent", id)
	case sent.method != r.Method || sent.path != r.RequestURI || sent.body != string(body):
		u.d.log.violate("UNASKED: request %s arrived changed, as %s %s %q", id, r.Method, r.RequestURI, body)
	case r.Header.Get("Tenant-Id") != "account" || r.Header.Get("Authorization") != "":
		u.d.log.violate("UNASKED: request %s arrived with account %q and key %q", id, r.Header.Get("Tenant-Id"), r.Header.Get("Authorization"))
	}
	w.Header().Set("Response-Seal", sealOf(id))
	if strings.HasPrefix(r.URL.Path, unanswered.prefix) {
		<-r.Context().Done()
		return
	}
	if strings.Contains(r.Header.Get("Prompt-Prefix"), poisonPart+":") {
		u.crashOnPrompt(w)
	}
	if way, fatal := wayOf(r.URL.Path); fatal {
		u.endOn(w, r, way)
	}
	switch u.mode.Load() {
	case losesAnswers:
		panic(http.ErrAbortHandler)
	case answersErrors:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case answersRejections:
		u.rejectAfterRun(w)
		return
	}
	if !sent.kind.streams {
		_, _ = io.WriteString(w, answerOf(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, answerOf(id))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}

// sealOf returns the Response-Seal header that an upstream sends with the response to a request.
func sealOf(id string) string { return "seal-" + id }

// answerOf returns the response body, or the data of each event, for a request.
func answerOf(id string) string { return "answer to " + id }

// TestStandInsListenAtAnAddressOfTheirOwn guards against hosts whose requests reach an upstream of another package's
// tests, which run beside these and take over a port of 127.0.0.1 that a stand-in has left.
func TestStandInsListenAtAnAddressOfTheirOwn(t *testing.T) {
	u := emptyDeployment(t).startUpstream(t)
	defer u.crash()
	for _, address := range []string{u.proxy.address(), u.server.Listener.Addr().String()} {
		if host, _, err := net.SplitHostPort(address); err != nil || host == "127.0.0.1" {
			t.Errorf("an upstream listens at %s, error %v, want an IP address that no other package uses", address, err)
		}
	}
}
