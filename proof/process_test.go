// SPDX-License-Identifier: MIT

package proof

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"shalewick/standin/program"
)

// binary is the path of the command under test, which TestMain builds once.
var binary string

// commandRace makes TestMain build the command with the race detector, which
// makes it several times slower.
var commandRace = flag.Bool("command-race", false, "build the command under test with the race detector")

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "shalewick")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "shalewick")
	if err := program.Build(dir, "shalewick/cmd/shalewick", *commandRace); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startCommand starts the command under test. The process is killed when the
// test ends.
func startCommand(t testing.TB, name string, args ...string) *program.Process {
	t.Helper()
	return program.Start(t, binary, name, args...)
}
