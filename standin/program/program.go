// SPDX-License-Identifier: MIT

// Package program runs the commands under test as processes, and signals, suspends and kills them as
// an operator or a fault does. Only tests use it.
package program

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxStopTime is how long a process may take to stop after SIGTERM.
const maxStopTime = 40 * time.Second

// Build builds the commands of this module that match a pattern, such as shalewick/cmd/..., into a
// directory. With race they are built with the race detector, which makes them several times slower.
func Build(dir, pattern string, race bool) error {
	args := []string{"build", "-o", dir}
	if race {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, pattern)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build %s: %w\n%s", pattern, err, out)
	}
	return nil
}

// Process is one process of a command.
type Process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// Start starts a command with its output in a log file. When the test ends, the process is killed.
// The test fails if the log shows a crash or a data race, and prints the end of the log if it has
// failed.
func Start(t testing.TB, path, name string, args ...string) *Process {
	t.Helper()
	log := filepath.Join(t.TempDir(), name+".log")
	f, err := os.Create(log)
	assert.NilError(t, err)
	p := StartTo(t, f, path, args...)
	p.log = log
	_ = f.Close()
	t.Cleanup(func() { p.cleanup(t, name) })
	return p
}

// StartTo starts a command with its output in a file or pipe, which stays open. When the test ends, the process is
// killed. Its output is not checked.
func StartTo(t testing.TB, out *os.File, path string, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Stderr, p.cmd.Stdout = out, out
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.Kill)
	return p
}

// crashMarkers are texts that the Go runtime and net/http write for a data race, a panic or a fatal error.
var crashMarkers = []string{"DATA RACE", "panic:", "panic serving", "fatal error:"}

// logTailBytes is how much of the end of a log is printed.
const logTailBytes = 4000

func (p *Process) cleanup(t testing.TB, name string) {
	p.Kill()
	b := p.Log(t)
	for _, marker := range crashMarkers {
		assert.Check(t, !bytes.Contains(b, []byte(marker)), "see the log of %s", name)
	}
	if t.Failed() {
		t.Logf("log of %s:\n%s", name, b[max(0, len(b)-logTailBytes):])
	}
}

// Log returns the output of the process so far.
func (p *Process) Log(t testing.TB) []byte {
	b, err := os.ReadFile(p.log)
	assert.Check(t, err)
	return b
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// CheckExit checks that the process ends by itself, without an error, within a limit after start.
func (p *Process) CheckExit(t testing.TB, start time.Time, limit time.Duration) {
	t.Helper()
	select {
	case <-p.done:
		assert.Check(t, p.cmd.ProcessState.Success(), "%s", p.cmd.ProcessState)
	case <-time.After(limit - time.Since(start)):
		t.Errorf("the process has not ended within %s", limit)
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	<-p.done
}

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// HandlesHangup reports whether the process ignores or handles SIGHUP. It does neither before its program is loaded.
func (p *Process) HandlesHangup(t testing.TB) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	assert.Check(t, err == nil || errors.Is(err, os.ErrNotExist), "%v", err)
	for _, line := range strings.Split(string(b), "\n") {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		signals, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		assert.Check(t, err)
		if signals>>(syscall.SIGHUP-1)&1 == 1 {
			return true
		}
	}
	return false
}

// Suspend stops the process with SIGSTOP until Resume.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop ends the process with SIGTERM and returns how long it took to stop.
func (p *Process) Stop(t testing.TB) time.Duration {
	t.Helper()
	start := time.Now()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(maxStopTime):
		t.Fatal("the process did not stop in time after SIGTERM")
	}
	return time.Since(start)
}

// Eventually waits until a condition holds, and fails the test if it doesn't within the timeout.
func Eventually(t testing.TB, timeout time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// AwaitExit waits until the process ends, and returns its exit code; -1 if a signal has ended it. The test fails if it
// doesn't end within the limit.
func (p *Process) AwaitExit(t testing.TB, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		t.Fatalf("the process has not ended within %s", limit)
	}
	return p.cmd.ProcessState.ExitCode()
}
