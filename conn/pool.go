// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
)

// Bounds of a pool.
const (
	// MaxIdle is the number of idle connections kept to one backend server.
	MaxIdleConns = 16
	// IdleTime is how long an idle connection is kept.
	DefaultIdleTimeout = 30 * time.Second
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
)

// Pool keeps connections to one backend server. The fields are set before use.
type Pool struct {
	Address string
	// Dialer opens connections; nil: one with DialTimeout.
	Dialer *net.Dialer
	// IdleTime is how long an idle connection is kept, unless the backend server
	// says that it keeps it for less. Zero means the constant IdleTime.
	IdleTimeout time.Duration

	mu   sync.Mutex
	idle []*pooledConn // most recently used last
}

// link is one connection with its buffers.
type pooledConn struct {
	net.Conn
	r           *bufio.Reader
	w           *bufio.Writer
	idleSince   time.Duration // idle since, by clock.Now
	idleTimeout time.Duration
	bytesSent   int64 // bytes handed to the kernel for the present request
	// allowed is asked right before each first write of a request, so that a
	// process that was frozen in between does not send what it no longer may.
	allowed func() bool
	// withheld is set once allowed said no.
	withheld atomic.Bool
}

const bufferSize = 16 << 10

// NotAllowed is the error of a request that Options.Allowed refused. No byte
// of it was sent.
const ErrNotAllowed = errors.ConstError("the dispatch is no longer allowed")

// Write counts what leaves.
func (l *pooledConn) Write(p []byte) (int, error) {
	if l.bytesSent == 0 && !l.allowed() {
		l.withheld.Store(true)
		return 0, ErrNotAllowed
	}
	n, err := l.Conn.Write(p)
	l.bytesSent += int64(n)
	return n, err
}

// get returns an idle connection that still looks open, or a new one.
func (p *Pool) getConn(ctx context.Context) (*pooledConn, error) {
	for {
		l := p.popIdle()
		if l == nil {
			break
		}
		if clock.Now()-l.idleSince < l.idleTimeout && isIdle(l.Conn) {
			return l, nil
		}
		_ = l.Conn.Close() // it is of no more use
	}
	return p.dial(ctx)
}

// Open opens a connection and keeps it for a request to come. The error says that
// the backend server can't be reached.
func (p *Pool) Open(ctx context.Context) error {
	l, err := p.dial(ctx)
	if err != nil {
		return err
	}
	l.idleTimeout = p.idleTimeout()
	p.putIdle(l)
	return nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (*pooledConn, error) {
	d := p.Dialer
	if d == nil {
		d = &net.Dialer{Timeout: DialTimeout}
	}
	c, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "open connection to %s", p.Address)
	}
	l := &pooledConn{Conn: c, r: bufio.NewReaderSize(c, bufferSize)}
	l.w = bufio.NewWriterSize(l, bufferSize)
	return l, nil
}

func (p *Pool) idleTimeout() time.Duration {
	return cmp.Or(p.IdleTimeout, DefaultIdleTimeout)
}

// idleMargin is how long before the backend server would close an idle connection it
// is no longer used.
const idleMargin = time.Second

// keptIdle bounds the time that an idle connection is kept by what a
// Keep-Alive header says.
func keepAliveTimeout(own time.Duration, header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil && s >= 0 {
			own = min(own, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return own
}

func (p *Pool) popIdle() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	l := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return l
}

func (p *Pool) putIdle(l *pooledConn) {
	l.idleSince = clock.Now()
	p.mu.Lock()
	if len(p.idle) < MaxIdleConns {
		p.idle = append(p.idle, l)
		l = nil
	}
	p.mu.Unlock()
	if l != nil {
		_ = l.Conn.Close() // one too many
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	for l := p.popIdle(); l != nil; l = p.popIdle() {
		_ = l.Conn.Close() // nothing is in flight on it
	}
}

// quiet reports whether an idle connection is open with nothing to read. An
// backend server that closed it, or that sent an answer nobody waits for, is not.
func isIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
