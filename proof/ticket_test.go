// SPDX-License-Identifier: MIT

package proof

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/backend"
)

// postTicket sends a commit with a ticket. It returns the body of the response and the name
// of the backend server, or, if the request was rejected, the result code and whether the
// request ran.
func (c *cluster) postTicket(t *testing.T, e *instance, ticket string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/bids?size=40", strings.NewReader("bid"))
	assert.Check(t, err)
	req.Header.Set(request.HeaderService, c.size.LedgerService)
	req.Header.Set(request.HeaderTicket, ticket)
	req.Header.Set(backend.HeaderTag, "same")
	res, err := http.DefaultClient.Do(req)
	if !assert.Check(t, err) {
		return ""
	}
	defer res.Body.Close()
	if r, ok := request.FromHeader(res.Header); ok {
		return r.Code.String() + " " + string(r.Ran)
	}
	b, err := io.ReadAll(res.Body)
	assert.Check(t, err)
	return string(b) + res.Header.Get(request.HeaderBackend)
}
