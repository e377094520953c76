// SPDX-License-Identifier: MIT

package front

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/standin/early"
)

const (
	// uploadBytes is more than the front buffers of a body.
	uploadBytes = 1 << 20
	pieceBytes  = 64 << 10
)

// startUpload begins to upload a body, and sends a part of it in the background.
func (f *fixture) startUpload(t *testing.T, body []byte, chunked bool, sentBytes int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.url[len("http://"):])
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "PUT /films/1 HTTP/1.1\r\nHost: a.example\r\n%s: catalogue\r\n%s\r\n\r\n", request.HeaderService, framing)
	go func() {
		for sent := 0; sent < sentBytes; sent += pieceBytes {
			piece := body[sent : sent+pieceBytes]
			if chunked {
				piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
			}
			if _, err := c.Write(piece); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		if chunked && sentBytes == len(body) {
			_, _ = c.Write([]byte("0\r\n\r\n"))
		}
	}()
	return c
}

// TestEarlyServerReadsOnTheSameBody guards against a backend server that responds early, reads on and gets other bytes:
// the instance discarded parts of the body while the attempt sent the others.
func TestEarlyServerReadsOnTheSameBody(t *testing.T) {
	body := early.NumberedBody(uploadBytes)
	for _, rejects := range []bool{true, false} {
		for _, chunked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%t,%t", rejects, chunked), func(t *testing.T) {
				t.Parallel()
				s := &early.Server{Names: request.OwnNames, Rejects: rejects, ReadFirst: 2 * maxBufferedBody}
				assert.NilError(t, s.Start())
				t.Cleanup(s.Close)
				f := newFixtureAt(t, s.Address())
				for range 4 {
					c := f.startUpload(t, body, chunked, len(body))
					res, err := http.ReadResponse(bufio.NewReader(c), nil)
					assert.NilError(t, err)
					ran := string(request.RanYes)
					if rejects {
						ran = string(request.RanNo)
					}
					assert.Equal(t, res.Header.Get(request.HeaderRan), ran)
					time.Sleep(100 * time.Millisecond) // the rest arrives
					_ = c.Close()
				}
				for _, r := range s.Requests() {
					assert.Check(t, bytes.HasPrefix(body, r.Body), "%d bytes differ from those that the caller sent", len(r.Body))
					assert.Check(t, !r.Whole || len(r.Body) == len(body), "looks whole after %d of %d bytes", len(r.Body), len(body))
				}
			})
		}
	}
}

// TestEarlyResponseReachesStalledCaller guards against responses that are withheld until the caller sends more of its body.
func TestEarlyResponseReachesStalledCaller(t *testing.T) {
	s := &early.Server{Names: request.OwnNames, Rejects: true, ReadFirst: 2 * maxBufferedBody}
	assert.NilError(t, s.Start())
	t.Cleanup(s.Close)
	for _, chunked := range []bool{true, false} {
		f := newFixtureAt(t, s.Address())
		c := f.startUpload(t, early.NumberedBody(uploadBytes), chunked, 4*maxBufferedBody)
		begun := time.Now()
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(request.HeaderRan), string(request.RanNo))
		assert.Assert(t, time.Since(begun) < 300*time.Millisecond, "%s", time.Since(begun))
	}
}

// TestBodyOverLimitIsNoBackendFailure guards against a body that exceeds the limit in its streamed part: the backend server
// counted as failed, and the caller got 504.
func TestBodyOverLimitIsNoBackendFailure(t *testing.T) {
	f := newFixture(t)
	body := early.NumberedBody(uploadBytes + pieceBytes)
	c := f.startUpload(t, body, true, len(body))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, res.Header.Get(request.HeaderRan), string(request.RanUnknown))
}
