// SPDX-License-Identifier: MIT

package version

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocumentedExamplesAreValid checks that each YAML example in docs/OPERATIONS.md passes
// the validation of the resource API.
func TestDocumentedExamplesAreValid(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	blocks := strings.Split(string(page), "```yaml\n")[1:]
	assert.Assert(t, len(blocks) > 0)
	for _, b := range blocks {
		docs, _, closed := strings.Cut(b, "```")
		assert.Assert(t, closed)
		_, err := propose(t, "kind: region\nname: north\nspec: {}\n---\nkind: region\nname: central\nspec: {}\n---\n"+docs)
		assert.NilError(t, err, "%s", docs)
	}
}
