// SPDX-License-Identifier: MIT

package program

import (
	"os"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// pipeBytes is the smallest size of a pipe.
const pipeBytes = 4096

// Pipe returns the two ends of a small pipe, for the output of a process. They are closed when the test ends.
func Pipe(t testing.TB) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = r.Close() // a test may have closed it
		_ = w.Close()
	})
	_, err = unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, pipeBytes)
	assert.NilError(t, err)
	return r, w
}

// FullPipe returns the end of a pipe at which writes wait, as at a reader that has stalled.
func FullPipe(t testing.TB) *os.File {
	t.Helper()
	_, w := Pipe(t)
	_, err := w.Write(make([]byte, pipeBytes))
	assert.NilError(t, err)
	return w
}
