// SPDX-License-Identifier: MIT

package held

import (
	"errors"
	"io"
	"sync"
)

const (
	// initialBuffer is the size of the first buffer for reading, in bytes. It is included in
	// RequestOverhead.
	initialBuffer = 8 << 10
	// growthFactor is the factor by which a full buffer grows.
	growthFactor = 4
	// ChunkSize is the number of bytes that are streamed at a time.
	ChunkSize = 16 << 10
)

// Read reads up to maxBytes, or fewer if memory is short. Length is the expected number of bytes,
// or -1 if unknown. Whole reports whether that was all; otherwise the remainder is still to be read
// from r.
func Read(lease *Lease, kind Kind, r io.Reader, length, maxBytes int64) (data []byte, whole bool, err error) {
	if length < 0 || length > maxBytes {
		length = maxBytes
	}
	data = make([]byte, 0, min(initialBuffer, length+1)) // small buffers are not worth pooling
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return data, false, err
		case len(data) < cap(data):
			continue
		case int64(cap(data)) > maxBytes:
			return data, false, nil
		}
		size := nextBufferSize(int64(cap(data)), length, maxBytes)
		if !lease.Grow(kind, size-int64(cap(data))) {
			return data, false, nil
		}
		larger := append(getBuffer(size), data...)
		ReleaseBuffer(data)
		data = larger
	}
}

// bufferPools holds the buffers of large bodies and responses by size: initialBuffer times powers
// of growthFactor, and the maximum size. Without pooling, each response of a megabyte leaves almost
// two of garbage, of which a busy machine accumulates much before it is collected.
var bufferPools sync.Map // of int64 to *sync.Pool

// minPooledBuffer is the size of the smallest buffer that is reused, in bytes.
const minPooledBuffer = 32 << 10

// getBuffer returns an empty buffer of the given capacity.
func getBuffer(size int64) []byte {
	if pool, ok := bufferPools.Load(size); ok {
		if b, ok := pool.(*sync.Pool).Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// ReleaseBuffer makes the buffer of data that Read returned available for reuse. The data must not
// be used afterwards.
func ReleaseBuffer(data []byte) {
	size := int64(cap(data))
	if size < minPooledBuffer || !isPowerOfTwo(size) && !isPowerOfTwo(size-1) {
		return // too rare a size to pool
	}
	pool, _ := bufferPools.LoadOrStore(size, new(sync.Pool))
	pool.(*sync.Pool).Put(&data)
}

func isPowerOfTwo(n int64) bool { return n&(n-1) == 0 }

// nextBufferSize returns the next size of a full buffer. It is one byte larger than the expected
// length, so that the end is detected.
func nextBufferSize(size, length, maxBytes int64) int64 {
	if size < length+1 {
		return min(growthFactor*size, length+1)
	}
	return min(growthFactor*size, maxBytes+1)
}

// WatchBody returns a reader for a body that is being sent to a backend server. The backend server
// is being waited for while it does not read.
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
