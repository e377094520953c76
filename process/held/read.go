// SPDX-License-Identifier: MIT

package held

import (
	"errors"
	"io"
)

const (
	// first is the size of the buffer that reading begins with, in bytes. It is part of Overhead.
	first = 8 << 10
	// growth is by how much a full buffer grows.
	growth = 4
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
	text = make([]byte, 0, min(first, length+1))
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
		size := grown(int64(cap(text)), length, most)
		if !l.Grow(k, size-int64(cap(text))) {
			return text, false, nil
		}
		larger := make([]byte, len(text), size)
		copy(larger, text)
		text = larger
	}
}

// grown returns the next size of a buffer that is full. One byte more than is expected tells
// the end.
func grown(size, length, most int64) int64 {
	if size < length+1 {
		return min(growth*size, length+1)
	}
	return min(growth*size, most+1)
}

// Watch returns a reader of a body that a backend server is sent: while it is not read, the
// backend server is waited for.
func Watch(l *Lease, r io.ReadCloser) io.ReadCloser {
	if l == nil {
		return r
	}
	return &watched{ReadCloser: r, lease: l}
}

type watched struct {
	io.ReadCloser
	lease *Lease
}

func (w *watched) Read(p []byte) (int, error) {
	w.lease.Moved()
	n, err := w.ReadCloser.Read(p)
	if err == nil {
		w.lease.Wait(Bodies)
	}
	return n, err
}

func (w *watched) Close() error {
	w.lease.Moved()
	return w.ReadCloser.Close()
}
