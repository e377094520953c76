// SPDX-License-Identifier: MIT

package metric

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
)

// sample matches a line of the text format that scrapers read.
var sample = regexp.MustCompile(`^[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? -?[0-9]+$`)

// TestTextFormat checks that every line matches the text format, and the values of some.
func TestTextFormat(t *testing.T) {
	s := NewSet()
	for range 10 {
		s.Request("bids", request.ClassCommit, request.OK, 20*time.Millisecond)
	}
	s.Request("", request.ClassInvalid, request.UnknownRoute, time.Millisecond)
	s.Retry("bids")
	s.Gauge("version").Update(12)
	var out bytes.Buffer
	assert.NilError(t, s.Write(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for _, l := range lines {
		assert.Assert(t, sample.MatchString(l), "%q", l)
	}
	for _, want := range []string{
		`shalewick_requests_total{service="bids",class="commit",result="OK"} 10`,
		`shalewick_latency_us{service="bids",class="commit",quantile="0.99"} 20000`,
		`shalewick_latency_us_count{service="bids",class="commit"} 10`,
		`shalewick_retries_total{service="bids"} 1`,
		`shalewick_version 12`,
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s\nin\n%s", want, out.String())
	}
}
