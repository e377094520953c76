// SPDX-License-Identifier: MIT

package front

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/cut"
	"shalewick/standin/early"
)

// TestResetDuringUploadIsNoSuccess guards against a response without a length whose connection is reset while the body of
// the request is still being sent, and that reaches the caller as a success.
func TestResetDuringUploadIsNoSuccess(t *testing.T) {
	t.Parallel()
	const uploads, parallel = 200, 8
	s := &cut.Server{Early: true, Respond: func(r *http.Request) cut.Response {
		return cut.Response{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n\r\na part", request.HeaderID, r.Header.Get(request.HeaderID)), Reset: true}
	}}
	assert.NilError(t, s.Start())
	defer s.Close()
	var whole atomic.Int64
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for range uploads / parallel {
				f := newFixtureAt(t, s.Address()) // one of its own, as the backend server is suspended after a failure
				req, err := http.NewRequest(http.MethodPut, f.url+"/films/1", early.NewUpload(maxBufferedBody, 64, 200*time.Microsecond))
				assert.NilError(t, err)
				req.Header.Set(request.HeaderService, "catalogue")
				res, err := http.DefaultClient.Do(req)
				if err != nil {
					continue
				}
				if _, err := io.Copy(io.Discard, res.Body); err == nil && res.StatusCode < http.StatusInternalServerError {
					whole.Add(1)
				}
				_ = res.Body.Close()
			}
		})
	}
	wg.Wait()
	assert.Check(t, whole.Load() == 0, "%d of %d parts reach the caller as a whole response", whole.Load(), uploads)
	assert.Assert(t, s.Requests() >= uploads)
}
