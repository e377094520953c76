// SPDX-License-Identifier: MIT

package platform

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
)

// TestEndlessResponseOfPlatformIsAnError guards against a response of the platform that has no end, whose beginning is taken
// for a whole object or for the acknowledgement of a write, and which takes the memory of the entry.
func TestEndlessResponseOfPlatformIsAnError(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for _, x := range []cut.Response{{Text: head, Endless: "x"}, {Text: head + "[]", Endless: " "}, {Text: head + "[", Endless: `{"name":"a","state":"live"},`}} {
		s := &cut.Server{Respond: func(*http.Request) cut.Response { return x }}
		assert.NilError(t, s.Start())
		c, ctx := NewClient("http://"+s.Address()), t.Context()
		_, err := c.GetObject(ctx, "o")
		assert.Check(t, err != nil, "object, %q", x.Text)
		assert.Check(t, c.PutObject(ctx, "o", nil) != nil, "write of an object, %q", x.Text)
		assert.Check(t, c.Commit(ctx, nil) != nil, "commit, %q", x.Text)
		_, err = c.Instances(ctx)
		assert.Check(t, err != nil, "instances, %q", x.Text)
		_, err = c.Scan(ctx, "t", "")
		assert.Check(t, err != nil, "rows, %q", x.Text)
		s.Close()
	}
}
