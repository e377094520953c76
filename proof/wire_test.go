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

// wires forwards loopback connections to backend servers, and cuts some of them:
// before, in and after a request, and in an answer.
type faultyProxy struct {
	t        *testing.T
	cutOneIn atomic.Uint64 // one chunk in so many is cut; 0: none
	cuts     atomic.Int64  // connections cut so far
}

// through returns an address that forwards to a target.
func (w *faultyProxy) listenFor(target netip.AddrPort) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.forward(c.(*net.TCPConn), target)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func (w *faultyProxy) forward(from *net.TCPConn, target netip.AddrPort) {
	to, err := net.Dial("tcp", target.String())
	if err != nil || w.shouldCut() {
		_ = from.SetLinger(0)
		_ = from.Close()
		if to != nil {
			_ = to.Close()
		}
		return
	}
	go w.copyOneWay(from, to.(*net.TCPConn))
	w.copyOneWay(to.(*net.TCPConn), from)
}

func (w *faultyProxy) shouldCut() bool {
	in := w.cutOneIn.Load()
	if in == 0 || rand.Uint64N(in) > 0 {
		return false
	}
	w.cuts.Add(1)
	return true
}

// pipe copies one direction. A cut passes a part of the present chunk on and
// breaks both connections off.
func (w *faultyProxy) copyOneWay(from, to *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && w.shouldCut() {
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
