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
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve starts a server with tracked connections.
func serve(t *testing.T, h http.Handler) (*Conns, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conns := new(Conns)
	s := &http.Server{Handler: h, ConnState: conns.OnStateChange, ConnContext: conns.ConnContext}
	go func() { _ = s.Serve(Listener{l.(*net.TCPListener), conns}) }() // returns when the server is closed
	t.Cleanup(func() { _ = s.Close() })
	return conns, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// TestConnectionWithoutRequestIsPendingBriefly checks that a connection without a request, or with a part of one, delays a
// planned stop for a limited time only, and an idle one not at all.
func TestConnectionWithoutRequestIsPendingBriefly(t *testing.T) {
	conns, address := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	c := dial(t, address)
	await(t, "the connection is pending", func() bool { return conns.Pending(time.Minute) == 1 })
	assert.Equal(t, conns.Pending(0), 0)
	assert.Equal(t, conns.EndIdle(time.Minute), 0)
	_, err := io.WriteString(c, "GET / HTTP")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, conns.Pending(time.Minute), 1)
	assert.Equal(t, conns.Pending(time.Millisecond), 0)
	assert.Equal(t, conns.EndIdle(0), 0, "a request whose reading has begun is not dropped")
	_, err = io.WriteString(c, "/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	await(t, "the connection is idle", func() bool { return conns.EndIdle(time.Minute) == 1 })
	assert.Equal(t, conns.Pending(time.Minute), 0)
	_, err = c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// TestEndIdleNeverDropsRequestsThatRun guards against requests that reach the handler, and get no response since their connection
// was taken for idle. Connections are ended at random moments of requests that come in pieces.
func TestEndIdleNeverDropsRequestsThatRun(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	conns, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.URL.Path] = true
		mu.Unlock()
		time.Sleep(rand.N(time.Millisecond))
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	stop := make(chan struct{})
	var ending sync.WaitGroup
	ended := 0
	ending.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(rand.N(500 * time.Microsecond)):
				ended += conns.EndIdle(0)
			}
		}
	})
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for i := range 300 {
				if c == nil {
					c = dial(t, address)
					in = bufio.NewReader(c)
				}
				path := fmt.Sprintf("/%d-%d", n, i)
				for _, piece := range []string{"POST " + path, " HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n", "body"} {
					_, _ = io.WriteString(c, piece) // the response tells whether it arrived
					time.Sleep(rand.N(400 * time.Microsecond))
				}
				res, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
				}
				if err != nil {
					mu.Lock()
					assert.Check(t, !ran[path], "%s ran and got no response: %v", path, err)
					mu.Unlock()
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	ending.Wait()
	assert.Assert(t, ended > 0)
}

// TestPipelinedRequestsAreAnswered guards against requests that run and get no response, or are dropped, since they were read before
// their connection became idle.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	for name, pause := range map[string]time.Duration{"read with the one before": 0, "read while the one before is served": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			var conns Conns
			var ran atomic.Int32
			s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				time.Sleep(2 * pause)
				ran.Add(1)
			}), ConnState: func(c net.Conn, to http.ConnState) {
				conns.OnStateChange(c, to)
				if to == http.StateIdle {
					conns.EndIdle(0)
				}
			}}
			go func() { _ = s.Serve(Listener{l.(*net.TCPListener), &conns}) }() // returns when the server is closed
			t.Cleanup(func() { _ = s.Close() })
			c := dial(t, l.Addr().String())
			in := bufio.NewReader(c)
			const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
			pieces := []string{request + request}
			if pause > 0 {
				pieces = []string{request, request}
			}
			for _, piece := range pieces {
				_, err = io.WriteString(c, piece)
				assert.NilError(t, err)
				time.Sleep(pause)
			}
			for range 2 {
				_, err = http.ReadResponse(in, nil)
				assert.Check(t, err, "%d requests have run", ran.Load())
			}
		})
	}
}

// TestEndedConnectionGetsNoErrorResponse guards against 400 for a proper request of which a part had been read when its connection
// was ended: the refusal that follows would come second.
func TestEndedConnectionGetsNoErrorResponse(t *testing.T) {
	conns, address := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	c := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
	assert.NilError(t, err)
	await(t, "a part has been read", func() bool {
		all := conns.list()
		return len(all) == 1 && all[0].move(stateReading, stateEnded)
	})
	_, err = io.WriteString(c, "st: a\r\n\r\n")
	assert.NilError(t, err)
	b, _ := io.ReadAll(c) // ends with EOF or a reset
	assert.Equal(t, string(b), "")
}

// TestRefuseAnswersPartsOfRequests checks that a request of which a part has been read is refused, and what comes of it later is
// dropped.
func TestRefuseAnswersPartsOfRequests(t *testing.T) {
	conns, address := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a refused request runs") }))
	c, silent := dial(t, address), dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
	assert.NilError(t, err)
	await(t, "both are pending", func() bool { return conns.Pending(time.Minute) == 2 })
	await(t, "a part has been read", func() bool {
		return conns.Refuse([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")) == 1
	})
	_, _ = io.WriteString(c, "st: a\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, conns.EndIdle(0), 1)
	_, err = silent.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

// TestRefusalIsTheOnlyResponse guards against refusals that are preceded by 400, or not sent since the server closes the connection first.
// The remainder of each request arrives while it is refused.
func TestRefusalIsTheOnlyResponse(t *testing.T) {
	conns, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }))
	for range 200 {
		c := dial(t, address)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
		assert.NilError(t, err)
		await(t, "a part has been read", func() bool {
			all := conns.list()
			return len(all) == 1 && state(all[0].state.Load()) == stateReading
		})
		var sending sync.WaitGroup
		sending.Go(func() {
			time.Sleep(rand.N(50 * time.Microsecond))
			_, _ = io.WriteString(c, "st: a\r\n\r\n")
		})
		time.Sleep(rand.N(50 * time.Microsecond))
		conns.Refuse([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		sending.Wait()
		b, _ := io.ReadAll(c) // ends with EOF or a reset
		assert.Equal(t, strings.Count(string(b), "HTTP/1.1 "), 1, "%s", b)
		assert.Assert(t, !strings.Contains(string(b), " 400 "), "%s", b)
		assert.NilError(t, c.Close())
		await(t, "the connection has ended", func() bool { return len(conns.list()) == 0 })
	}
}

// TestRequestThatWaitsUnreadIsRefused guards against connections that are reset although a request has arrived on them, since a process
// that gets little time has not read it yet.
func TestRequestThatWaitsUnreadIsRefused(t *testing.T) {
	for name, at := range map[string]state{"first request": stateNew, "next request": stateIdle} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			c := dial(t, l.Addr().String())
			accepted, err := l.Accept()
			assert.NilError(t, err)
			var conns Conns
			tracked := conns.Track(accepted.(*net.TCPConn)).(*trackedConn) // nobody reads from it
			defer tracked.Close()
			tracked.state.Store(int32(at))
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
			assert.NilError(t, err)
			await(t, "the request has arrived", func() bool { return conns.Pending(0) == 1 })
			assert.Equal(t, conns.EndIdle(0), 0)
			assert.Equal(t, conns.Refuse([]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")), 1)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
		})
	}
}
