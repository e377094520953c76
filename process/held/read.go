// SPDX-License-Identifier: MIT

package held

import (
	"errors"
	"io"
	"sync"
)

const (
	// first is the size of the buffer that reading begins with, in bytes. It is part of Overhead.
	initialBuffer = 8 << 10
	// growth is by how much a full buffer grows.
	growthFactor = 4
	// ChunkSize is how many bytes are passed on at a time.
	ChunkSize = 16 << 10
)

// Read reads up to most bytes, or as many as there is room for. Length is how many are
// expected, -1 if that is not known. Whole is set if that was all; otherwise the rest is still
// to be read.
func Read(l *Lease, k Kind, r io.Reader, length, most int64) (text []byte, whole bool, err error) {
	if length < 0 || length > most {
		length = most
	}
	text = make([]byte, 0, min(initialBuffer, length+1)) // a small one is not worth pooling
	for {
		n, err := r.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case errors.Is(err, io.EOF):
			return text, true, nil
		case err != nil:
			return text, false, err
		case len(text) < cap(text):
			continue
		case int64(cap(text)) > most:
			return text, false, nil
		}
		size := nextBufferSize(int64(cap(text)), length, most)
		if !l.Grow(k, size-int64(cap(text))) {
			return text, false, nil
		}
		larger := append(getBuffer(size), text...)
		ReleaseBuffer(text)
		text = larger
	}
}

// pooled are the buffers of large bodies and answers by their size, those of growth from first on and
// that of the most that is held. Each answer of a megabyte would otherwise leave almost two
// of garbage, of which a busy machine holds many before it is collected.
var bufferPools sync.Map // of int64 to *sync.Pool

// leastPooled is the size of the smallest buffer that is used again, in bytes.
const minPooledBuffer = 32 << 10

// take returns an empty buffer of a size.
func getBuffer(size int64) []byte {
	if pool, ok := bufferPools.Load(size); ok {
		if b, ok := pool.(*sync.Pool).Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// Release lets the buffer of what Read returned be used again. Nobody may read it any more.
func ReleaseBuffer(text []byte) {
	size := int64(cap(text))
	if size < minPooledBuffer || !isPowerOfTwo(size) && !isPowerOfTwo(size-1) {
		return // of a size that few have
	}
	pool, _ := bufferPools.LoadOrStore(size, new(sync.Pool))
	pool.(*sync.Pool).Put(&text)
}

func isPowerOfTwo(n int64) bool { return n&(n-1) == 0 }

// grown returns the next size of a buffer that is full. One byte more than is expected tells
// the end.
func nextBufferSize(size, length, most int64) int64 {
	if size < length+1 {
		return min(growthFactor*size, length+1)
	}
	return min(growthFactor*size, most+1)
}

// Watch returns a reader of a body that a backend server is sent: while it is not read, the
// backend server is waited for.
func WatchBody(l *Lease, r io.ReadCloser) io.ReadCloser {
	if l == nil {
		return r
	}
	return &watchedBody{ReadCloser: r, lease: l}
}

type watchedBody struct {
	io.ReadCloser
	lease *Lease
}

func (w *watchedBody) Read(p []byte) (int, error) {
	w.lease.StopWaiting()
	n, err := w.ReadCloser.Read(p)
	if err == nil {
		w.lease.Wait(Bodies)
	}
	return n, err
}

func (w *watchedBody) Close() error {
	w.lease.StopWaiting()
	return w.ReadCloser.Close()
}
