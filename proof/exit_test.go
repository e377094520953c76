// SPDX-License-Identifier: MIT

package proof

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/standin/fleet"
	"shalewick/standin/program"
)

// entryStopTime is the longest time that the stop of an entry may take that has nothing to wait for.
const entryStopTime = 5 * time.Second

// startLoneEntry starts an entry without a platform, whose log goes to output, and returns its address for callers. It
// logs twice a second that the platform can't be reached.
func startLoneEntry(t *testing.T, output *os.File) (*program.Process, string) {
	t.Helper()
	var ports fleet.Ports
	a, err := ports.Allocate(3)
	assert.NilError(t, err)
	p := program.StartTo(t, output, binary, "entry", "--instance", "e", "--hall", "h", "--platform", "http://127.0.0.1:1", "--grace", "0s",
		"--front", a[0].String(), "--peer", a[1].String(), "--admin", a[2].String(), "--log-level", "debug")
	program.Eventually(t, 5*time.Second, "the entry listens", func() bool { return accepts(a[0].String()) })
	return p, a[0].String()
}

// accepts reports whether a process accepts connections at an address.
func accepts(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// checkStop checks that an entry still runs, and that its stop ends.
func checkStop(t *testing.T, p *program.Process, front string) {
	t.Helper()
	assert.Check(t, accepts(front), "the process has ended")
	start := time.Now()
	p.Signal(syscall.SIGTERM)
	p.CheckExit(t, start, entryStopTime)
}

// TestLostLogReaderEndsNoEntry guards against an entry that is ended by SIGPIPE when the reader of its log ends.
func TestLostLogReaderEndsNoEntry(t *testing.T) {
	t.Parallel()
	r, w := program.Pipe(t)
	p, front := startLoneEntry(t, w)
	assert.NilError(t, r.Close())
	time.Sleep(time.Second)
	checkStop(t, p, front)
}

// TestStalledLogReaderHoldsUpNoEntry guards against an entry that waits for the reader of its log.
func TestStalledLogReaderHoldsUpNoEntry(t *testing.T) {
	t.Parallel()
	p, front := startLoneEntry(t, program.FullPipe(t))
	checkStop(t, p, front)
}

// TestHangupEndsNoEntry guards against an entry that SIGHUP ends at once, as no reload of files needs it.
func TestHangupEndsNoEntry(t *testing.T) {
	t.Parallel()
	_, w := program.Pipe(t)
	p, front := startLoneEntry(t, w)
	p.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	checkStop(t, p, front)
}
