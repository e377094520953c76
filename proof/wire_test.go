// SPDX-License-Identifier: MIT

package proof

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// faultyProxy forwards loopback connections to backend servers and cuts some of them:
// before, during and after a request, and during a response.
type faultyProxy struct {
	t        *testing.T
	cutOneIn atomic.Uint64 // one in this many connections and chunks is cut; 0 cuts none
	cuts     atomic.Int64  // connections cut so far
}

// listenFor starts a listener that forwards connections to the target, and returns its
// address.
func (p *faultyProxy) listenFor(target netip.AddrPort) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(p.t, err)
	p.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn), target)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// forward copies a connection in both directions, or resets it if it is to be cut or
// the target can't be reached.
func (p *faultyProxy) forward(from *net.TCPConn, target netip.AddrPort) {
	to, err := net.Dial("tcp", target.String())
	if err != nil || p.shouldCut() {
		_ = from.SetLinger(0)
		_ = from.Close()
		if to != nil {
			_ = to.Close()
		}
		return
	}
	go p.copyOneWay(from, to.(*net.TCPConn))
	p.copyOneWay(to.(*net.TCPConn), from)
}

// shouldCut decides at random whether to cut, and counts the cuts.
func (p *faultyProxy) shouldCut() bool {
	n := p.cutOneIn.Load()
	if n == 0 || rand.Uint64N(n) > 0 {
		return false
	}
	p.cuts.Add(1)
	return true
}

// copyOneWay copies one direction of a connection. A cut forwards only a part of the
// current chunk and closes both connections.
func (p *faultyProxy) copyOneWay(from, to *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.shouldCut() {
			_, _ = to.Write(buf[:rand.IntN(n+1)])
			_ = from.Close()
			_ = to.Close()
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
