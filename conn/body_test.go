// SPDX-License-Identifier: MIT

package conn

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
)

// TestReadBody checks that a body is read whole up to its limit, however it is cut into pieces, and that one that is larger
// or cut off is an error.
func TestReadBody(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789"), 30_000)
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"at once": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "bytes": iotest.OneByteReader, "data with the end": iotest.DataErrReader,
	} {
		for _, size := range []int{0, 1, minBodyPart - 1, minBodyPart, minBodyPart + 1, maxBodyPart, 3*maxBodyPart + 1, len(content)} {
			read := func(limit int, end error) ([]byte, error) {
				r := io.MultiReader(wrap(bytes.NewReader(content[:size])), iotest.ErrReader(end))
				return ReadBody(&http.Response{Body: io.NopCloser(r)}, limit)
			}
			b, err := read(size, io.EOF)
			assert.NilError(t, err, "%s: %d", name, size)
			assert.Assert(t, bytes.Equal(b, content[:size]), "%s: %d", name, size)
			_, err = read(size-1, io.EOF)
			assert.ErrorIs(t, err, ErrBodyTooLarge, "%s: %d", name, size)
			_, err = read(size, io.ErrUnexpectedEOF)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%s: %d", name, size)
		}
	}
}

// TestEndlessBodyTakesLittleMemory guards against a body without an end that takes a multiple of its limit.
func TestEndlessBodyTakesLittleMemory(t *testing.T) {
	const limit = 4 << 20
	var err error
	size := allocated(func() {
		_, err = ReadBody(&http.Response{Body: io.NopCloser((&endlessResponse{unit: constant("x")}).reader())}, limit)
	})
	assert.ErrorIs(t, err, ErrBodyTooLarge)
	assert.Assert(t, size < limit+limit/4, "%d bytes allocated", size)
}

// TestEndlessProbeIsNoSuccess guards against a response to a probe that has no end and counts as that of a backend server
// that is ready.
func TestEndlessProbeIsNoSuccess(t *testing.T) {
	const report = `{"state":"ready","boot":"b","inFlight":1,"slots":4}`
	for _, x := range []cut.Response{
		{Text: okLine + "\r\n" + report, Endless: " "}, {Text: okLine + "Content-Length: 9223372036854775807\r\n\r\n" + report, Endless: "\n"},
		{Text: okLine + chunked + "33\r\n" + report + "\r\n", Endless: "1\r\n \r\n"}, {Text: okLine + "\r\n", Endless: "x"}, {Endless: "x"}, {Endless: "\x00"}, {Endless: "\r\n"},
	} {
		s := &cut.Server{Respond: func(*http.Request) cut.Response { return x }}
		assert.NilError(t, s.Start())
		_, err := Probe(t.Context(), NewProbeClient(giveUpDeadline), s.Address())
		assert.Check(t, err != nil && !isTimeout(err), "%q, %q: %v", x.Text, x.Endless, err)
		s.Close()
	}
}
