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

// NewDialer returns a dialer that gives up after timeout, and whose
// connections fail when what was sent is not acknowledged for silence.
func NewDialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
