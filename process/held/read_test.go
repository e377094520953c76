// SPDX-License-Identifier: MIT

package held

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestReadStopsAtCapacity checks what is read, and that the remainder can still be read.
func TestReadStopsAtCapacity(t *testing.T) {
	const maxBytes = 1 << 20
	for _, x := range []struct {
		size, length, capacity int64
		whole                  bool
	}{
		{0, 0, 1000, true}, {0, -1, 1000, true}, {1, 1, 1000, true}, {initialBuffer, initialBuffer, 1000, true}, {300_000, 300_000, 1000, true},
		{300_000, -1, 1000, true}, {300_000, 5, 1000, true}, {maxBytes, maxBytes, 1000, true}, {maxBytes, -1, 1000, true},
		{maxBytes + 1, maxBytes + 1, 1000, false}, {2 * maxBytes, -1, 1000, false}, {300_000, 300_000, 4, false}, {300_000, -1, 4, false},
	} {
		for _, slow := range []bool{false, true} {
			f := newFixture(x.capacity)
			l := f.admit(t, "a")
			data := bytes.Repeat([]byte("0123456789abcdef"), int(x.size/16+1))[:x.size]
			var r io.Reader = bytes.NewReader(data)
			if slow {
				r = iotest.HalfReader(r)
			}
			beginning, whole, err := Read(l, Responses, r, x.length, maxBytes)
			assert.NilError(t, err)
			assert.Equal(t, whole, x.whole, "%+v", x)
			rest, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(append(beginning, rest...), data), "%+v", x)
			assert.Assert(t, f.total() <= f.Limit && int64(cap(beginning)) <= maxBytes+1+4096, "%+v: %d", x, cap(beginning))
			l.Free(Responses)
			l.End()
			assert.Equal(t, f.total(), int64(0))
		}
	}
}

// TestReadReturnsErrors checks that an error of the peer is returned together with the data before
// it.
func TestReadReturnsErrors(t *testing.T) {
	broken := errors.New("broken")
	data, whole, err := Read(nil, Bodies, io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 10, 100)
	assert.Assert(t, errors.Is(err, broken) && !whole)
	assert.Equal(t, string(data), "abc")
}

// TestWatchBodyTracksWaiting checks that the backend server counts as waited for from one read to
// the next, and no longer after the end of the body.
func TestWatchBodyTracksWaiting(t *testing.T) {
	f := newFixture(10)
	l := f.admit(t, "a")
	r := WatchBody(l, io.NopCloser(iotest.OneByteReader(strings.NewReader("ab"))))
	var b [1]byte
	for range 2 {
		_, err := r.Read(b[:])
		assert.NilError(t, err)
		assert.Assert(t, l.waiting && l.waitingFor == Bodies)
	}
	_, err := r.Read(b[:])
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, !l.waiting)
}
