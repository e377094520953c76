// SPDX-License-Identifier: MIT

package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
)

// sendHeaderOnly announces a body of 1 MB, of which it sends nothing, and returns the response and
// the connection.
func (f *fixture) sendHeaderOnly(path string) (*http.Response, net.Conn) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.proxyServer.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", path, 1<<20)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(f.t, err)
	return res, conn
}

// TestUnservableBodyIsRejectedUnread guards against reading the large body of a request that no
// backend server will get. Instances spent more memory and processor time on such bodies than on
// the requests that they served.
func TestUnservableBodyIsRejectedUnread(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].Close()
	f.send("suspends-it", "/reads/1", "")
	start := time.Now()
	res, _ := f.sendHeaderOnly("/reads/2")
	took := time.Since(start)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.NoBackend.String())
	assert.Equal(t, res.Header.Get(request.HeaderRan), string(request.RanNo))
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, took < 100*time.Millisecond, "%s", took)
}

// TestRejectedUploadsHoldNoGoroutines guards against a goroutine for each connection that lingers
// after the rejection of a large body. Callers that returned at once filled the memory of an
// instance with their stacks, and its garbage collector took half of the processor time.
func TestRejectedUploadsHoldNoGoroutines(t *testing.T) {
	const uploads = 200
	f := newFixture(t, 1)
	before := runtime.NumGoroutine()
	for range uploads {
		res, conn := f.sendHeaderOnly("/no/such/route")
		assert.Equal(t, res.StatusCode, http.StatusNotFound)
		assert.Equal(t, res.Close, true)
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "EOF", "the response is not followed by the end of the connection")
	}
	held := runtime.NumGoroutine() - before
	assert.Assert(t, held < uploads/10, "%d goroutines after %d rejections", held, uploads)
}
