package stricthttp

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// LossError is the error of a Read from a connection that was lost during a Write.
type LossError struct {
	// Cause is the error that the Write returned.
	Cause error
}

// Error returns the cause of the loss.
func (e *LossError) Error() string { return "connection lost under a write: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *LossError) Unwrap() error { return e.Cause }

// Conn is a TCP connection on which Read returns io.EOF only if the peer ended its direction in order.
//
// The kernel reports the error of a connection, such as a reset, to one call only. If that call is a Write, each later
// Read returns io.EOF, so that a response without a length would look complete.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a Write
	lost    error      // first error of the connection that a Write returned
}

// NewConn returns a Conn that reads and writes by conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && isConnectionLoss(err) {
		c.lost = err
	}
	return n, err
}

// isConnectionLoss reports whether err is an error of a connection whose peer has not ended its direction. After the
// peer has done that, a reset is reported as EPIPE.
func isConnectionLoss(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// Read implements io.Reader. If the connection was lost during a Write, it returns a *LossError. At the end it closes the
// connection if a Write is under way, because only the result of the Write tells whether the connection was lost.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.writing.TryLock() {
		_ = c.Close()
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.lost != nil {
		return n, &LossError{Cause: c.lost}
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return conn.SyscallConn()
}
