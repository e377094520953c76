// SPDX-License-Identifier: MIT

package report

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const rolloutLog = `time=2026-01-02T02:02:01Z event=rollout-ordered instance=a service=s target=v2 within=30000
time=2026-01-02T02:02:01.5Z event=rollout-record instance=b service=s phase=canary target=v2
time=2026-01-02T02:02:01.2Z event=rollout-record instance=a service=s phase=canary target=v2
time=2026-01-02T02:02:04Z event=rollout-event instance=a service=s what=target-stopped cause="it fails more <often>"
time=2026-01-02T02:02:05Z event=rollout-record instance=a service=s phase=reverted target=v2 cause="it fails more <often>"
time=2026-01-02T02:02:05Z event=rollout-event instance=a
time=2026-01-02T02:02:03Z event=answered attempts=1 class=read id=1 instance=a late=false rank=0 service=s software=v1 target=false unseen=false
time=2026-01-02T02:02:03Z event=answered attempts=1 class=read id=2 instance=a late=true rank=0 service=s software=v2 target=true unseen=false
`

// A step that several instances log is one row, rows are in the order of the steps, and
// answered requests are summed by version.
func TestRolloutStepsAreMerged(t *testing.T) {
	r := readLog(t, rolloutLog)
	var out strings.Builder
	assert.NilError(t, r.Print(&out))
	text := out.String()
	offset := 0
	for _, want := range []string{
		"answered by version", "s v1", "s v2", "roll-out of", "rollout-ordered target=v2",
		"02:02:01.200  02:02:01.500  2      rollout-record phase=canary target=v2", "what=target-stopped", "phase=reverted",
	} {
		i := strings.Index(text[offset:], want)
		assert.Assert(t, i >= 0, "%q after %d in\n%s", want, offset, text)
		offset += i
	}
	var page strings.Builder
	assert.NilError(t, r.WriteHTML(&page))
	assert.Assert(t, strings.Contains(page.String(), "it fails more &lt;often&gt;"))
	assert.Assert(t, strings.Contains(page.String(), "<td>s v2</td><td>1</td><td>0</td><td>1</td>"))
}

// Logs of builds without rollouts have no rollout tables in the report.
func TestNoRolloutSectionWithoutRollouts(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, readLog(t, testLog).Print(&out))
	assert.Assert(t, !strings.Contains(out.String(), "roll-out of"))
	assert.Assert(t, !strings.Contains(out.String(), "by version"))
}

// Steps beyond maxSteps are only counted.
func TestRolloutStepsAreBounded(t *testing.T) {
	var lines strings.Builder
	for i := range maxSteps + 7 {
		fmt.Fprintf(&lines, "time=2026-01-02T02:02:01Z event=rollout-ordered instance=a service=s%d\n", i)
	}
	var out strings.Builder
	assert.NilError(t, readLog(t, lines.String()).Print(&out))
	assert.Assert(t, strings.Contains(out.String(), "\n7 more lines\n"))
}
