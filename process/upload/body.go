// SPDX-License-Identifier: MIT

package upload

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"shalewick/conn"
)

// ErrReclaimed is returned to an attempt that reads the remainder of a body after Reclaim.
const ErrReclaimed = errors.ConstError("the attempt may no longer read the body")

// Body is the body of a caller's request: buffered whole, or a buffered beginning and a remainder.
type Body struct {
	buffered []byte
	rest     io.Reader // nil if all of the body is buffered
	length   int64     // -1 if unknown
	free     func()

	mu      sync.Mutex
	users   int         // the owner, until Release, and the readers that are not closed
	owned   bool        // Release has not been called
	current *restReader // the only reader that may read rest; nil: none may
	taken   bool        // a read of rest has begun
	read    int64       // bytes read from rest
	end     error       // io.EOF after the last byte, or the error that rest failed with
}

// New returns a body that begins with the buffered bytes. The remainder is read from rest, which is nil if
// there is none. Length is that of the whole body in bytes, or -1 if it is unknown. Free, if set, is
// called once the buffered bytes are no longer used.
func New(buffered []byte, rest io.Reader, length int64, free func()) *Body {
	return &Body{buffered: buffered, rest: rest, length: length, free: free, users: 1, owned: true}
}

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (b *Body) Length() int64 { return b.length }

// Buffered returns the beginning of the body. It must not be used after Release.
func (b *Body) Buffered() []byte { return b.buffered }

// Streamed reports whether a part of the body is not buffered.
func (b *Body) Streamed() bool { return b.rest != nil }

// Open returns the body for an attempt. It ends the reading by the attempt before. If that has read a part of
// the remainder, the reader fails there. The reader must be closed.
func (b *Body) Open() io.ReadCloser {
	if b.rest == nil && len(b.buffered) == 0 {
		return http.NoBody
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.users++
	var r io.Reader = bytes.NewReader(b.buffered)
	if b.rest != nil {
		rest := &restReader{body: b}
		b.current = nil
		if !b.taken {
			b.current = rest
		}
		r = io.MultiReader(r, rest)
	}
	return &attemptReader{Reader: r, body: b}
}

// Reclaim ends the reading of the remainder by the last attempt, and reports whether another attempt can send
// the body from its beginning. That stays as it is until Open.
func (b *Body) Reclaim() (replayable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current = nil
	return !b.taken
}

// CloseExchange reclaims the body from the last attempt, and closes its exchange. A connection on which the body is not
// complete is not used again: what is left of the body would be carried for nothing, at the pace of the caller.
func (b *Body) CloseExchange(ex *conn.Exchange) {
	b.Reclaim()
	if b.Unread() != 0 {
		ex.Response.Close = true
	}
	ex.Close()
}

// Unread returns how many bytes of the body have not been read from the caller, or -1 if that is unknown.
func (b *Body) Unread() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.rest == nil || b.end == io.EOF:
		return 0
	case b.length < 0:
		return -1
	}
	return b.length - int64(len(b.buffered)) - b.read
}

// Err returns the error that the reading of the remainder has failed with, or nil.
func (b *Body) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == io.EOF {
		return nil
	}
	return b.end
}

// Release ends the use of the body by its owner: no further attempt will be made. The buffered bytes are
// freed once the last reader is closed as well. It may be called more than once.
func (b *Body) Release() {
	b.mu.Lock()
	owned := b.owned
	b.owned = false
	b.mu.Unlock()
	if owned {
		b.removeUser()
	}
}

func (b *Body) removeUser() {
	b.mu.Lock()
	b.users--
	last := b.users == 0
	b.mu.Unlock()
	if last && b.free != nil {
		b.free()
	}
}

// attemptReader is the body of one attempt.
type attemptReader struct {
	io.Reader
	body *Body
	once sync.Once
}

func (r *attemptReader) Close() error {
	r.once.Do(r.body.removeUser)
	return nil
}

// restReader reads the remainder of a body for one attempt.
type restReader struct{ body *Body }

func (r *restReader) Read(p []byte) (int, error) {
	if !r.body.beginRead(r) {
		return 0, ErrReclaimed
	}
	n, err := r.body.rest.Read(p)
	return r.body.endRead(r, n, err)
}

// beginRead reports whether a reader may read the remainder.
func (b *Body) beginRead(r *restReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return false
	}
	b.taken = true
	return true
}

// endRead records the result of a read, and returns what the reader gets of it.
func (b *Body) endRead(r *restReader, n int, err error) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	b.end = err
	if b.current != r {
		return 0, ErrReclaimed
	}
	return n, err
}
