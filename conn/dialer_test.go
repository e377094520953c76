// SPDX-License-Identifier: MIT

package conn

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLocalAddressCanBeListenedOn guards against connections that keep an instance from starting, since the kernel gave them one of its
// ports as their local port: while they are open, and for a minute after they were closed.
func TestLocalAddressCanBeListenedOn(t *testing.T) {
	t.Parallel()
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()
	for name, d := range map[string]*net.Dialer{
		"tuned": NewDialer(time.Second, time.Second), "plain": {Control: ReuseLocalAddress},
	} {
		// Nobody else uses the address: the kernel may give connections of several processes the same local port.
		d.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 5, 1)}
		c, err := d.Dial("tcp4", server.Addr().String())
		assert.NilError(t, err)
		checkListen(t, c.LocalAddr(), name+", open")
		accepted, err := server.Accept()
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		assert.NilError(t, accepted.Close())
		checkListen(t, c.LocalAddr(), name+", closed")
	}
}

func checkListen(t *testing.T, a net.Addr, when string) {
	t.Helper()
	l, err := net.Listen("tcp4", a.String())
	assert.NilError(t, err, when)
	assert.NilError(t, l.Close())
}
