package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/admission"
	"github.com/cardamompier/cardamompier/forward"
	"github.com/cardamompier/cardamompier/hosts"
	"github.com/cardamompier/cardamompier/inner"
	"github.com/cardamompier/cardamompier/inner/innermem"
	"github.com/cardamompier/cardamompier/loadshare"
	"github.com/cardamompier/cardamompier/membership"
	"github.com/cardamompier/cardamompier/platform"
	"github.com/cardamompier/cardamompier/quarantine"
	"github.com/cardamompier/cardamompier/quota"
	"github.com/cardamompier/cardamompier/retry"
	"github.com/cardamompier/cardamompier/routes"
)

// fleetSizes are the numbers of entry hosts with which the tests of several hosts run.
var fleetSizes = []int{4, 30}

// contactSpan is the time within which every host knows what another host has learned.
const contactSpan = 3 * time.Second

// entryHeader names the entry host in a request, so that an upstream knows which host sent it.
const entryHeader = "X-Entry"

// fleet is a set of entry hosts that share upstreams. The hosts exchange what they know over an
// in-memory network.
type fleet struct {
	hosts     []*fleetHost
	upstreams []*simUpstream
	network   *innermem.Network
	listMu    sync.Mutex // serializes changes of snapshot
	snapshot  atomic.Pointer[hosts.Snapshot]
	calls     atomic.Int64
	changes   []func(*forward.Config) // of each host's configuration
}

// fleetHost is one entry host of a fleet.
type fleetHost struct {
	*forward.Forwarder
	name, url string
	client    *http.Client
}

// noLimits and noPrompts are the dependencies of hosts whose accounts have no limits and whose
// prompts are not tracked.
type (
	noLimits  struct{}
	noPrompts struct{}
)

// Take implements forward.Limits.
func (noLimits) Take(context.Context, string, admission.AccountLimit, float64) (time.Duration, string, bool) {
	return 0, "", true
}

// Refund implements forward.Limits.
func (noLimits) Refund(string, float64) {}

// Upstreams implements forward.Prompts.
func (noPrompts) Upstreams(context.Context, uint64) ([]string, bool) { return nil, false }

// Sent implements forward.Prompts.
func (noPrompts) Sent(uint64, string) {}

// newFleet starts entry hosts and upstreams. Each upstream answers with the given function. The changes apply
// to the configuration of each host.
func newFleet(t *testing.T, entryHosts, upstreams int, answer simAnswer, changes ...func(*forward.Config)) *fleet {
	t.Helper()
	f := &fleet{network: innermem.New(1), changes: changes}
	f.network.SetDelay(2 * time.Millisecond)
	var list []hosts.Host
	for i := range upstreams {
		u := startSimUpstream(t, fmt.Sprintf("u%d", i), answer)
		f.upstreams = append(f.upstreams, u)
		list = append(list, listed(u.id, u.address))
	}
	f.snapshot.Store(hosts.NewSnapshot(list, time.Now()))
	view := &membership.View{}
	for i := range entryHosts {
		name := fmt.Sprintf("h%d", i)
		view.Members = append(view.Members, membership.Member{ID: name, InnerAddress: name, Capacity: 1})
	}
	for _, m := range view.Members {
		f.hosts = append(f.hosts, f.startHost(t, m.ID, view))
	}
	return f
}

// startHost starts one entry host until the end of the test.
func (f *fleet) startHost(t *testing.T, name string, view *membership.View) *fleetHost {
	h := &fleetHost{name: name, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	table := routes.New(routes.Contents{
		Version: 1, Limits: routes.Limits{BodyBytes: 1000},
		Routes: []*routes.Route{
			route("/order/", routes.NonIdempotent, 1), route("/read/", routes.Idempotent, 2), route("/resume/", routes.ResumableStream, 2),
		},
		Pools: []*routes.Pool{{Name: "p"}},
	})
	server := inner.NewServer()
	hosts := func() *membership.View { return view }
	pacer := quota.NewPacer(name, f.network.Client(name), server, hosts)
	tracker := quarantine.NewTracker(func(quarantine.Key) bool { return name == "h0" }, func(change string, set quarantine.Set) {
		if change != quarantine.ChangeLifted {
			h.Withdraw(set)
		}
	})
	config := forward.Config{
		Domain: "d", Codec: platform.Headers{}, Limits: noLimits{}, Prompts: noPrompts{}, Hosts: func() int { return len(view.Members) },
		Table: func() *routes.Table { return table }, Upstreams: f.snapshot.Load, OnStarted: func(string) {},
		Retries: retry.Bound{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
		Permits: pacer, Crashes: tracker, Logger: hclog.NewNullLogger(),
	}
	for _, change := range f.changes {
		change(&config)
	}
	h.Forwarder = forward.New(config)
	f.network.Serve(name, server)
	sharer := loadshare.New(name, f.network.Client(name), server, hosts, h.LocalLoads, h.SetPeerLoads)
	sharer.Attach(tracker)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { sharer.Run(ctx) })
	running.Go(func() { h.Run(ctx) })
	edge := httptest.NewServer(h.Forwarder)
	h.url = edge.URL
	t.Cleanup(func() {
		stop()
		running.Wait()
		edge.CloseClientConnections()
		edge.Close()
	})
	return h
}

// cutPeers cuts all links between the entry hosts.
func (f *fleet) cutPeers() {
	for _, a := range f.hosts {
		for _, b := range f.hosts {
			if a != b {
				f.network.Cut(a.name, b.name, true)
			}
		}
	}
}

// callDeadline is the time within which callers want an answer.
const callDeadline = 2 * time.Second

// call is the result of one request to an entry host.
type call struct {
	status  int
	body    string
	header  http.Header
	err     error
	took    time.Duration
	startAt time.Time
}

// served reports whether the caller received a complete answer of an upstream.
func (c call) served() bool {
	return c.err == nil && c.status == http.StatusOK && c.header.Get("Response-Seal") != ""
}

// call sends one request to an entry host and reads its answer.
func (f *fleet) call(h *fleetHost, path, body string) call {
	c := call{startAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, h.url+path, strings.NewReader(body))
	if err != nil {
		c.err = err
		return c
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", fmt.Sprintf("r%d", f.calls.Add(1)))
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	req.Header.Set(entryHeader, h.name)
	res, err := h.client.Do(req)
	if err != nil {
		c.err, c.took = err, time.Since(c.startAt)
		return c
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	c.status, c.body, c.header, c.err, c.took = res.StatusCode, string(data), res.Header, err, time.Since(c.startAt)
	return c
}

// arrival is one request as an upstream received it.
type arrival struct {
	at          time.Time
	entry, path string
}

// simAnswer writes an upstream's answer to a request. It returns whether the connection stays open.
type simAnswer func(u *simUpstream, r receivedRequest, conn net.Conn) (keep bool)

// simUpstream is an upstream with connections that carry several requests.
type simUpstream struct {
	id, address string
	answer      simAnswer

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	arrivals []arrival
	ends     []time.Time   // when the process ended
	silence  chan struct{} // closed when a silence ends; nil without one
}

func startSimUpstream(t *testing.T, id string, answer simAnswer) *simUpstream {
	t.Helper()
	u := &simUpstream{id: id, address: ownLoopback() + ":0", answer: answer, conns: map[net.Conn]bool{}}
	if err := u.listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		u.mu.Lock()
		_ = u.listener.Close()
		u.mu.Unlock()
		u.reset()
	})
	return u
}

// loopbackCount is the number of addresses that ownLoopback has returned.
var loopbackCount atomic.Uint32

// ownLoopback returns a loopback address of this process that no other upstream uses, so that none takes the
// port of an upstream that has ended and is back later.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&0x7f, pid&0xff, 1+loopbackCount.Add(1)%254)
}

// listed returns the record of a live upstream.
func listed(id, address string) hosts.Host {
	return hosts.Host{ID: id, Address: address, FailureDomain: "d", Pool: "p", State: hosts.StateLive, Slots: 64, StartedMS: 1}
}

// listen opens the listener at the address of the upstream.
func (u *simUpstream) listen() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.listener, u.address = listener, listener.Addr().String()
	go acceptConns(listener, func(conn net.Conn) {
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		go u.serve(conn)
	})
	return nil
}

// serve answers the requests of one connection.
func (u *simUpstream) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		silence := u.silence
		if silence == nil {
			u.arrivals = append(u.arrivals, arrival{at: time.Now(), entry: req.Header.Get(entryHeader), path: req.URL.Path})
		}
		u.mu.Unlock()
		if silence != nil {
			<-silence
			return
		}
		if !u.answer(u, receivedRequest{Request: req, upstream: u.id, body: string(body)}, conn) {
			return
		}
	}
}

// arrived returns the requests that the upstream received, without those that arrived in a silence.
func (u *simUpstream) arrived() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// reset ends all connections with a TCP reset.
func (u *simUpstream) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	clear(u.conns)
}

func (u *simUpstream) recordEnd() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ends = append(u.ends, time.Now())
}

// endAndRefuse ends the process; its address refuses connections for a while.
func endAndRefuse(_ *fleet, u *simUpstream) {
	u.recordEnd()
	u.mu.Lock()
	_ = u.listener.Close()
	u.mu.Unlock()
	u.reset()
	time.AfterFunc(crashDowntime, func() { _ = u.listen() })
}

// endAndReturn ends the process; another one accepts connections at once.
func endAndReturn(_ *fleet, u *simUpstream) {
	u.recordEnd()
	u.reset()
}

// silentSpan is how long a process that ends silently sends nothing.
const silentSpan = 900 * time.Millisecond

// endSilently ends the process without a packet; when it is back, its connections are reset.
func endSilently(_ *fleet, u *simUpstream) { u.endSilentlyFor(silentSpan) }

// outlastingSilence is a silence that outlasts the time of the requests that met it.
const outlastingSilence = callDeadline + 500*time.Millisecond

// endOutlasting is endSilently with a silence that outlasts the time of the callers.
func endOutlasting(_ *fleet, u *simUpstream) { u.endSilentlyFor(outlastingSilence) }

// endOutlastingAndRefuse is endOutlasting for a process whose machine refuses new connections.
func endOutlastingAndRefuse(_ *fleet, u *simUpstream) {
	u.mu.Lock()
	_ = u.listener.Close()
	u.mu.Unlock()
	u.endSilentlyFor(outlastingSilence)
	_ = u.listen()
}

// listedSilence is how long the record of a silent process stays listed.
const listedSilence = time.Second

// endAndExpire is endOutlastingAndRefuse for a process whose record expires; the next run of the
// upstream is listed under another id.
func endAndExpire(f *fleet, u *simUpstream) {
	time.AfterFunc(listedSilence, func() { f.changeList(u, "") })
	endOutlastingAndRefuse(f, u)
	f.changeList(u, fmt.Sprintf("%s-%d", u.id, time.Now().UnixNano()))
}

// endAndMove ends the process; the next run of the upstream is listed under its id at another address.
func endAndMove(f *fleet, u *simUpstream) { u.endAndStartAs(f, u.id) }

// endAndReplace ends the process; the next run of the upstream is listed under another id instead.
func endAndReplace(f *fleet, u *simUpstream) {
	u.endAndStartAs(f, fmt.Sprintf("%s-%d", u.id, time.Now().UnixNano()))
}

// endAndStartAs ends the process; its record is replaced by one with the given id and another address.
func (u *simUpstream) endAndStartAs(f *fleet, id string) {
	u.recordEnd()
	u.mu.Lock()
	_ = u.listener.Close()
	u.address = "127.0.0.1:0"
	u.mu.Unlock()
	_ = u.listen()
	f.changeList(u, id)
	u.reset()
}

// changeList publishes a list in which another run of the upstream has the given id; with an empty id it
// is not listed.
func (f *fleet) changeList(u *simUpstream, id string) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	u.mu.Lock()
	record := listed(id, u.address)
	u.mu.Unlock()
	record.StartedMS = time.Now().UnixMilli()
	list := slices.DeleteFunc(slices.Clone(f.snapshot.Load().Hosts), func(h hosts.Host) bool {
		return h.ID == u.id || strings.HasPrefix(h.ID, u.id+"-")
	})
	if id != "" {
		list = append(list, record)
	}
	f.snapshot.Store(hosts.NewSnapshot(list, time.Now()))
}

// endSilentlyFor ends the process without a packet; its connections are reset after the given span.
func (u *simUpstream) endSilentlyFor(span time.Duration) {
	u.recordEnd()
	silence := make(chan struct{})
	u.mu.Lock()
	if u.silence != nil { // ended already
		u.mu.Unlock()
		return
	}
	u.silence = silence
	u.mu.Unlock()
	time.Sleep(span)
	u.reset()
	u.mu.Lock()
	u.silence = nil
	u.mu.Unlock()
	close(silence)
}

// answerStream writes a complete stream of events.
func answerStream(conn net.Conn, r receivedRequest, events int) {
	writeStreamHead(conn, r)
	for id := 1; id <= events; id++ {
		writeChunk(conn, eventText(id))
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}
