// SPDX-License-Identifier: MIT

package early

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// Upload is the body of a request that goes on until it is closed.
type Upload struct {
	first  io.Reader
	piece  []byte
	pause  time.Duration
	once   sync.Once
	closed chan struct{}
}

// NewUpload returns a body of first bytes at once and then pieces of a size in bytes, with a pause before each.
func NewUpload(first, size int, pause time.Duration) *Upload {
	return &Upload{
		first: bytes.NewReader(bytes.Repeat([]byte{'u'}, first)), piece: bytes.Repeat([]byte{'u'}, size), pause: pause, closed: make(chan struct{}),
	}
}

// Read implements io.Reader.
func (u *Upload) Read(p []byte) (int, error) {
	if n, err := u.first.Read(p); err == nil {
		return n, nil
	}
	timer := time.NewTimer(u.pause)
	defer timer.Stop()
	select {
	case <-u.closed:
		return 0, io.ErrClosedPipe
	case <-timer.C:
		return copy(p, u.piece), nil
	}
}

// Close implements io.Closer. The sender of a request closes its body when it ends.
func (u *Upload) Close() error {
	u.once.Do(func() { close(u.closed) })
	return nil
}

// Closed returns a channel that is closed once the body is.
func (u *Upload) Closed() <-chan struct{} { return u.closed }
