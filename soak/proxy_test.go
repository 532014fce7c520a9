package soak

import (
	"net"
	"sync"
	"testing"
	"time"
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
}

// newProxy starts a proxy to the target address and closes it at the end of the test.
func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, open: map[net.Conn]struct{}{}}
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
			p.mu.Lock()
			for blocked(p.current) && !p.closed {
				p.changed.Wait()
			}
			delay := p.current.delay
			p.mu.Unlock()
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
