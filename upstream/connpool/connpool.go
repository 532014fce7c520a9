// Package connpool keeps connections to upstreams for requests that must not
// be repeated unnoticed. Unlike http.Transport it never sends a request again,
// says whether a byte of it was written, and matches answers to requests by
// their id, so that a stray answer is never taken for the next one.
//
// It leaves the choice of an upstream and of another attempt to its caller.
package connpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cardamompier/cardamompier/metrics"
)

// Connections counts connections to upstreams by what became of them.
var Connections = metrics.New("upstream_connections_total", "Connections to upstreams, by what became of them.")

const (
	labelOpened  = "opened"
	labelFailed  = "dial_failed"
	labelReused  = "reused"
	labelStale   = "dropped_stale"
	labelExpired = "dropped_idle"
	labelSurplus = "dropped_surplus"

	// dialTimeout bounds the opening of a connection; one way takes up to 10 ms
	// between regions, and a lost packet is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged; a host that
	// lost its power never answers.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle and probeInterval find a silent peer while an answer is awaited.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// defaultIdle is how long a connection is kept where its upstream names no time.
	defaultIdle = 4 * time.Second
	// idleMargin of the upstream's own idle timeout is left unused, so that a
	// request does not cross the close.
	idleMargin = 0.5
	// maxIdlePerHost bounds the idle connections to one upstream.
	maxIdlePerHost = 16
)

// Conn is a connection to one upstream that carries one request at a time.
type Conn struct {
	net.Conn
	reader   *bufio.Reader
	address  string
	idleAt   time.Time
	idleSpan time.Duration
	// Reused says that the connection carried a request before.
	Reused bool
}

// Pool keeps idle connections by address. The zero value is ready.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Get returns an idle connection or opens one. An error means that nothing was
// sent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return dial(ctx, address)
		}
		switch {
		case time.Since(c.idleAt) > c.idleSpan:
			Connections.Inc(labelExpired)
		case !c.quiet():
			Connections.Inc(labelStale)
		default:
			Connections.Inc(labelReused)
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1] // the one that was idle for the shortest time
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for the next request.
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

// Keep closes the idle connections to addresses that are not in use any more,
// and those that were idle for too long.
func (p *Pool) Keep(used func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if used(address) && time.Since(c.idleAt) <= c.idleSpan {
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

// Close closes all idle connections.
func (p *Pool) Close() { p.Keep(func(string) bool { return false }) }

func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setAckTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		Connections.Inc(labelFailed)
		return nil, err
	}
	Connections.Inc(labelOpened)
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, headBytes), address: address, idleSpan: defaultIdle}, nil
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet says that an idle connection is open and nothing came in on it.
func (c *Conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
