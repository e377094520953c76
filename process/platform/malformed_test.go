// SPDX-License-Identifier: MIT

package platform

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
	"shalewick/standin/malformed"
)

// TestMalformedResponseOfPlatformIsNoList guards against a malformed response of the platform that is taken for a list of
// instances, an object, or an accepted transaction.
func TestMalformedResponseOfPlatformIsNoList(t *testing.T) {
	t.Parallel()
	for _, x := range malformed.All("Content-Type: application/json\r\n", "[]") {
		s := &cut.Server{Respond: func(*http.Request) cut.Response { return cut.Response{Text: x.Text} }}
		assert.NilError(t, s.Start())
		c, ctx := NewClient("http://"+s.Address()), t.Context()
		_, err := c.Instances(ctx)
		assert.Check(t, err != nil, "%s: list", x.Name)
		_, err = c.GetObject(ctx, "o")
		assert.Check(t, err != nil, "%s: object", x.Name)
		assert.Check(t, c.Commit(ctx, nil) != nil, "%s: commit", x.Name)
		s.Close()
	}
}
