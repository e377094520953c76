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

// Limits of a pool.
const (
	// MaxIdleConns is the number of idle connections that are kept to one backend server.
	MaxIdleConns = 16
	// DefaultIdleTimeout is how long an idle connection is kept.
	DefaultIdleTimeout = 30 * time.Second
	// DialTimeout limits the time to open a connection.
	DialTimeout = time.Second
)

// Pool keeps connections to one backend server. The exported fields must be set before use.
type Pool struct {
	Address string
	// Dialer opens connections. If nil, a dialer with DialTimeout is used.
	Dialer *net.Dialer
	// IdleTimeout is how long an idle connection is kept, unless the backend server announces a
	// shorter time. Zero means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// ToInstance is set if the address is that of another instance, which adds headers to the responses of backend
	// servers.
	ToInstance bool

	mu   sync.Mutex
	idle []*pooledConn // most recently used last
}

// pooledConn is a connection with its buffers.
type pooledConn struct {
	socket
	toInstance  bool // as in the pool
	r           *bufio.Reader
	w           *bufio.Writer
	idleSince   time.Duration // when it became idle, by clock.Now
	idleTimeout time.Duration
	bytesSent   int64 // bytes of the current request that were written to the socket
	// allowed is called right before the first write of each request, so that a process that was
	// frozen in between does not send a request that it may no longer send.
	allowed func() bool
	// started is closed right before the first write of the current request.
	started chan struct{}
	// withheld is why the first write was refused, which ends the connection; nil before.
	withheld atomic.Pointer[error]
}

const bufferSize = 16 << 10

// Errors of requests of which no byte was sent.
const (
	// ErrNotAllowed is the error of a request that Options.Allowed refused.
	ErrNotAllowed = errors.ConstError("the dispatch is no longer allowed")
	// ErrNotIdle is the error of a request whose connection was closed, or had bytes to read, when the request was to be
	// sent.
	ErrNotIdle = errors.ConstError("the connection is closed or has unexpected bytes")
)

// begin prepares the connection for a request.
func (c *pooledConn) begin(allowed func() bool) {
	c.bytesSent = 0
	c.allowed = allowed
	c.started = make(chan struct{})
}

// Write writes to the connection and counts the bytes.
func (c *pooledConn) Write(p []byte) (int, error) {
	if c.bytesSent == 0 {
		if err := c.checkFirstWrite(); err != nil {
			c.withheld.Store(&err)
			return 0, err
		}
	}
	n, err := c.socket.Write(p)
	c.bytesSent += int64(n)
	return n, err
}

// checkFirstWrite returns an error if the current request may not be sent on this connection.
func (c *pooledConn) checkFirstWrite() error {
	if !c.isIdle() {
		return ErrNotIdle
	}
	if !c.allowed() {
		return ErrNotAllowed
	}
	close(c.started)
	return nil
}

// isIdle reports whether the connection is open, and everything that arrived on it has been read. Bytes after a response
// belong to no request, so the next one must not be sent on the connection.
func (c *pooledConn) isIdle() bool { return c.r.Buffered() == 0 && hasNothingToRead(c.Conn) }

// getConn returns an idle connection that still appears open, or a new one.
func (p *Pool) getConn(ctx context.Context) (*pooledConn, error) {
	for {
		conn := p.popIdle()
		if conn == nil {
			break
		}
		if clock.Now()-conn.idleSince < conn.idleTimeout && conn.isIdle() {
			return conn, nil
		}
		_ = conn.Conn.Close() // expired, or the backend server has closed it or sent more than a response
	}
	return p.dial(ctx)
}

// Open opens a connection and keeps it for a later request. It fails if the backend server cannot
// be reached.
func (p *Pool) Open(ctx context.Context) error {
	conn, err := p.dial(ctx)
	if err != nil {
		return err
	}
	conn.idleTimeout = p.idleTimeout()
	p.putIdle(conn)
	return nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (*pooledConn, error) {
	d := p.Dialer
	if d == nil {
		d = &net.Dialer{Timeout: DialTimeout, Control: ReuseLocalAddress}
	}
	netConn, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "open connection to %s", p.Address)
	}
	conn := &pooledConn{socket: socket{Conn: netConn}, toInstance: p.ToInstance}
	conn.r = bufio.NewReaderSize(conn, bufferSize)
	conn.w = bufio.NewWriterSize(conn, bufferSize)
	return conn, nil
}

func (p *Pool) idleTimeout() time.Duration {
	return cmp.Or(p.IdleTimeout, DefaultIdleTimeout)
}

// idleMargin is how long before the backend server would close an idle connection the pool stops
// using it.
const idleMargin = time.Second

// keepAliveTimeout returns the idle timeout of a connection: own, or less if the Keep-Alive header
// announces a shorter one.
func keepAliveTimeout(own time.Duration, header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds >= 0 {
			own = min(own, time.Duration(seconds)*time.Second-idleMargin)
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
	conn := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return conn
}

// putIdle keeps a connection for a later request if it is idle.
func (p *Pool) putIdle(conn *pooledConn) {
	if !conn.isIdle() {
		_ = conn.Conn.Close() // by the backend server, or it has sent more than a response
		return
	}
	conn.idleSince = clock.Now()
	p.mu.Lock()
	if len(p.idle) < MaxIdleConns {
		p.idle = append(p.idle, conn)
		conn = nil
	}
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Conn.Close() // the pool is full
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	for conn := p.popIdle(); conn != nil; conn = p.popIdle() {
		_ = conn.Conn.Close() // nothing is in flight on it
	}
}

// hasNothingToRead reports whether a connection is open with nothing to read. A connection that the backend
// server has closed, or on which it has sent an unexpected response, is not idle.
func hasNothingToRead(c net.Conn) bool {
	if _, ok := c.(syscall.Conn); !ok {
		return true
	}
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnread reports whether bytes have arrived on a connection that have not been read.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek returns how many bytes can be read from a connection, one at most, without reading them. The error is
// syscall.EAGAIN if there are none.
func peek(c net.Conn) (n int, err error) {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.NotSupportedf("peeking at this kind of connection")
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var recvErr error
	err = raw.Control(func(fd uintptr) { // unlike Read it does not wait for another goroutine that reads
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, recvErr
}
