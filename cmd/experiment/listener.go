package main

import (
	"net"
	"sync/atomic"
)

// countingListener is a listener that counts its open connections and the bytes read and
// written on all connections that it has accepted.
type countingListener struct {
	net.Listener
	bytes, open atomic.Int64
}

// Accept implements net.Listener and counts the accepted connection as open.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: conn, listener: l}, nil
}

// countedConn is a connection that a countingListener accepted.
type countedConn struct {
	net.Conn
	listener *countingListener
	closed   atomic.Bool
}

// Read implements net.Conn and counts the bytes read.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn. The first call removes the connection from the open count.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
