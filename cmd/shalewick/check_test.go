// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func runCheck(docs string) (string, error) {
	cmd := newRootCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetIn(strings.NewReader(docs))
	cmd.SetArgs([]string{"check", "-"})
	err := cmd.Execute()
	return out.String(), err
}

func TestCheckNamesViolatedRule(t *testing.T) {
	const good = "kind: region\nname: r\nspec: {}\n---\nkind: hall\nname: h\nspec: {region: r}\n"
	out, err := runCheck(good)
	assert.NilError(t, err)
	assert.Equal(t, out, "2 resources, all rules kept\n")
	_, err = runCheck(good + "---\nkind: hall\nname: i\nspec: {region: none}\n")
	assert.ErrorContains(t, err, "hall/i")
	assert.ErrorContains(t, err, "spec.region")
	_, err = runCheck("kind: moon\nname: x\nspec: {}\n")
	assert.ErrorContains(t, err, "moon")
}
