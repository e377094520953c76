// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const settingsFile = `{
 "nodeName": "edge-1", "ip": "10.1.0.34", "zone": "a", "region": "r", "zones": {"a": "r"},
 "listen": {"front": "10.1.0.34:1", "ready": "10.1.0.34:2", "control": "10.1.0.34:3", "directory": "10.1.0.34:4"},
 "portRange": [7540, 7555], "bounds": ["graceS=6", "drainS=2.5"], "platform": {"address": "10.200.1.7:8541"}
}`

// runCommand runs the command with a settings file and returns its output.
func runCommand(t *testing.T, settings string, args ...string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.json")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	cmd := newCommand(signals{})
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs(append([]string{"--boot", path}, args...))
	err := cmd.Execute()
	return out.String(), err
}

func TestCheckPrintsSettings(t *testing.T) {
	out, err := runCommand(t, settingsFile, "--check")
	assert.NilError(t, err)
	for _, want := range []string{"Instance:edge-1", "Hall:a", "DrainWithin:2.5s", "KillAfter:6s"} {
		assert.Assert(t, strings.Contains(out, want), "%s in %s", want, out)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	_, err := runCommand(t, strings.Replace(settingsFile, `"zone": "a"`, `"zone": "b"`, 1))
	assert.ErrorContains(t, err, "zone, region")
	_, err = runCommand(t, settingsFile, "--check", "--log-level", "loud")
	assert.ErrorContains(t, err, "log-level")
	_, err = runCommand(t, strings.Replace(settingsFile, `drainS=2.5`, `drainS=0`, 1), "--check")
	assert.ErrorContains(t, err, "drain within")
	_, err = runCommand(t, settingsFile, "--check", "--source", "here")
	assert.ErrorContains(t, err, "--source")
}
