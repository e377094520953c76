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

// NewDialer returns a dialer that gives up after timeout. Its connections fail if sent bytes stay
// unacknowledged for ackTimeout, and their receive buffers are set to SocketBufferSize.
func NewDialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
				// The connection works without it, so an error is ignored.
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, SocketBufferSize)
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}
