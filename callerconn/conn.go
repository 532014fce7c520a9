// Package callerconn applies limits of memory and connections to the callers of a process's listeners. It charges
// what their requests hold to a membudget.Budget and closes or refuses the connections that the budget sheds.
package callerconn

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamompier/cardamompier/membudget"
)

const (
	// connBytes is the memory of an open connection without what its request holds: its goroutine's stack, the read
	// and write buffers of 4 KiB each and the state of net/http, in bytes. docs/CAPACITY.md says how it was measured.
	connBytes = 22 << 10
	// freeHeadBytes and freeHeadLines is the size of a request's head that connBytes covers. The heads of ordinary
	// callers are smaller and are not charged by themselves.
	freeHeadBytes, freeHeadLines = 4 << 10, 32
	// headByteCost is the memory for each byte of a head: its buffer, which grows to twice the size of a line, and
	// its text.
	headByteCost = 3
	// headLineCost is the memory for each line of a head beside its bytes: the entry of the header map, which grows to
	// twice its size, and the slice of its values.
	headLineCost = 160
	// headSlack is how much net/http reads beyond a head, because it reads blocks of this size.
	headSlack = 4 << 10
	// refusalTimeout bounds the write of a refusal to a caller whose request's head was not read.
	refusalTimeout = 100 * time.Millisecond
	// retryAfter is the Retry-After time in seconds of a request whose head was not read: about the time until stalled
	// callers are shed.
	retryAfter = 1
)

// conn is a caller's connection whose memory is charged to a budget.
type conn struct {
	net.Conn
	guard  *Guard
	pool   *pool
	holder *membudget.Holder

	headBytes, headLines, headCharged int64 // of the present head; used only by the goroutine that reads
	closing                           sync.Once
	shed                              atomic.Bool
	refused                           atomic.Bool // whether refuse has answered the request
}

// Read implements net.Conn. It charges the head of a request while it is read.
func (c *conn) Read(p []byte) (int, error) {
	if c.shed.Load() || c.refused.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.holder.Moved(n)
	switch c.holder.Phase() {
	case membudget.PhaseIdle:
		c.holder.Begin(membudget.PhaseHead)
	case membudget.PhaseHead:
	default:
		return n, err
	}
	c.headBytes += int64(n)
	c.headLines += int64(bytes.Count(p[:n], []byte{'\n'}))
	if refused := c.chargeHead(); refused != nil {
		return 0, refused
	}
	return n, err
}

// chargeHead charges the head as far as it was read, and refuses the request if the head is too large or cannot be
// charged.
func (c *conn) chargeHead() error {
	if limit := c.guard.headLimit(); c.headBytes > limit+headSlack {
		Refused.Inc(refusedHead)
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return errHeadTooLarge
	}
	cost := headByteCost*max(0, c.headBytes-freeHeadBytes) + headLineCost*max(0, c.headLines-freeHeadLines)
	if cost <= c.headCharged {
		return nil
	}
	if err := c.holder.Grow(cost - c.headCharged); err != nil {
		Refused.Inc(refusedMemory)
		c.refuse(http.StatusServiceUnavailable)
		return err
	}
	c.headCharged = cost
	return nil
}

// headTooLargeError reports a request's head over the limit.
type headTooLargeError struct{}

// Error implements error.
func (headTooLargeError) Error() string { return "the head of the request is too large" }

var errHeadTooLarge = headTooLargeError{}

// refuse answers a request whose head was not read. The caller then finds the connection closed.
func (c *conn) refuse(status int) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), retryAfter)
	c.refused.Store(true)
}

// Write implements net.Conn. It fails after a refusal: net/http answers a head that cannot be read by itself too.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	c.holder.Writing(true)
	n, err := c.Conn.Write(p)
	c.holder.Writing(false)
	c.holder.Moved(n)
	return n, err
}

// CloseWrite closes the connection for writing; net/http calls it so that a caller that still sends can read the answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() {
		c.pool.open.Add(-1)
		c.holder.Close()
	})
	return err
}

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// onShed is called by the budget. A body is interrupted, so that the request can be answered; any other connection is
// closed.
func (c *conn) onShed(reason membudget.ShedReason) {
	Shed.Inc(string(reason))
	c.guard.noteShed(reason)
	c.shed.Store(true)
	if c.holder.Phase() == membudget.PhaseBody {
		_ = c.Conn.SetReadDeadline(pastDeadline)
		return
	}
	_ = c.Conn.Close() // Close counts the connection when its goroutine ends
}

// SetReadDeadline implements net.Conn. The deadline of a connection that was shed remains.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.shed.Load() { // also when it was shed since SetReadDeadline was called
		err = c.Conn.SetReadDeadline(pastDeadline)
	}
	return err
}

// changeState is called by net/http when the connection's state changes.
func (c *conn) changeState(state http.ConnState) {
	switch state {
	case http.StateActive: // the head was read
		c.holder.Begin(membudget.PhaseRunning)
	case http.StateIdle:
		c.headBytes, c.headLines, c.headCharged = 0, 0, 0
		c.holder.Reset()
		c.holder.Begin(membudget.PhaseIdle)
	case http.StateHijacked:
		c.holder.Begin(membudget.PhasePeer)
	}
}
