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

// script is a server that does one thing with each connection.
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

// exchange dispatches a request and returns the body, the error, and how the
// token was released.
func exchange(t *testing.T, p *Pool, body string, deadline time.Duration, allowed bool) (string, error, bool) {
	t.Helper()
	released := make(chan bool, 2)
	req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader(body))
	assert.NilError(t, err)
	ex, err := p.Dispatch(context.Background(), req, Options{
		Deadline: time.Now().Add(deadline),
		Allowed:  func() bool { return allowed },
		Release:  func(silent bool) { released <- silent },
	})
	got := ""
	if err == nil {
		var b []byte
		b, err = io.ReadAll(ex.Response.Body)
		got = string(b)
		ex.Close()
	}
	silent := <-released
	assert.Equal(t, len(released), 0) // released once
	return got, err, silent
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
		got, err, silent := exchange(t, p, "body", time.Second, true)
		assert.NilError(t, err)
		assert.Assert(t, got == "ok" && !silent)
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
		_ = c.Close() // though it did not say so
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

// TestDispatchThatIsRefusedMidwaySendsNothing tells a story of its own. Seen: a request ended
// after 0.3 ms with "deadline passed", and may have run. How: a request with a body is allowed
// as its dispatch begins and no longer as its first byte is to leave, as it happens when the
// answer to another one says meanwhile that its server wants rest. Cause: the sender of the
// body woke the reader of the answer, which took that for a lost answer.
func TestDispatchRefusedAfterStartSendsNothing(t *testing.T) {
	var got atomic.Int64
	p := startScriptedBackend(t, func(_ net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		got.Add(n)
	})
	for range 50 {
		asked := 0
		req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader("body"))
		assert.NilError(t, err)
		_, err = p.Dispatch(context.Background(), req, Options{
			Deadline: time.Now().Add(time.Second),
			Allowed:  func() bool { asked++; return asked == 1 },
			Release:  func(bool) {}, CloseImmediately: true,
		})
		assert.ErrorIs(t, err, ErrNotAllowed)
		var d *DispatchError
		assert.Assert(t, errors.As(err, &d) && !d.Sent)
	}
	assert.Equal(t, got.Load(), int64(0))
}

// TestSilentBackend: the token comes back after deadline and margin, as silent,
// if the backend server does not close its side; at once if it does.
func TestUnresponsiveBackend(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	silentPool := startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader) {
		<-done // a connection that nothing refers to would be closed by the collector
		_ = c.Close()
	})
	start := time.Now()
	_, err, silent := exchange(t, silentPool, "body", 100*time.Millisecond, true)
	assert.Assert(t, err != nil && silent)
	assert.Assert(t, time.Since(start) >= 100*time.Millisecond+ReleaseMargin)
	closing := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.Copy(io.Discard, r) // until the half close
		_ = c.Close()
	})
	start = time.Now()
	_, err, silent = exchange(t, closing, "body", 100*time.Millisecond, true)
	assert.Assert(t, err != nil && !silent)
	assert.Assert(t, time.Since(start) < 100*time.Millisecond+ReleaseMargin)
}

// TestHeadersBelongToTheCaller checks, with the race detector, that nothing
// reads an answer's headers once the exchange is closed: the caller changes
// them. It is the crash that TestOutageWithDeaths saw.
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
			Release: func(silent bool) { released <- silent },
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

// TestOpenKeepsAConnectionForARequest checks that a connection that was opened
// beforehand is used by the next request, and that a dead port is an error.
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
