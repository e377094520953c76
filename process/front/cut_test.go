// SPDX-License-Identifier: MIT

package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/cut"
)

// TestCutResponseIsNoSuccess guards against a response of a backend server that ends early and reaches the
// caller as a success, and against a request that runs twice because of it.
func TestCutResponseIsNoSuccess(t *testing.T) {
	t.Parallel()
	const id = "ABCDEFGHIJKLMNOPQRSTUVWXYZ" // replaced by the id of the request, which is as long
	head := "HTTP/1.1 200 OK\r\n" + request.HeaderID + ": " + id + "\r\nKeep-Alive: timeout=10\r\n"
	length := head + "Content-Length: 11\r\n\r\nhello world"
	for _, x := range []struct {
		name, method, path, whole string
		step                      int
	}{
		{"length GET", http.MethodGet, "/lots", length, 1},
		{"length POST", http.MethodPost, "/bids", length, 3},
		{"interim PUT", http.MethodPut, "/films", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + length, 3},
		{"chunks GET", http.MethodGet, "/lots", head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n6;e=1\r\nhello \r\n5\r\nworld\r\n0\r\nX-T: 1\r\n\r\n", 1},
		{"HEAD", http.MethodHead, "/lots", head + "Content-Length: 11\r\n\r\n", 5},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			cut.Each(x.whole, x.step, func(r cut.Response, complete bool) {
				s := &cut.Server{Respond: func(req *http.Request) cut.Response {
					out := r
					out.Text = strings.ReplaceAll(r.Text, id, req.Header.Get(request.HeaderID))
					out.Split = min(r.Split, len(out.Text))
					return out
				}}
				assert.NilError(t, s.Start())
				defer s.Close()
				f := newFixtureAt(t, s.Address())
				req, err := http.NewRequest(x.method, f.url+x.path, strings.NewReader("body"))
				assert.NilError(t, err)
				if x.method == http.MethodGet || x.method == http.MethodHead {
					req.Body, req.ContentLength = http.NoBody, 0
				}
				req.Header.Set(request.HeaderService, "catalogue")
				if x.method == http.MethodPost {
					req.Header.Set(request.HeaderTicket, f.front.Ledger.Issue().String())
				}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				status, body := 0, ""
				if res, err := client.Do(req); err == nil {
					b, err := io.ReadAll(res.Body)
					_ = res.Body.Close()
					if err == nil {
						status, body = res.StatusCode, string(b)
					}
				}
				if complete {
					assert.Equal(t, fmt.Sprint(status, body), fmt.Sprint(200, map[bool]string{false: "hello world"}[x.method == http.MethodHead]))
					return
				}
				assert.Assert(t, status == 0 || status >= 500, "status %d, body %q after %q", status, body, r.Text)
				assert.Assert(t, s.Requests() >= 1)
				if x.method == http.MethodPost {
					assert.Equal(t, s.Requests(), 1, "sent again after %q", r.Text)
					assert.Assert(t, status != http.StatusServiceUnavailable, "rejected as not run after %q", r.Text)
				}
			})
		})
	}
}
