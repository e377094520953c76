// SPDX-License-Identifier: MIT

package conn

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT: how long sent
// bytes may stay unacknowledged before the connection fails.
const tcpUserTimeout = 0x12

// SocketBuffer is the size of the kernel's buffer for what a peer was sent, or has sent, and nobody
// has read yet, in bytes. Left to itself the kernel takes megabytes for each connection whose
// other side is slow, which count against the memory of the process.
const SocketBufferSize = 128 << 10

// NewDialer returns a dialer that gives up after timeout, and whose
// connections fail when what was sent is not acknowledged for silence. Each holds SocketBuffer
// of unread bytes at most.
func NewDialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
				// Where it can't be set the connection works all the same.
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, SocketBufferSize)
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
