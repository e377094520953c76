// SPDX-License-Identifier: MIT

package conn

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT: how long sent bytes may stay
// unacknowledged before the connection fails.
const tcpUserTimeout = 0x12

// SocketBufferSize is the size of the kernel buffer for bytes that a peer has sent, or was sent,
// and that have not been read yet, in bytes. By default the kernel uses megabytes for each
// connection with a slow peer, which count against the memory of the process.
const SocketBufferSize = 128 << 10

// ReuseLocalAddress is a net.Dialer.Control. It lets a process listen on the local address of the connection, which can be one of its
// settings; otherwise the connection would keep the address for a minute beyond its end.
func ReuseLocalAddress(_, _ string, c syscall.RawConn) error { return c.Control(reuseLocalAddress) }

func reuseLocalAddress(fd uintptr) {
	// The connection works without it, so an error is ignored.
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
}

// NewDialer returns a dialer that gives up after timeout. Its connections fail if sent bytes stay
// unacknowledged for ackTimeout, their receive buffers are set to SocketBufferSize, and their local
// addresses can be listened on.
func NewDialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
				// The connection works without it, so an error is ignored.
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, SocketBufferSize)
				reuseLocalAddress(fd)
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}
