// Package tcpopt sets the TCP options that limit for how long the kernel delivers what a process has sent.
package tcpopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control sets options of a socket before it connects; see net.Dialer.
type Control func(network, address string, conn syscall.RawConn) error

// DiscardOnClose makes the kernel discard the bytes that the peer has not acknowledged, and reset the connection, when
// the connection is closed or its process ends. Otherwise the kernel goes on to retransmit them for minutes, as the
// peer may be out of reach. It is a Control.
func DiscardOnClose(_, _ string, conn syscall.RawConn) error {
	return setOption(conn, func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	})
}

// AckTimeout returns a Control that makes the kernel discard the bytes of a connection, and close it, once some of
// them have not been acknowledged for the given time. The time begins at their first retransmission.
func AckTimeout(timeout time.Duration) Control {
	return func(_, _ string, conn syscall.RawConn) error {
		return setOption(conn, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
	}
}

// Join returns a Control that applies all of the given ones.
func Join(controls ...Control) Control {
	return func(network, address string, conn syscall.RawConn) error {
		for _, apply := range controls {
			if err := apply(network, address, conn); err != nil {
				return err
			}
		}
		return nil
	}
}

// setOption applies set to the descriptor of a socket.
func setOption(conn syscall.RawConn, set func(fd int) error) error {
	var failed error
	if err := conn.Control(func(fd uintptr) { failed = set(int(fd)) }); err != nil {
		return err
	}
	return failed
}
