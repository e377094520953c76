// SPDX-License-Identifier: MIT

package conn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// socket is a connection that never takes its failure for the end of the stream. The kernel reports a failure, such as a
// reset, to one call only. If that is a write, the following reads find an end of the stream, as after a FIN.
type socket struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // the first error of a write, unless its deadline has passed; guarded by writing
}

// Write implements io.Writer.
func (s *socket) Write(p []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.Conn.Write(p)
	if err != nil && s.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. At the end of the stream it aborts a write that is in progress, and returns the error of the
// write that found the failure of the connection, if one did.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if err == io.EOF {
		_ = s.SetWriteDeadline(aLongTimeAgo) // a closed connection has no write in progress
		if failure := s.failure(); failure != nil {
			return n, errors.Annotate(failure, "the connection failed while the request was being sent")
		}
	}
	return n, err
}

// failure returns the error of the write that found the failure of the connection, or nil if none did. It waits for a
// write that is in progress. After a FIN the error is EPIPE, which ends only the writes.
func (s *socket) failure() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if errors.Is(s.writeErr, syscall.EPIPE) {
		return nil
	}
	return s.writeErr
}

// isPeerGone reports whether a write has found that the peer has closed or reset the connection. What has arrived before
// can still be read, and so can the end of the stream.
func (s *socket) isPeerGone() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	return errors.Is(s.writeErr, syscall.EPIPE) || errors.Is(s.writeErr, syscall.ECONNRESET)
}
