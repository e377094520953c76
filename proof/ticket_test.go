// SPDX-License-Identifier: MIT

package proof

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/front"
	"shalewick/request"
	"shalewick/standin/upstream"
)

func (c *cluster) takeTicket(t *testing.T, e *instance) string {
	t.Helper()
	res, err := http.Get("http://" + e.front + front.Reserved + "tickets?n=1")
	assert.NilError(t, err)
	defer res.Body.Close()
	var ts front.Tickets
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&ts))
	assert.Equal(t, len(ts.Tickets), 1)
	return ts.Tickets[0]
}

// postTicket sends a commit with a ticket and returns the answer's body, or
// the result and whether it ran.
func (c *cluster) postTicket(t *testing.T, e *instance, ticket string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/bids?size=40", strings.NewReader("bid"))
	assert.Check(t, err)
	req.Header.Set(request.HeaderService, c.size.Ledger)
	req.Header.Set(request.HeaderTicket, ticket)
	req.Header.Set(upstream.HeaderTag, "same")
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
	return string(b) + res.Header.Get(request.HeaderUpstream)
}
