package main

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes, both ways, and the open connections that
// it accepted.
type countingListener struct {
	net.Listener
	bytes, open atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: conn, listener: l}, nil
}

// countedConn is a connection of a countingListener.
type countedConn struct {
	net.Conn
	listener *countingListener
	closed   atomic.Bool
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
