// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
)

// TestCutProbeIsNoSuccess guards against a response to a probe that ends early and counts as that of a
// backend server that is ready.
func TestCutProbeIsNoSuccess(t *testing.T) {
	t.Parallel()
	const body = `{"state":"ready","boot":"b","inFlight":1,"slots":4}`
	for name, whole := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cut.Each(whole, 1, func(r cut.Response, complete bool) {
				s := &cut.Server{Respond: func(*http.Request) cut.Response { return r }}
				assert.NilError(t, s.Start())
				defer s.Close()
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				_, err := Probe(context.Background(), client, s.Address())
				assert.Equal(t, err == nil, complete, "%v after %q", err, r.Text)
			})
		})
	}
}
