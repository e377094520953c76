// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/cut"
)

// cutCase is a kind of response that is cut at each byte.
type cutCase struct {
	name, method, path string
	whole              string
	body               string // of the complete response
	status             int    // of the complete response
	step               int    // between the bytes at which it is cut
}

// wholeResponse returns a response to request x with headers and a body as they are sent.
func wholeResponse(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: x\r\n%s: seal-x\r\nKeep-Alive: timeout=10\r\n%s\r\n%s", status, request.OwnNames.ID, request.OwnNames.Seal, header, body)
}

var (
	withLength  = wholeResponse("200 OK", "Content-Length: 11\r\n", "hello world")
	withChunks  = wholeResponse("200 OK", "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n", "6;e=1\r\nhello \r\n5\r\nworld\r\n0\r\nX-T: 1\r\n\r\n")
	withInterim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + withLength
	cutCases    = []cutCase{
		{"length GET", http.MethodGet, "/reads/1", withLength, "hello world", 200, 1},
		{"length POST", http.MethodPost, "/bids/1", withLength, "hello world", 200, 3},
		{"chunks GET", http.MethodGet, "/reads/1", withChunks, "hello world", 200, 3},
		{"chunks POST", http.MethodPost, "/bids/1", withChunks, "hello world", 200, 1},
		{"interim GET", http.MethodGet, "/reads/1", withInterim, "hello world", 200, 1},
		{"interim POST", http.MethodPost, "/bids/1", withInterim, "hello world", 200, 5},
		{"HEAD", http.MethodHead, "/reads/1", wholeResponse("200 OK", "Content-Length: 11\r\n", ""), "", 200, 3},
		{"204", http.MethodGet, "/reads/1", wholeResponse("204 No Content", "", ""), "", 204, 3},
		{"304", http.MethodGet, "/reads/1", wholeResponse("304 Not Modified", "Content-Length: 11\r\n", ""), "", 304, 3},
	}
)

// request sends the request of the case, and returns the status, or 0 if the response was not complete.
func (x *cutCase) request(t *testing.T, f *fixture) (status int, body string) {
	t.Helper()
	var in io.Reader
	if x.method == http.MethodPost {
		in = strings.NewReader("a bid")
	}
	req, err := http.NewRequest(x.method, f.proxyServer.URL+x.path, in)
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set(request.OwnNames.ID, "x")
	res, err := f.proxyServer.Client().Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(b)
}

// check checks the response to a request, whose backend server or other instance sent r.
func (x *cutCase) check(t *testing.T, r cut.Response, complete bool, status int, body string, requests int) {
	t.Helper()
	if complete {
		assert.Equal(t, status, x.status, "in two pieces, split at %d", r.Split)
		assert.Equal(t, body, x.body)
		return
	}
	assert.Assert(t, status == 0 || status >= 500, "status %d, body %q after %q", status, body, r.Text)
	assert.Assert(t, requests >= 1)
	if x.method == http.MethodPost {
		assert.Equal(t, requests, 1, "sent again after %q", r.Text)
		assert.Assert(t, status != http.StatusServiceUnavailable, "a request that may have run was rejected as not run after %q", r.Text)
	}
}

// TestCutResponseIsNoSuccess guards against a response of a backend server that ends in its head, its
// chunks or its trailers and reaches the caller as a success, and against a request that runs twice because
// of it.
func TestCutResponseIsNoSuccess(t *testing.T) {
	t.Parallel()
	for _, x := range cutCases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			cut.Each(x.whole, x.step, func(r cut.Response, complete bool) {
				f := newFixture(t, 0)
				defer f.proxyServer.Close()
				var sound atomic.Bool
				s := &cut.Server{Respond: func(*http.Request) cut.Response {
					if sound.Load() {
						return cut.Response{Text: x.whole, KeepOpen: true}
					}
					return r
				}}
				assert.NilError(t, s.Start())
				defer s.Close()
				f.backend("u0", s.Address())
				f.install()
				status, body := x.request(t, f)
				x.check(t, r, complete, status, body, s.Requests())
				sound.Store(true)
				for range 20 { // the backend server may rest for a moment
					if status, body = x.request(t, f); status != http.StatusServiceUnavailable {
						break
					}
				}
				assert.Assert(t, status == x.status && body == x.body || status == http.StatusServiceUnavailable,
					"after %q the next request got %d %q", r.Text, status, body)
			})
		})
	}
}

// forwardedResponse returns a response as another instance sends it.
func forwardedResponse(whole string) string {
	headers := fmt.Sprintf("%s: %s\r\n%s: 1\r\nKeep-Alive", headerForwardedEnd, forwardedAnswered, headerForwardedAttempts)
	return strings.Replace(whole, "Keep-Alive", headers, 1)
}

// newUnreachableFixture returns an instance that reaches none of its backend servers. Unlike a port that was free a
// moment ago, those of their addresses are never used by a test that runs at the same time.
func newUnreachableFixture(t *testing.T) *forwardFixture {
	f := newForwardFixture(t, 0)
	f.backend("u0", "127.0.0.1:1")
	f.backend("u1", "127.0.0.1:2")
	f.install()
	return f
}

// TestCutResponseOfInstanceIsNoSuccess guards against a response of another instance that ends early and
// reaches the caller as a success, and against a forwarded request that runs twice because of it.
func TestCutResponseOfInstanceIsNoSuccess(t *testing.T) {
	t.Parallel()
	for _, x := range cutCases {
		x.whole = forwardedResponse(x.whole)
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			cut.Each(x.whole, 3*x.step, func(r cut.Response, complete bool) {
				f := newUnreachableFixture(t)
				defer f.proxyServer.Close()
				s := &cut.Server{Respond: func(*http.Request) cut.Response { return r }}
				assert.NilError(t, s.Start())
				defer s.Close()
				f.addresses = []string{s.Address()}
				status, body := x.request(t, f.fixture)
				x.check(t, r, complete, status, body, s.Requests())
			})
		})
	}
}

// TestCutResponseOfBackendIsNoSuccessWhenForwarded guards against a response that ends early at the backend
// server of another instance and looks whole behind it.
func TestCutResponseOfBackendIsNoSuccessWhenForwarded(t *testing.T) {
	t.Parallel()
	for _, x := range cutCases[:4] {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			cut.Each(x.whole, 3*x.step, func(r cut.Response, complete bool) {
				f := newUnreachableFixture(t)
				defer f.proxyServer.Close()
				s := &cut.Server{Respond: func(*http.Request) cut.Response { return r }}
				assert.NilError(t, s.Start())
				defer s.Close()
				helper := newFixture(t, 0)
				defer helper.proxyServer.Close()
				helper.backend("u0", s.Address())
				helper.install()
				peer := httptest.NewServer(http.HandlerFunc(helper.proxy.ServeForwarded))
				defer peer.Close()
				f.addresses = []string{peer.Listener.Addr().String()}
				status, body := x.request(t, f.fixture)
				x.check(t, r, complete, status, body, s.Requests())
			})
		})
	}
}
