// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/fleet"
	"shalewick/standin/program"
)

// TestFloodOfRequestHeadsIsBounded guards against callers that fill the memory of an entry with heads of many short lines that are
// never complete.
func TestFloodOfRequestHeadsIsBounded(t *testing.T) {
	const flooding, lines = 30, 18_000
	var ports fleet.Ports
	addresses, err := ports.Allocate(3)
	assert.NilError(t, err)
	s := validSettings()
	s.Front, s.Peer, s.Admin = addresses[0].String(), addresses[1].String(), addresses[2].String()
	e, err := Start(s, io.Discard)
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := range lines {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	for range flooding {
		c, err := net.Dial("tcp", s.Front)
		assert.NilError(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, head.String()) // the entry may have ended the connection
	}
	program.Eventually(t, 5*time.Second, "heads are rejected", func() bool {
		return e.metrics.Counter("request_heads_rejected_total").Count() > 0
	})
	assert.Assert(t, e.frontConns.Heads.Held() <= headMemory)
	res, err := http.Get("http://" + s.Front + "/")
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.NoVersion.String())
}
