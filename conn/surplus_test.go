// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// surplusResponse is what a defective backend server sends after a whole response. It does not belong to any request.
const surplusResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// surplusBackend sends a surplus after the first response of each connection.
type surplusBackend struct {
	*Pool
	conns   atomic.Int64
	surplus string
	wait    func() // until the surplus is sent; nil: it is sent together with the response
}

func startSurplusBackend(t *testing.T, surplus string, wait func()) *surplusBackend {
	b := &surplusBackend{surplus: surplus, wait: wait}
	b.Pool = startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		b.conns.Add(1)
		for sent := false; ; sent = true {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			if !sent && b.wait == nil {
				text += b.surplus
			}
			_, _ = io.WriteString(c, text)
			if !sent && b.wait != nil {
				b.wait()
				_, _ = io.WriteString(c, b.surplus)
			}
		}
	})
	return b
}

// TestConnectionWithSurplusIsNotReused guards against a request that gets the bytes that a backend server sent after the
// response to the previous one, whole or cut, in the same packet or while the connection was idle.
func TestConnectionWithSurplusIsNotReused(t *testing.T) {
	for _, surplus := range []string{surplusResponse, surplusResponse[:20], "x", "\r\n"} {
		for name, wait := range map[string]func(){"with the response": nil, "later": func() { time.Sleep(5 * time.Millisecond) }} {
			b := startSurplusBackend(t, surplus, wait)
			for i := range 3 {
				got, err, unresponsive := exchange(t, b.Pool, "body", 10*time.Second, true)
				assert.NilError(t, err, "%q %s", surplus, name)
				assert.Assert(t, got == "ok" && !unresponsive, "%q %s: %q", surplus, name, got)
				assert.Equal(t, b.conns.Load(), int64(i+1), "%q %s", surplus, name)
				if wait != nil {
					time.Sleep(50 * time.Millisecond) // the surplus arrives
				}
			}
		}
	}
}

// TestSurplusBeforeFirstByteIsNoResponse guards against a surplus that arrives once a connection has been taken for a
// request, and that is taken for the response although no byte was sent. The connection must be closed, and the request
// counts as not sent.
func TestSurplusBeforeFirstByteIsNoResponse(t *testing.T) {
	for _, surplus := range []string{surplusResponse, "x"} {
		taken := make(chan struct{})
		b := startSurplusBackend(t, surplus, func() { <-taken })
		_, err, _ := exchange(t, b.Pool, "body", 10*time.Second, true)
		assert.NilError(t, err)
		req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader("body"))
		assert.NilError(t, err)
		var once sync.Once
		_, err = b.Dispatch(t.Context(), req, Options{
			Deadline: time.Now().Add(10 * time.Second), Release: func(bool) {}, CloseImmediately: true,
			Allowed: func() bool {
				once.Do(func() {
					close(taken)
					time.Sleep(50 * time.Millisecond) // the surplus arrives
				})
				return true
			},
		})
		var dispatchErr *DispatchError
		assert.Assert(t, errors.As(err, &dispatchErr) && !dispatchErr.Sent, "%q: %v", surplus, err)
		assert.ErrorIs(t, err, ErrNotIdle)
		got, err, _ := exchange(t, b.Pool, "body", 10*time.Second, true)
		assert.NilError(t, err)
		assert.Equal(t, got, "ok")
	}
}

// brokenOffHead is a response that breaks off within its head if any part of its end is missing.
const brokenOffHead = "HTTP/1.1 503 Service Unavailable\r\nX-Load: 6,18,6\r\nX-Request-Id: another\r\nContent-Length: 0\r\n"

// TestMergedResponseIsNoResponse guards against a response that broke off within its head, and is taken for the beginning
// of the next one. That may come too late to tell the connection from an idle one.
func TestMergedResponseIsNoResponse(t *testing.T) {
	for i := 1; i <= len(brokenOffHead); i++ {
		res, _, err := readFrom(strings.NewReader(brokenOffHead[:i] + typicalHead))
		assert.Assert(t, err != nil, "%q before a response is read as %v", brokenOffHead[:i], res)
	}
	for _, head := range []string{"Content-Length: 2\r\nContent-Length: 2\r\n", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"} {
		_, _, err := readFrom(strings.NewReader(okLine + head + "\r\nok"))
		assert.ErrorIs(t, err, ErrMerged)
	}
	res, _, err := readFrom(strings.NewReader(okLine + "Via: HTTP/1.1 proxy\r\nServer: HTTP/1.1\r\nUpgrade: HTTP/2.0\r\nLink: <http/1.1 200 ok>\r\n\r\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(res.Header), 4)
	_, _, err = readFrom(strings.NewReader("HTTP/1.1 505 HTTP Version Not Supported\r\n\r\n"))
	assert.NilError(t, err)
}
