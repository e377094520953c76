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

// TestReadTakesWhatThereIsRoomFor checks what is read, and that the rest stays to be read.
func TestReadStopsAtCapacity(t *testing.T) {
	const most = 1 << 20
	for _, x := range []struct {
		size, length, room int64
		whole              bool
	}{
		{0, 0, 1000, true}, {0, -1, 1000, true}, {1, 1, 1000, true}, {initialBuffer, initialBuffer, 1000, true}, {300_000, 300_000, 1000, true},
		{300_000, -1, 1000, true}, {300_000, 5, 1000, true}, {most, most, 1000, true}, {most, -1, 1000, true},
		{most + 1, most + 1, 1000, false}, {2 * most, -1, 1000, false}, {300_000, 300_000, 4, false}, {300_000, -1, 4, false},
	} {
		for _, slow := range []bool{false, true} {
			f := newFixture(x.room)
			l := f.admit(t, "a")
			text := bytes.Repeat([]byte("0123456789abcdef"), int(x.size/16+1))[:x.size]
			var r io.Reader = bytes.NewReader(text)
			if slow {
				r = iotest.HalfReader(r)
			}
			begin, whole, err := Read(l, Responses, r, x.length, most)
			assert.NilError(t, err)
			assert.Equal(t, whole, x.whole, "%+v", x)
			rest, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(append(begin, rest...), text), "%+v", x)
			assert.Assert(t, f.total() <= f.Limit && int64(cap(begin)) <= most+1+4096, "%+v: %d", x, cap(begin))
			l.Free(Responses)
			l.End()
			assert.Equal(t, f.total(), int64(0))
		}
	}
}

// TestReadTellsErrors checks that an error of the other side is passed on with what came before.
func TestReadReturnsErrors(t *testing.T) {
	broken := errors.New("broken")
	text, whole, err := Read(nil, Bodies, io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)), 10, 100)
	assert.Assert(t, errors.Is(err, broken) && !whole)
	assert.Equal(t, string(text), "abc")
}

// TestWatchTellsWhoIsWaitedFor checks that a backend server counts as waited for while it has to
// take what was read, and no more once the body has ended.
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
