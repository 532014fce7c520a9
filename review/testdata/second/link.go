package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a network link to one server, played by a TCP proxy. While it is cut, bytes of connections that were
// open before are held up, as TCP keeps and retransmits them: after the cut they arrive with the first retransmission
// that falls after its end, unless their sender has reset the connection. A connection that is opened during the cut
// is not established: nothing that is sent on it ever arrives.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cutAt  time.Time // zero while the link works
	healed chan struct{}
}

func newLink(target string) *link {
	l := &link{listener: listen(), target: target}
	go func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c.(*net.TCPConn))
		}
	}()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// Cut cuts the link.
func (l *link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt, l.healed = time.Now(), make(chan struct{})
}

// Heal ends the cut.
func (l *link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cutAt.IsZero() {
		l.cutAt = time.Time{}
		close(l.healed)
	}
}

func (l *link) state() (cut bool, healed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cutAt.IsZero(), l.healed
}

func (l *link) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	if cut, healed := l.state(); cut {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		<-healed
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	to := out.(*net.TCPConn)
	defer func() { _ = to.Close() }()
	var both sync.WaitGroup
	both.Go(func() { l.pump(c, to) })
	both.Go(func() { l.pump(to, c) })
	both.Wait()
}

// firstRetransmission is the shortest retransmission time of TCP on Linux; each further one takes twice as long.
const firstRetransmission = 200 * time.Millisecond

// pump copies bytes in one direction until it ends.
func (l *link) pump(from, to *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		data := buffer[:n]
		if cut, healed := l.state(); cut {
			data, err = hold(from, data, err, healed)
		}
		if len(data) > 0 {
			if _, failed := to.Write(data); failed != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// hold keeps bytes that were sent during a cut until their first retransmission after it, and returns what arrives
// then, with io.EOF if the sender has closed the connection. Any other error is a reset; nothing arrives then.
func hold(from *net.TCPConn, first []byte, err error, healed chan struct{}) ([]byte, error) {
	data, sent := append([]byte(nil), first...), time.Now()
	buffer := make([]byte, 64<<10)
	var arrival time.Time // zero during the cut
	for arrival.IsZero() || time.Now().Before(arrival) {
		select {
		case <-healed:
			if arrival.IsZero() {
				arrival = retransmissionAfter(sent, time.Now())
			}
		default:
		}
		if err == io.EOF {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			return nil, err
		}
		_ = from.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		var n int
		n, err = from.Read(buffer)
		data = append(data, buffer[:n]...)
	}
	_ = from.SetReadDeadline(time.Time{})
	if err == io.EOF {
		return data, io.EOF
	}
	return data, nil
}

// retransmissionAfter returns when bytes that were sent at a time are retransmitted for the first time after another.
func retransmissionAfter(sent, healed time.Time) time.Time {
	at, pause := sent, firstRetransmission
	for at.Before(healed) {
		at = at.Add(pause)
		pause *= 2
	}
	return at
}
