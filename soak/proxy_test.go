package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// impairment describes how a proxy delays or blocks the bytes that it forwards. The zero value
// forwards them unchanged.
type impairment struct {
	delay time.Duration
	// blockTo and blockFrom hold back the bytes to and from the target until the impairment ends.
	// One of them alone simulates a network partition in one direction.
	blockTo, blockFrom bool
}

// proxy forwards TCP connections on loopback to a target and can impair or reset them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond // signals changes of impairment and closed
	current impairment
	open    map[net.Conn]struct{}
	closed  bool
	// disturbedAt is when the proxy was last impaired, relieved or reset.
	disturbedAt time.Time
	// retransmits makes a block behave as a cut link does with TCP: bytes that were held back arrive at their first
	// retransmission after it, unless their sender has reset the connection, and no connection opens during it.
	retransmits bool
}

// newProxy starts a proxy to the target address and closes it at the end of the test.
func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	return startProxy(t, &proxy{target: target})
}

// startProxy starts a proxy whose target is set, and closes it at the end of the test.
func startProxy(t *testing.T, p *proxy) *proxy {
	t.Helper()
	listener, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	p.listener, p.open = listener, map[net.Conn]struct{}{}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(listener)
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// refuse closes all connections and refuses new ones for a while, as a process that ends and starts
// again does.
func (p *proxy) refuse(span time.Duration) {
	address := p.address()
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
	time.AfterFunc(span, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return
		}
		p.use(listener)
	})
}

// use accepts connections from another listener than before, which the caller has closed. A proxy that is closed
// closes the listener.
func (p *proxy) use(listener net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = listener.Close()
		return
	}
	p.listener = listener
	go p.accept(listener)
}

// move closes all connections and listens at another address.
func (p *proxy) move() error {
	listener, err := listen()
	if err != nil {
		return err
	}
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.use(listener)
	p.reset()
	return nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward copies bytes between a caller's connection and a new connection to the target until both
// directions have ended.
func (p *proxy) forward(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		_ = caller.Close()
		_ = target.Close()
		return
	}
	p.open[caller], p.open[target] = struct{}{}, struct{}{}
	if p.retransmits && p.current.blockTo {
		for p.current.blockTo && !p.closed {
			p.changed.Wait()
		}
		delete(p.open, caller)
		delete(p.open, target)
		p.mu.Unlock()
		_ = caller.Close()
		_ = target.Close()
		return
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, caller, func(i impairment) bool { return i.blockTo }) })
	both.Go(func() { p.copy(caller, target, func(i impairment) bool { return i.blockFrom }) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, caller)
	delete(p.open, target)
	p.mu.Unlock()
}

// copy forwards bytes in one direction. It waits while blocked reports true for the current
// impairment.
func (p *proxy) copy(to, from net.Conn, blocked func(impairment) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			sent, held := time.Now(), false
			p.mu.Lock()
			for blocked(p.current) && !p.closed {
				held = true
				p.changed.Wait()
			}
			delay := p.current.delay
			p.mu.Unlock()
			if held && p.retransmits {
				time.Sleep(untilRetransmission(sent))
				if isReset(from) {
					return
				}
			}
			time.Sleep(delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// firstRetransmission is the shortest time after which TCP sends unacknowledged bytes again on Linux. Each further time is
// twice as long.
const firstRetransmission = 200 * time.Millisecond

// untilRetransmission returns the time until the next retransmission of bytes that were sent at a time.
func untilRetransmission(sent time.Time) time.Duration {
	at, pause := sent, firstRetransmission
	for time.Until(at) < 0 {
		at = at.Add(pause)
		pause *= 2
	}
	return time.Until(at)
}

// isReset reports whether the peer of a connection with no unread bytes has reset it.
func isReset(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, failed := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reset = errors.Is(failed, unix.ECONNRESET)
		return true
	})
	return reset || err != nil
}

// impair sets the impairment for all bytes that are forwarded from now on.
func (p *proxy) impair(i impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current, p.disturbedAt = i, time.Now()
	p.changed.Broadcast()
}

// disturbedSince reports whether the proxy was impaired, relieved or reset after a time, or is impaired.
func (p *proxy) disturbedSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedAt.After(since) || p.current != impairment{}
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	for conn := range p.open {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.changed.Broadcast()
	p.mu.Unlock()
	p.reset()
}
