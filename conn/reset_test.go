// SPDX-License-Identifier: MIT

package conn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/standin/early"
)

// Responses to an upload that a backend server sends before it has read the body.
const (
	partOfBody = "part of a body"
	untilClose = okLine + "Connection: close\r\n\r\n" + partOfBody
)

// largeBody does not fit the buffer of a connection.
var largeBody = strings.Repeat("large body ", 2*bufferSize/11)

// resetGap is the pause between a response and the end of its connection, in which the client receives it.
const resetGap = 3 * time.Millisecond

// startEarlyBackend starts a server that reads the head of each request, sends a response, and ends the connection.
func startEarlyBackend(t *testing.T, response string, end func(c *net.TCPConn)) *Pool {
	t.Helper()
	return startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		defer c.Close()
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, response); err == nil {
			end(c.(*net.TCPConn))
		}
	})
}

// reset resets the connection.
func reset(c *net.TCPConn) {
	time.Sleep(resetGap)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeUnread closes the connection when a part of the request is unread, which resets it.
func closeUnread(c *net.TCPConn) {
	for time.Sleep(resetGap); !HasUnread(c); {
		time.Sleep(resetGap)
	}
	_ = c.Close()
}

// closeProperly ends the response and reads the rest of the request.
func closeProperly(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// upload dispatches a request with the body, calls begun once the response has begun, and returns the body of the
// response.
func upload(t *testing.T, p *Pool, body io.ReadCloser, begun func()) (string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://x/", body)
	assert.NilError(t, err)
	ex, err := p.Dispatch(context.Background(), req, Options{
		Deadline: time.Now().Add(giveUpDeadline), Allowed: func() bool { return true }, Release: func(bool) {}, CloseImmediately: true,
	})
	if err != nil {
		dispatchErr, ok := err.(*DispatchError)
		assert.Assert(t, ok && dispatchErr.Sent, "a request that may have run counts as not sent: %v", err)
		return "", err
	}
	defer ex.Close()
	begun()
	b, err := io.ReadAll(ex.Response.Body)
	return string(b), err
}

// TestResetDuringUploadIsNoEnd guards against a response without a length whose connection is reset while the body of the
// request is being sent, and that counts as whole. The kernel reports the reset to one call only: if that is the write
// of the body, the read of the response finds an end of the stream.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const uploads = 300
	for name, end := range map[string]func(*net.TCPConn){"reset": reset, "closed unread": closeUnread} {
		for _, pause := range []time.Duration{200 * time.Microsecond, 2 * time.Millisecond} {
			p := startEarlyBackend(t, untilClose, end)
			whole := 0
			for range uploads {
				if _, err := upload(t, p, early.NewUpload(0, 64, pause), func() {}); err == nil {
					whole++
				}
			}
			assert.Check(t, whole == 0, "%s, a piece each %v: %d of %d are taken for whole", name, pause, whole, uploads)
		}
	}
}

// TestEarlyResponseThatEndsIsWhole guards against a false alarm: a response without a length that ends properly while the
// body of the request is being sent, also by a caller that has stalled.
func TestEarlyResponseThatEndsIsWhole(t *testing.T) {
	for name, newBody := range map[string]func() *early.Upload{
		"slow":    func() *early.Upload { return early.NewUpload(0, 64, 200*time.Microsecond) },
		"fast":    func() *early.Upload { return early.NewUpload(0, bufferSize, 0) },
		"stalled": func() *early.Upload { return early.NewUpload(2*bufferSize, 64, time.Hour) },
	} {
		p := startEarlyBackend(t, untilClose, closeProperly)
		for range 100 {
			start := time.Now()
			got, err := upload(t, p, newBody(), func() {})
			assert.NilError(t, err, name)
			assert.Equal(t, got, partOfBody, name)
			assert.Assert(t, time.Since(start) < time.Second, "%s: %v", name, time.Since(start))
		}
	}
}

// TestResponseThatEndsBeforeResetIsWhole guards against a false alarm: the backend server closes a connection of which it has
// read everything, and what arrives later is answered with a reset. The sender of the request's body learns of that before
// the response is read.
func TestResponseThatEndsBeforeResetIsWhole(t *testing.T) {
	p := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader) {
		defer c.Close()
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, untilClose); err == nil {
			_, _ = req.Body.Read(make([]byte, 1)) // the rest of this piece is in the buffer, and the next one comes later
		}
	})
	for range 20 {
		body := early.NewUpload(0, 64, 20*time.Millisecond)
		got, err := upload(t, p, body, func() {
			<-body.Closed() // by the sender, which has failed
		})
		assert.NilError(t, err)
		assert.Equal(t, got, partOfBody)
	}
}

// TestWholeResponseBeforeResetIsDelivered guards against a response that has arrived whole and is lost, since the sender
// of the request's body has found that the connection was reset.
func TestWholeResponseBeforeResetIsDelivered(t *testing.T) {
	for name, response := range map[string]string{
		"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okLine, len(largeBody), largeBody),
		"chunks": fmt.Sprintf("%s%s%x\r\n%s\r\n0\r\n\r\n", okLine, chunked, len(largeBody), largeBody),
	} {
		p := startEarlyBackend(t, response, reset)
		for range 100 {
			body := early.NewUpload(0, 64, 200*time.Microsecond)
			got, err := upload(t, p, body, func() {
				<-body.Closed() // by the sender, which has failed
				time.Sleep(resetGap)
			})
			assert.NilError(t, err, name)
			assert.Assert(t, got == largeBody, "%s: %d bytes", name, len(got))
		}
	}
}
