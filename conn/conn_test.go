// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func FuzzParseReport(f *testing.F) {
	f.Add([]byte(`{"state":"ready","boot":"b","inFlight":1,"slots":4}`))
	f.Add([]byte(`{"state":"leaving"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		rep, err := ParseReport(b)
		assert.Assert(t, err != nil || rep.InFlight >= 0 && rep.Slots >= 0 && len(rep.Boot) <= maxBootIDBytes)
	})
}

// startScriptedBackend starts a server that runs f for each connection, and returns a pool for it.
func startScriptedBackend(t *testing.T, f func(net.Conn, *bufio.Reader)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c, bufio.NewReader(c))
		}
	}()
	return &Pool{Address: l.Addr().String()}
}

// exchange dispatches a request and returns the body, the error, and the value that Release was
// called with.
func exchange(t *testing.T, p *Pool, body string, deadline time.Duration, allowed bool) (string, error, bool) {
	t.Helper()
	released := make(chan bool, 2)
	req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader(body))
	assert.NilError(t, err)
	ex, err := p.Dispatch(context.Background(), req, Options{
		Deadline: time.Now().Add(deadline),
		Allowed:  func() bool { return allowed },
		Release:  func(unresponsive bool) { released <- unresponsive },
	})
	got := ""
	if err == nil {
		var b []byte
		b, err = io.ReadAll(ex.Response.Body)
		got = string(b)
		ex.Close()
	}
	unresponsive := <-released
	assert.Equal(t, len(released), 0) // released once
	return got, err, unresponsive
}

func TestConnectionIsReused(t *testing.T) {
	var conns atomic.Int64
	p := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for range 3 {
		got, err, unresponsive := exchange(t, p, "body", time.Second, true)
		assert.NilError(t, err)
		assert.Assert(t, got == "ok" && !unresponsive)
	}
	assert.Equal(t, conns.Load(), int64(1))
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	p := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = c.Close() // without having announced it
	})
	for range 3 {
		_, err, _ := exchange(t, p, "body", time.Second, true)
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond) // the close arrives
	}
}

func TestRefusedDispatchSendsNothing(t *testing.T) {
	var got atomic.Int64
	p := startScriptedBackend(t, func(_ net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		got.Add(n)
	})
	_, err, _ := exchange(t, p, "body", time.Second, false)
	assert.ErrorIs(t, err, ErrNotAllowed)
	assert.Equal(t, got.Load(), int64(0))
}

// TestDispatchRefusedAfterStartSendsNothing guards against a refused dispatch that is reported as a
// possibly sent request with a passed deadline, 0.3 ms after its start. That happened if Allowed
// returned true as the dispatch of a request with a body began, and false as its first byte was to
// be sent, for example because the response to another request had meanwhile requested a backoff. The
// sender of the body interrupted the reader of the response, which took that for a lost response.
func TestDispatchRefusedAfterStartSendsNothing(t *testing.T) {
	var got atomic.Int64
	p := startScriptedBackend(t, func(_ net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		got.Add(n)
	})
	for range 50 {
		calls := 0
		req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader("body"))
		assert.NilError(t, err)
		_, err = p.Dispatch(context.Background(), req, Options{
			Deadline: time.Now().Add(time.Second),
			Allowed:  func() bool { calls++; return calls == 1 },
			Release:  func(bool) {}, CloseImmediately: true,
		})
		assert.ErrorIs(t, err, ErrNotAllowed)
		var d *DispatchError
		assert.Assert(t, errors.As(err, &d) && !d.Sent)
	}
	assert.Equal(t, got.Load(), int64(0))
}

// TestUnresponsiveBackend checks that the token is released after the deadline and the margin, as
// unresponsive, if the backend server does not close its side, and immediately if it does.
func TestUnresponsiveBackend(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	unresponsivePool := startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader) {
		<-done // an unreferenced connection would be closed by the garbage collector
		_ = c.Close()
	})
	start := time.Now()
	_, err, unresponsive := exchange(t, unresponsivePool, "body", 100*time.Millisecond, true)
	assert.Assert(t, err != nil && unresponsive)
	assert.Assert(t, time.Since(start) >= 100*time.Millisecond+ReleaseMargin)
	closing := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.Copy(io.Discard, r) // until the client half-closes the connection
		_ = c.Close()
	})
	start = time.Now()
	_, err, unresponsive = exchange(t, closing, "body", 100*time.Millisecond, true)
	assert.Assert(t, err != nil && !unresponsive)
	assert.Assert(t, time.Since(start) < 100*time.Millisecond+ReleaseMargin)
}

// TestHeadersMayBeModifiedAfterClose checks, with the race detector, that nothing reads the headers
// of a response once the exchange is closed, since the caller modifies them. TestOutageWithDeaths
// found this as a crash.
func TestHeadersMayBeModifiedAfterClose(t *testing.T) {
	p := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for range 50 {
		released := make(chan bool, 1)
		req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader("body"))
		assert.NilError(t, err)
		ex, err := p.Dispatch(context.Background(), req, Options{
			Deadline: time.Now().Add(time.Second), Allowed: func() bool { return true },
			Release: func(unresponsive bool) { released <- unresponsive },
		})
		assert.NilError(t, err)
		_, err = io.ReadAll(ex.Response.Body)
		assert.NilError(t, err)
		ex.Close()
		ex.Response.Header.Set("X", "mine")
		<-released
	}
}

func TestKeepAliveBoundsIdleTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 30 * time.Second, "timeout=7": 6 * time.Second, "max=5, timeout=3": 2 * time.Second,
		"timeout=x": 30 * time.Second, "timeout=600": 30 * time.Second, "timeout=0": -time.Second,
	} {
		assert.Equal(t, keepAliveTimeout(30*time.Second, header), want, header)
	}
}

// TestOpenKeepsConnectionForNextRequest checks that a connection that was opened in advance is used
// by the next request, and that a closed port is an error.
func TestOpenKeepsConnectionForNextRequest(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &Pool{Address: l.Addr().String()}
	assert.NilError(t, p.Open(context.Background()))
	assert.Equal(t, len(p.idle), 1)
	c, err := p.getConn(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(p.idle), 0)
	assert.NilError(t, c.Close())
	assert.NilError(t, l.Close())
	assert.Assert(t, p.Open(context.Background()) != nil)
}
