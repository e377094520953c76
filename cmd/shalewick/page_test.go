// SPDX-License-Identifier: MIT

package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Each command line in the operators' pages must name an existing command with valid
// flags and arguments.
func TestDocumentedCommandsParse(t *testing.T) {
	found := 0
	for _, path := range []string{"../../docs/OPERATIONS.md", "../../README.md"} {
		page, err := os.ReadFile(path)
		assert.NilError(t, err)
		text := strings.ReplaceAll(string(page), "\\\n", " ")
		for _, line := range strings.Split(text, "\n") {
			line = strings.Replace(line, "    go run ./cmd/shalewick ", "    shalewick ", 1)
			args, ok := strings.CutPrefix(line, "    shalewick ")
			if !ok {
				continue
			}
			found++
			args = strings.ReplaceAll(args, " ...", " 127.0.0.1:1")
			cmd, rest, err := newRootCommand().Find(strings.Fields(args))
			assert.NilError(t, err, line)
			assert.Assert(t, cmd.HasParent(), line)
			assert.NilError(t, cmd.ParseFlags(rest), line)
			if cmd.Args != nil {
				assert.NilError(t, cmd.Args(cmd, cmd.Flags().Args()), line)
			}
		}
	}
	assert.Assert(t, found >= 8, "%d commands", found)
}
