// SPDX-License-Identifier: MIT

package upload

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// MaxDiscarded is how many bytes of a body are discarded to keep the connection: net/http's limit.
	// A caller with more to send is told that its connection ends.
	MaxDiscarded = 256 << 10
	// idleDrainTime is how long a connection stays open for a caller that sends nothing more.
	idleDrainTime = 500 * time.Millisecond
	// discardedChunk is how many bytes are discarded at a time.
	discardedChunk = 32 << 10
)

// EndsConnection reports whether a response that is sent now should announce the end of the connection, since much of the
// body may be left. Unread is the number of bytes left, or -1, of a body that has been streamed so far or of which nothing
// has been read. Framed reports whether the response has a length: others can't be followed by Drain.
func EndsConnection(unread int64, streamed, framed bool) bool {
	return unread > MaxDiscarded || unread < 0 && streamed || unread != 0 && !framed
}

// Respond lets a response be sent before the body has been read. It must be called before the response begins,
// and Drain after it.
func Respond(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// An error means that the connection is not HTTP/1, where responses don't wait for the body.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// Drain sends the response, which must be complete, and then discards the body until its end. It gives up at the
// deadline, or when nothing has come for idleDrainTime. Then it returns false, and the handler must panic with
// http.ErrAbortHandler: what follows on the connection is no request. All attempts must have been reclaimed.
//
// A connection that is closed at once while the caller still sends is reset, and the caller's kernel may then drop
// the response.
func Drain(w http.ResponseWriter, r *http.Request, deadline time.Time) (whole bool) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return false // the caller has disconnected
	}
	if earliest := time.Now().Add(idleDrainTime); deadline.Before(earliest) {
		deadline = earliest
	}
	for time.Now().Before(deadline) {
		_ = rc.SetReadDeadline(time.Now().Add(idleDrainTime)) // Read fails too if this does
		_, err := io.CopyN(io.Discard, r.Body, discardedChunk)
		if errors.Is(err, io.EOF) {
			_ = rc.SetReadDeadline(time.Time{}) // the connection is kept
			return true
		}
		if err != nil {
			return false
		}
	}
	return false
}
