package callerconn

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/cardamompier/cardamompier/events"
	"github.com/cardamompier/cardamompier/membudget"
	"github.com/cardamompier/cardamompier/metrics"
)

// Counters of callers that exceed limits.
var (
	Shed    = metrics.New("callers_shed_total", "Connections of callers that were closed, or whose request was interrupted, by reason.")
	Refused = metrics.New("callers_refused_total", "Connections and heads of requests that were refused, by reason.")
)

// Labels of the Refused counter.
const (
	refusedHead        = "head_too_large"
	refusedMemory      = "memory"
	refusedConnections = "connections"
)

const (
	// observeInterval is the interval at which the progress of callers is checked.
	observeInterval = 250 * time.Millisecond
	// peerSilence is the time after which a silent connection of another host is closed. Hosts close connections that
	// they have not used for 30 s themselves.
	peerSilence = 90 * time.Second
	// logInterval is the shortest interval between two log lines about callers that were shed.
	logInterval = time.Second
)

// Options are the limits of a Guard.
type Options struct {
	// MemoryBytes bounds what callers hold.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
	// Silence is the time after which a caller that sends nothing of its request's body, or reads nothing of its
	// answer, is shed.
	Silence time.Duration
	// HeadBytes returns the size limit of a request's head.
	HeadBytes func() int64
	Logger    hclog.Logger
}

// Guard bounds the memory and the connections of the callers of a process. Use New, and Run to detect callers without
// progress.
type Guard struct {
	options        Options
	budget         *membudget.Budget
	callers, peers pool

	mu   sync.Mutex
	shed map[membudget.ShedReason]int // since the last log line
}

// pool bounds the connections of several listeners together.
type pool struct {
	limit int64
	open  atomic.Int64
}

const (
	// fileDescriptors is the number of descriptors that are kept for files and the program itself, at most half of all.
	fileDescriptors = 200
	// callerShare and peerShare are the shares of the remaining descriptors for callers' connections and for those that
	// other hosts open. The rest is kept for connections that this process opens, to upstreams, the store and others.
	callerShare, peerShare = 0.5, 0.3
	// connMemoryShare is the largest share of the memory for callers that open connections may take by themselves.
	connMemoryShare = 0.5
	// minConnections is the least number of connections of a pool.
	minConnections = 8
)

// current is the guard whose memory is published; one process has one.
var current atomic.Pointer[Guard]

func init() {
	expvar.Publish("cardamompier_caller_memory", expvar.Func(func() any {
		g := current.Load()
		if g == nil {
			return nil
		}
		return map[string]int64{
			"held_bytes": g.budget.Held(), "limit_bytes": g.budget.Limit(), "connections": g.callers.open.Load(), "connections_limit": g.callers.limit,
			"peer_connections": g.peers.open.Load(), "peer_connections_limit": g.peers.limit,
		}
	}))
}

// New returns a guard.
func New(o Options) *Guard {
	g := &Guard{options: o, budget: membudget.New(o.MemoryBytes), shed: map[membudget.ShedReason]int{}}
	usable := max(o.Descriptors-fileDescriptors, o.Descriptors/2)
	byMemory := int64(connMemoryShare * float64(o.MemoryBytes) / connBytes)
	limit := func(share float64) int64 { return max(min(int64(share*float64(usable)), byMemory), minConnections) }
	g.callers.limit, g.peers.limit = limit(callerShare), limit(peerShare)
	current.Store(g)
	return g
}

// headLimit returns the size limit of a request's head.
func (g *Guard) headLimit() int64 { return g.options.HeadBytes() }

// Callers returns a listener whose connections are those of callers.
func (g *Guard) Callers(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g, pool: &g.callers}
}

// Peers returns a listener whose connections are those of other hosts.
func (g *Guard) Peers(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g, pool: &g.peers}
}

// Attach makes a server, whose listener is one of the guard's, report the states of its connections.
func (g *Guard) Attach(server *http.Server) {
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok {
			c.changeState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*conn); ok {
			return membudget.NewContext(ctx, c.holder)
		}
		return ctx
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := membudget.FromContext(r.Context())
		defer func() {
			if h.Phase() != membudget.PhasePeer {
				h.Begin(membudget.PhaseEnding)
			}
		}()
		handler.ServeHTTP(w, r)
	})
}

// listener charges the connections that it accepts.
type listener struct {
	net.Listener
	guard *Guard
	pool  *pool
}

// Accept implements net.Listener. A connection for which there is no room, and none can be made, is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(accepted, l.pool); c != nil {
			return c, nil
		}
		Refused.Inc(refusedConnections)
		l.guard.noteShed(membudget.ShedConnections)
		_ = accepted.Close()
	}
}

// admit charges a connection. It returns nil if there is no room for it.
func (g *Guard) admit(accepted net.Conn, p *pool) *conn {
	if p.open.Load() >= p.limit && !g.makeRoom(p) {
		return nil
	}
	c := &conn{Conn: accepted, guard: g, pool: p}
	caller, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil {
		caller = accepted.RemoteAddr().String()
	}
	holder := g.budget.Open(connBytes, caller, p, time.Now(), c.onShed)
	if holder == nil {
		return nil
	}
	c.holder = holder
	holder.Begin(membudget.PhaseHead)
	p.open.Add(1)
	return c
}

// makeRoom closes one connection of a pool for a new one. It returns whether it closed one.
func (g *Guard) makeRoom(p *pool) bool {
	h := g.budget.ChooseConnection(p, time.Now())
	if h != nil {
		h.Shed(membudget.ShedConnections)
	}
	return h != nil
}

// Run checks the progress of callers until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	logged := time.Time{}
	for {
		select {
		case now := <-ticker.C:
			g.budget.Observe(now, g.shedIfSilent)
			if now.Sub(logged) >= logInterval && g.logShed() {
				logged = now
			}
		case <-ctx.Done():
			return
		}
	}
}

// shedIfSilent sheds a caller that has made no progress for too long.
func (g *Guard) shedIfSilent(h *membudget.Holder, c membudget.Candidate) {
	waits := c.Writing || c.Phase == membudget.PhaseBody || c.Phase == membudget.PhaseEnding
	if waits && c.Stalled > g.options.Silence || c.Phase == membudget.PhasePeer && c.Stalled > peerSilence {
		h.Shed(membudget.ShedSilent)
	}
}

// noteShed counts a caller for the next log line.
func (g *Guard) noteShed(reason membudget.ShedReason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shed[reason]++
}

// logShed logs the callers that were shed since the last line, and returns whether there were any.
func (g *Guard) logShed() bool {
	g.mu.Lock()
	shed := g.shed
	g.shed = map[membudget.ShedReason]int{}
	g.mu.Unlock()
	if len(shed) == 0 {
		return false
	}
	events.CallersShed.Log(g.options.Logger, "memory", shed[membudget.ShedMemory], "connections", shed[membudget.ShedConnections],
		"silent", shed[membudget.ShedSilent], "held_bytes", g.budget.Held(), "limit_bytes", g.budget.Limit(), "open", g.callers.open.Load())
	return true
}
