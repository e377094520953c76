// SPDX-License-Identifier: MIT

package proof

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// binary and edgeBinary are the commands under test, built once.
var binary, edgeBinary string

// commandRace builds the command with the race detector, which makes it
// several times slower.
var commandRace = flag.Bool("command-race", false, "build the command under test with the race detector")

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "shalewick")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "shalewick")
	edgeBinary = filepath.Join(dir, "shalewick-edge")
	build := []string{"build", "-o", dir}
	if *commandRace {
		build = append(build, "-race")
	}
	out, err := exec.Command("go", append(build, "shalewick/cmd/...")...).CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one process of the command.
type process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// run starts the command; it is killed when the test ends.
func run(t testing.TB, name string, args ...string) *process {
	t.Helper()
	return runProgram(t, binary, name, args...)
}

// runProgram starts one of the commands; it is killed when the test ends.
func runProgram(t testing.TB, program, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, args...), log: filepath.Join(t.TempDir(), name+".log"), done: make(chan struct{})}
	f, err := os.Create(p.log)
	assert.NilError(t, err)
	p.cmd.Stderr, p.cmd.Stdout = f, f
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		b, err := os.ReadFile(p.log)
		assert.Check(t, err)
		assert.Check(t, !bytes.Contains(b, []byte("DATA RACE")) && !bytes.Contains(b, []byte("panic:")) && !bytes.Contains(b, []byte("fatal error:")), "see the log of %s", name)
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, b[max(0, len(b)-4000):])
		}
	})
	return p
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// stop ends the process as planned and returns how long it took.
func (p *process) stop(t testing.TB) time.Duration {
	t.Helper()
	start := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(40 * time.Second):
		t.Fatal("a planned stop did not end")
	}
	return time.Since(start)
}

// eventually waits for a condition, for a bounded time.
func eventually(t testing.TB, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	limit := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(limit) {
			t.Fatalf("not within %s: %s", bound, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
