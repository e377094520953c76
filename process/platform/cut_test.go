// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
)

// TestCutResponseOfPlatformIsNoList guards against a response of the platform that ends early and is taken
// for the whole list of rows or instances, or for an accepted transaction.
func TestCutResponseOfPlatformIsNoList(t *testing.T) {
	t.Parallel()
	const body = `[{"key":"a","revision":1,"value":{},"name":"a","state":"live"},{"key":"b","revision":2,"value":{},"name":"b","state":"live"}]`
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, whole := range map[string]string{
		"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, body[:5], len(body)-5, body[5:]),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cut.Each(whole, 1, func(r cut.Response, complete bool) {
				s := &cut.Server{Respond: func(*http.Request) cut.Response { return r }}
				assert.NilError(t, s.Start())
				defer s.Close()
				c := NewClient("http://" + s.Address())
				defer c.httpClient.CloseIdleConnections()
				ctx := context.Background()
				rows, err := c.Scan(ctx, "t", "")
				assert.Equal(t, err == nil && len(rows) == 2, complete, "%v after %q", err, r.Text)
				instances, err := c.Instances(ctx)
				assert.Equal(t, err == nil && len(instances) == 2, complete, "%v after %q", err, r.Text)
				_, err = c.GetObject(ctx, "o")
				assert.Equal(t, err == nil, complete, "%v after %q", err, r.Text)
				err = c.Commit(ctx, nil)
				assert.Equal(t, err == nil, complete, "%v after %q", err, r.Text)
			})
		})
	}
}
