// SPDX-License-Identifier: MIT

package proof

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"shalewick/standin/program"
)

// binary is the command under test, built once.
var binary string

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
	if err := program.Build(dir, "shalewick/cmd/shalewick", *commandRace); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// run starts the command; it is killed when the test ends.
func startCommand(t testing.TB, name string, args ...string) *program.Process {
	t.Helper()
	return program.Start(t, binary, name, args...)
}
