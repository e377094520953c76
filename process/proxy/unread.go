// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"time"

	"shalewick/process/upload"
)

const (
	// lingerTime is how long a connection with an unread body stays open after the response. If it
	// were closed at once, the caller's kernel could drop the response.
	lingerTime = 500 * time.Millisecond
	// rejectionWriteTimeout limits the writing of a rejection, which fits into a send buffer.
	rejectionWriteTimeout = 100 * time.Millisecond
)

// writeHeader sends a response without a body.
func (c *call) writeHeader(status int) {
	if c.body == nil && c.r.ContentLength >= upload.MaxDiscarded && c.writeAndLinger(status) {
		return
	}
	c.framed = true
	c.w.WriteHeader(status)
}

// writeAndLinger sends a response without a body, and closes the connection after lingerTime
// without reading the request's body. It returns false if it has sent nothing. net/http does the
// same, but keeps the goroutine of the connection with its stack and the request meanwhile: some
// 20 kB, which at thousands of rejections a second fills the memory of the instance.
func (c *call) writeAndLinger(status int) bool {
	conn, buffered, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		return false // not a connection of HTTP/1
	}
	h := c.w.Header()
	h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	res := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Close: true}
	// An error means that the caller has disconnected.
	_ = conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
	if res.Write(buffered) == nil {
		_ = buffered.Flush()
	}
	if tcp, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	time.AfterFunc(lingerTime, func() { _ = conn.Close() })
	return true
}
