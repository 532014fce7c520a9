// Package connpool pools HTTP/1.1 connections to upstreams for requests that must
// not be repeated unnoticed. Unlike http.Transport, the pool never retries a request,
// reports whether any byte of a request was written, and matches responses to requests
// by request id, so that a late or duplicate response is never returned for the next
// request.
//
// The caller chooses the upstream and decides whether to retry.
package connpool

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/cardamompier/cardamompier/metrics"
	"github.com/cardamompier/cardamompier/stricthttp"
	"github.com/cardamompier/cardamompier/tcpopt"
)

// Connections counts connections to upstreams by outcome.
var Connections = metrics.New("upstream_connections_total", "Connections to upstreams, by outcome.")

const (
	labelOpened  = "opened"
	labelFailed  = "dial_failed"
	labelReused  = "reused"
	labelStale   = "dropped_stale"
	labelExpired = "dropped_idle"
	labelSurplus = "dropped_surplus"
	labelLost    = "lost_under_write"

	// dialTimeout bounds the opening of a connection. The one-way latency between
	// regions is up to 10 ms. TCP retransmits a lost packet only after 1 s, which is
	// beyond this limit.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before TCP closes
	// the connection. It detects a host that lost power, which never answers.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure TCP keep-alive probes, which
	// detect an unreachable peer while a response is pending.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// defaultIdle is how long a connection may stay idle if its upstream announces
	// no idle timeout.
	defaultIdle = 4 * time.Second
	// idleShare is the fraction of the idle timeout announced by the upstream during
	// which an idle connection is reused. The rest is a margin, so that no request is
	// sent while the upstream closes the connection.
	idleShare = 0.5
	// maxIdlePerHost bounds the idle connections to one upstream.
	maxIdlePerHost = 16
)

// Conn is a connection to one upstream that carries one request at a time.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	idleAt    time.Time
	idleLimit time.Duration
	// Reused reports whether the connection carried an earlier request.
	Reused bool
	// rejected holds the ids of the requests that the upstream rejected on this connection.
	rejected []string
}

// maxRejected is how many requests an upstream may reject on a connection that is reused.
const maxRejected = 16

// Pool holds idle connections by address. The zero value is ready to use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Get returns an idle connection to address or opens a new one, for the request with the
// given id. A connection on which that request was rejected before is not used: a faulty
// upstream may write the rejection once more, which would be taken for the new answer. If
// Get returns an error, no byte was sent.
func (p *Pool) Get(ctx context.Context, address, id string) (*Conn, error) {
	for {
		c := p.popIdle(address, id)
		if c == nil {
			return dial(ctx, address)
		}
		switch {
		case time.Since(c.idleAt) > c.idleLimit:
			Connections.Inc(labelExpired)
		case !c.usable():
			Connections.Inc(labelStale)
		default:
			Connections.Inc(labelReused)
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

// Reachability is how the machine at an address reacts to a new connection.
type Reachability string

// The possible reactions.
const (
	// Refused means that no process listens at the address.
	Refused Reachability = "refused"
	// Opened means that a connection was opened. Probe keeps it for a later request.
	Opened Reachability = "opened"
	// Silent means that the machine did not react in time.
	Silent Reachability = "silent"
)

// Probe opens a new connection to address and returns how the machine reacts.
func (p *Pool) Probe(ctx context.Context, address string) Reachability {
	c, err := dial(ctx, address)
	switch {
	case err == nil:
		p.put(c)
		return Opened
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Silent
	}
}

// popIdle removes and returns the most recently used idle connection to address that suits
// the request with the given id, or nil if there is none.
func (p *Pool) popIdle(address, id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !slices.Contains(c.rejected, id) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// put adds a connection to the idle connections, or closes it if maxIdlePerHost are idle.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.address]) >= maxIdlePerHost {
		Connections.Inc(labelSurplus)
		_ = c.Close()
		return
	}
	c.idleAt = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseUnused closes the idle connections to addresses for which used returns false, and the
// idle connections that exceeded their idle limit.
func (p *Pool) CloseUnused(used func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if used(address) && time.Since(c.idleAt) <= c.idleLimit {
				kept = append(kept, c)
				continue
			}
			Connections.Inc(labelExpired)
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes all idle connections of the pool.
func (p *Pool) Close() { p.CloseUnused(func(string) bool { return false }) }

// dial opens a connection to address with keep-alive probes and an acknowledgement timeout.
func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: tcpopt.AckTimeout(ackTimeout),
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		Connections.Inc(labelFailed)
		return nil, err
	}
	Connections.Inc(labelOpened)
	c := &Conn{Conn: stricthttp.NewConn(conn), address: address, idleLimit: defaultIdle}
	c.reader = bufio.NewReaderSize(c, maxHeadBytes)
	return c, nil
}

// Read reads from the connection and counts a loss that would look like the end of a response.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var lost *stricthttp.LossError
	if errors.As(err, &lost) {
		Connections.Inc(labelLost)
	}
	return n, err
}

// usable reports whether an idle connection is open and has no unread bytes, which
// would belong to no request.
func (c *Conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && openAndEmpty
}
