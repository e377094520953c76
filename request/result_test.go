// SPDX-License-Identifier: MIT

package request

import (
	"cmp"
	"fmt"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestResultsPage checks that docs/RESULTS.md has the line of each code.
func TestResultsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/RESULTS.md")
	assert.NilError(t, err)
	codes := Codes()
	slices.SortFunc(codes, func(a, b Code) int { return cmp.Compare(a, b) })
	for _, c := range codes {
		info := c.Info()
		line := fmt.Sprintf("| %d | %s | %d | %s |", c, info.Name, info.Status, info.Text)
		assert.Assert(t, strings.Contains(string(page), line), "missing: %s", line)
	}
}

func TestResultHeaderRoundTrip(t *testing.T) {
	for _, r := range []Result{NotRun(QueueFull, 1500*time.Millisecond), Unknown(AnswerLost)} {
		w := httptest.NewRecorder()
		r.Write(w)
		back, refused := FromHeader(w.Header())
		assert.Assert(t, refused)
		assert.Equal(t, back.Code, r.Code)
		assert.Equal(t, back.Ran, r.Ran)
		assert.Equal(t, back.Retry, r.Retry)
	}
	_, refused := FromHeader(httptest.NewRecorder().Header())
	assert.Assert(t, !refused)
}
