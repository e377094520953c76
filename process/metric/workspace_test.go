// SPDX-License-Identifier: MIT

package metric

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
)

// TestBusiestWorkspacesHaveSeparateMetrics checks that the number of workspaces with separate
// metrics is limited, and that a workspace that becomes busy gets its own.
func TestBusiestWorkspacesHaveSeparateMetrics(t *testing.T) {
	s := NewSet()
	for i := range 3 * maxWorkspaces {
		s.Workspace(fmt.Sprintf("w%d", i), request.OK, time.Millisecond)
	}
	for range 20 {
		s.Workspace("late", request.OverQuota, time.Millisecond)
	}
	var out bytes.Buffer
	assert.NilError(t, s.Write(&out))
	text := out.String()
	assert.Equal(t, strings.Count(text, "workspace_latency_us_count{"), maxWorkspaces+1)
	assert.Assert(t, strings.Contains(text, `workspace_requests_total{workspace="(others)",result="OK"}`))
	assert.Assert(t, strings.Contains(text, `workspace_requests_total{workspace="late",result="OVER_QUOTA"} 19`))
}
