// SPDX-License-Identifier: MIT

package network

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// listener is a UDP socket.
type listener struct {
	conn *net.UDPConn
	addr netip.AddrPort
}

// listen opens a UDP socket that drops datagrams from an IP address.
func listen(t *testing.T, dropped string) listener {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.2.9:0")))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	l := listener{conn: c, addr: c.LocalAddr().(*net.UDPAddr).AddrPort()}
	assert.NilError(t, FilterSockets(DropFrom(netip.MustParseAddr(dropped)), l.matches))
	return l
}

// matches reports whether a socket is that of the listener.
func (l listener) matches(local, _ netip.AddrPort) bool { return local == l.addr }

// receives reports whether a datagram from an IP address arrives.
func (l listener) receives(t *testing.T, from string) bool {
	t.Helper()
	c, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(from)}, net.UDPAddrFromAddrPort(l.addr))
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte(from))
	assert.NilError(t, err)
	assert.NilError(t, l.conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, _, err = l.conn.ReadFromUDPAddrPort(make([]byte, 64))
	return err == nil
}

// TestPacketFiltersDropTraffic checks that a filter drops the datagrams that it names and
// no others, and that removing it lets them through again.
func TestPacketFiltersDropTraffic(t *testing.T) {
	const isolated, other = "127.0.2.10", "127.0.2.11"
	l := listen(t, isolated)
	assert.Assert(t, !l.receives(t, isolated))
	assert.Assert(t, l.receives(t, other))
	assert.NilError(t, FilterSockets(nil, l.matches))
	assert.Assert(t, l.receives(t, isolated))
	assert.NilError(t, FilterSockets(DropAll, l.matches))
	assert.Assert(t, !l.receives(t, other))
}

// TestCutAffectsOneSender cuts one of two senders off from a receiver in each way, and checks what
// happens to its new connections, to bytes on open ones, and to those of the other sender.
func TestCutAffectsOneSender(t *testing.T) {
	receiver, err := net.Listen("tcp4", "127.0.2.9:0")
	assert.NilError(t, err)
	defer receiver.Close()
	to := netip.MustParseAddrPort(receiver.Addr().String())
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := receiver.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var n Network
	isolated, other := netip.MustParseAddr("127.0.2.10"), netip.MustParseAddr("127.0.2.11")
	dial := func(from netip.Addr) (net.Conn, error) {
		return n.Dialer(from, &net.Dialer{Timeout: 200 * time.Millisecond}).Dial("tcp4", to.String())
	}
	arrives := func(from, to net.Conn) bool {
		_, err := from.Write([]byte("x"))
		assert.NilError(t, err)
		assert.NilError(t, to.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err = to.Read(make([]byte, 1))
		return err == nil
	}
	for _, x := range []struct {
		cut                      Cut
		refused, forth, backward bool
	}{
		{Silent, false, false, false}, {ResponsesLost, false, true, false}, {Refused, true, true, true}, {Hanging, false, true, true},
	} {
		open, err := dial(isolated)
		assert.NilError(t, err)
		peer := <-accepted
		assert.NilError(t, n.Set(x.cut, isolated, to))
		_, err = dial(isolated)
		assert.Equal(t, errors.Is(err, syscall.ECONNREFUSED), x.refused, "%v: %v", x.cut, err)
		assert.Assert(t, err != nil, "%v", x.cut)
		assert.Equal(t, arrives(open, peer), x.forth, "%v", x.cut)
		assert.Equal(t, arrives(peer, open), x.backward, "%v", x.cut)
		c, err := dial(other)
		assert.NilError(t, err)
		otherPeer := <-accepted
		assert.Assert(t, arrives(c, otherPeer) && arrives(otherPeer, c))
		assert.NilError(t, n.Set(None, isolated, to))
		c, err = dial(isolated)
		assert.NilError(t, err)
		assert.Assert(t, arrives(c, <-accepted))
	}
}
