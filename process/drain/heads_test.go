// SPDX-License-Identifier: MIT

package drain

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/metric"
)

const rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// serveWithBudget starts a server whose heads may take limit bytes.
func serveWithBudget(t *testing.T, limit int64, h http.Handler) (*Conns, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conns := &Conns{Heads: &HeadBudget{Limit: limit, Response: []byte(rejection), Log: zerolog.Nop(), Metrics: metric.NewSet()}}
	s := &http.Server{Handler: h, ConnState: conns.OnStateChange, ConnContext: conns.ConnContext, MaxHeaderBytes: MaxRequestHeadBytes}
	go func() { _ = s.Serve(Listener{l.(*net.TCPListener), conns}) }() // returns when the server is closed
	t.Cleanup(func() { _ = s.Close() })
	return conns, l.Addr().String()
}

// dialFrom connects from a loopback address.
func dialFrom(t *testing.T, ip, address string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := d.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c
}

// TestFloodOfHeadsEndsItsOwnConnections guards against heads of one address that take all memory, or the room of others:
// a caller of another address that sends a larger head slowly, and small heads of the same address, are served.
func TestFloodOfHeadsEndsItsOwnConnections(t *testing.T) {
	t.Parallel()
	const limit, flooding, floodHead = 256 << 10, 40, 16 << 10
	conns, address := serveWithBudget(t, limit, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	slow := dialFrom(t, "127.0.0.2", address)
	const pieces = 8
	head := "GET / HTTP/1.1\r\nHost: a\r\nX-Large: "
	var flood []net.Conn
	for n := range pieces {
		_, err := io.WriteString(slow, head+strings.Repeat("y", 4<<10))
		assert.NilError(t, err)
		head = ""
		for range flooding / pieces {
			c := dialFrom(t, "127.0.0.1", address)
			flood = append(flood, c)
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nX-Large: "+strings.Repeat("x", floodHead)) // it may be ended meanwhile
		}
		await(t, "the parts are read", func() bool { return conns.Pending(time.Minute) > n && conns.Unread() == 0 })
		assert.Assert(t, conns.Heads.Held() <= limit)
		small := dialFrom(t, "127.0.0.1", address)
		_, err = io.WriteString(small, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(small), nil)
		assert.NilError(t, err)
	}
	await(t, "heads were rejected", func() bool { return conns.Heads.Metrics.Counter("request_heads_rejected_total").Count() > 0 })
	_, err := io.WriteString(slow, "\r\n\r\n")
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	for _, c := range flood {
		_ = c.Close()
	}
	await(t, "nothing is held", func() bool { return conns.Heads.Held() == 0 })
}

// TestRejectedHeadIsAnswered checks what the caller of a head beyond the limit gets, also if it sends no more.
func TestRejectedHeadIsAnswered(t *testing.T) {
	t.Parallel()
	conns, address := serveWithBudget(t, 6<<10, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("it runs") }))
	first, second := dial(t, address), dial(t, address)
	_, err := io.WriteString(first, "GET / HTTP/1.1\r\nX-Large: "+strings.Repeat("x", 4000))
	assert.NilError(t, err)
	await(t, "the first is read", func() bool { return conns.Heads.Held() > 4000 })
	_, err = io.WriteString(second, "GET / HTTP/1.1\r\nX-Large: "+strings.Repeat("x", 2000))
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
}

// TestShortHeaderLinesCountForTheirMemory guards against heads of many short lines, which take many times their bytes.
func TestShortHeaderLinesCountForTheirMemory(t *testing.T) {
	assert.Equal(t, headCost([]byte("a:\r\nb:\r\n")), int64(8+2*HeaderLineOverhead))
	assert.Equal(t, headCost([]byte("GET / HT")), int64(8))
}

// TestBodyDoesNotCountAsHead guards against requests that are refused for the lines of their bodies, of which a part is read together
// with the head.
func TestBodyDoesNotCountAsHead(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("\n", 2000)
	conns, address := serveWithBudget(t, 8<<10, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil && string(b) == body)
	}))
	for range 20 {
		res, err := http.Post("http://"+address, "text/plain", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	assert.Equal(t, conns.Heads.Metrics.Counter("request_heads_rejected_total").Count(), int64(0))
}

// TestRejectedRequestNeverRuns guards against a request that runs though its caller was told that it does not, or is dropped though
// its head was read as a whole. Heads arrive in pieces while others exceed the budget at any moment.
func TestRejectedRequestNeverRuns(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	ran := make(map[string]bool)
	conns, address := serveWithBudget(t, 2<<10, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.URL.Path] = true
		mu.Unlock()
		time.Sleep(rand.N(time.Millisecond))
		b, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil && string(b) == "body", "%q %v", b, err)
	}))
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for i := range 200 {
				if c == nil {
					c = dial(t, address)
					in = bufio.NewReader(c)
				}
				path := fmt.Sprintf("/%d-%d", n, i)
				half := strings.Repeat("x", rand.N(1500))
				for _, piece := range []string{"POST " + path + " HTTP/1.1\r\nX-Half: " + half, half + "\r\nHost: a\r\nContent-Length: 4\r\n\r\n", "body"} {
					_, _ = io.WriteString(c, piece) // the response tells whether it arrived
					time.Sleep(rand.N(400 * time.Microsecond))
				}
				res, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
				}
				mu.Lock()
				served := err == nil && res.StatusCode == http.StatusOK
				assert.Check(t, served == ran[path], "%s: served %t, ran %t, %v", path, served, ran[path], err)
				mu.Unlock()
				if !served {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	callers.Wait()
	assert.Assert(t, conns.Heads.Metrics.Counter("request_heads_rejected_total").Count() > 0)
	assert.Equal(t, conns.Heads.Held(), int64(0))
}
