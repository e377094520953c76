// SPDX-License-Identifier: MIT

package proxy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shalewick/process/logging"
)

// TestInvalidLoadReportDoesNotAffectResponse checks that a response is relayed whatever its load
// report contains, and that only an invalid report is counted and logged.
func TestInvalidLoadReportDoesNotAffectResponse(t *testing.T) {
	for pace, bad := range map[string]int{"": 0, "250": 0, "fast": 1} {
		f := newFixture(t, 1)
		var log syncBuffer
		f.proxy.Log = logging.New(&log)
		f.backends[0].Slowdown = pace
		f.assertServed(f.send("served", "/reads/1", ""), "served")
		assert.Equal(t, len(log.lines("load-report-skipped")), bad, "pace %q", pace)
		var metrics strings.Builder
		assert.NilError(t, f.proxy.Metrics.Write(&metrics))
		counted := strings.Contains(metrics.String(), `load_reports_bad_total{service="s"} 1`)
		assert.Equal(t, counted, bad == 1, metrics.String())
	}
}
