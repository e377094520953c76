// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAbortBeforeFirstWriteReadsNothing guards against a data race: a request is cancelled before its sender has written, and its
// response is read while the sender looks at what the connection has received.
func TestAbortBeforeFirstWriteReadsNothing(t *testing.T) {
	p := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = io.Copy(io.Discard, r)
		_ = c.Close()
	})
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	const tries = 200
	for range tries {
		assert.NilError(t, p.Open(t.Context()))
		req, err := http.NewRequest(http.MethodPost, "http://x/", strings.NewReader("body"))
		assert.NilError(t, err)
		released := make(chan struct{})
		_, err = p.Dispatch(cancelled, req, Options{
			Deadline: time.Now().Add(giveUpDeadline), Allowed: func() bool { return true }, Release: func(bool) { close(released) }, CloseImmediately: true,
		})
		assert.Assert(t, err != nil)
		<-released
	}
}
