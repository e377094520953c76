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

// TestServicesWithSeparateMetricsAreBounded guards against metrics that grow with each service that the configuration ever named.
func TestServicesWithSeparateMetricsAreBounded(t *testing.T) {
	t.Parallel()
	s := NewSet()
	const services = 3 * maxServices
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		s.Request(name, request.ClassRead, request.OK, time.Millisecond)
		s.Forwarded(name, "reach", ForwardedServed, time.Millisecond)
		s.Software(name, "1.0", false, time.Millisecond)
		s.Retry(name)
	}
	s.Request("s0", request.ClassRead, request.OK, time.Millisecond)
	var out bytes.Buffer
	assert.NilError(t, s.Write(&out))
	text := out.String()
	for _, metric := range []string{"latency_us_count{", "forwarded_us_count{", "software_requests_total{", "retries_total{"} {
		assert.Equal(t, strings.Count(text, "shalewick_"+metric), maxServices+1, metric)
	}
	for _, line := range []string{
		`requests_total{service="s0",class="read",result="OK"} 2`,
		fmt.Sprintf(`requests_total{service="(others)",class="read",result="OK"} %d`, services-maxServices),
	} {
		assert.Assert(t, strings.Contains(text, line), line)
	}
}
