// SPDX-License-Identifier: MIT

// Package program runs the commands under test as processes, and does to them
// from outside what an operator or a fault does: signals, freezes and kills.
// Only tests use it.
package program

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopBound is the longest that a planned stop may take.
const maxStopTime = 40 * time.Second

// Build builds the commands of this module that match a pattern, such as
// shalewick/cmd/..., into a folder. Race builds them with the race detector,
// which makes them several times slower.
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

// Start starts a command. It is killed when the test ends, which fails if its
// log shows that it broke, and then prints the end of the log.
func Start(t testing.TB, path, name string, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(path, args...), log: filepath.Join(t.TempDir(), name+".log"), done: make(chan struct{})}
	f, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd.Stderr, p.cmd.Stdout = f, f
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	}()
	t.Cleanup(func() { p.cleanup(t, name) })
	return p
}

// broken are the words that the runtime writes when a program is broken.
var crashMarkers = []string{"DATA RACE", "panic:", "fatal error:"}

// logEnd is how much of a log is printed, in bytes.
const logTailBytes = 4000

func (p *Process) cleanup(t testing.TB, name string) {
	p.Kill()
	b := p.Log(t)
	for _, word := range crashMarkers {
		assert.Check(t, !bytes.Contains(b, []byte(word)), "see the log of %s", name)
	}
	if t.Failed() {
		t.Logf("log of %s:\n%s", name, b[max(0, len(b)-logTailBytes):])
	}
}

// Log returns what the process has written.
func (p *Process) Log(t testing.TB) []byte {
	b, err := os.ReadFile(p.log)
	assert.Check(t, err)
	return b
}

// ID returns the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

// Signal sends a signal. A process that has ended gets none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Freeze makes the process stand still until Thaw.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop ends the process as planned and returns how long it took.
func (p *Process) Stop(t testing.TB) time.Duration {
	t.Helper()
	start := time.Now()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(maxStopTime):
		t.Fatal("a planned stop did not end")
	}
	return time.Since(start)
}

// Eventually waits for a condition, for a bounded time.
func Eventually(t testing.TB, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	limit := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(limit) {
			t.Fatalf("not within %s: %s", bound, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
