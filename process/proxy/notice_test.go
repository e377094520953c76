// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/standin/server"
)

// TestNoticesAreLoggedAndCounted checks that the notices of backend servers appear in the log lines
// of their responses, the only place where they can be found afterwards, and that they are counted.
func TestNoticesAreLoggedAndCounted(t *testing.T) {
	f := newFixture(t, 1)
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	f.backends[0].RejectAll(time.Minute, 1500*time.Millisecond)
	assert.Equal(t, f.send("rejected", "/reads/1", "").status, http.StatusServiceUnavailable)
	refused := log.lines("backend-refused")
	assert.Equal(t, len(refused), 1)
	assert.Assert(t, strings.Contains(refused[0], " retryAfter=1500 "), refused[0])

	f = newFixture(t, 1)
	var other syncBuffer
	f.proxy.Log = logging.New(&other)
	f.backends[0].SetLeaving()
	f.assertServed(f.send("served", "/reads/1", ""), "served")
	answered := other.lines("answered")
	assert.Equal(t, len(answered), 1)
	assert.Assert(t, strings.Contains(answered[0], " leaving=true "), answered[0])
	var metrics strings.Builder
	assert.NilError(t, f.proxy.Metrics.Write(&metrics))
	assert.Assert(t, strings.Contains(metrics.String(), `answers_leaving_total{service="s"} 1`), metrics.String())
}

// TestOutcomesOfNoticedRequestsAreCounted checks the metric that shows how requests end whose
// backend servers are leaving or reject requests.
func TestOutcomesOfNoticedRequestsAreCounted(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.backends {
		s.RejectAll(time.Minute, time.Minute)
	}
	assert.Equal(t, f.send("refused", "/reads/1", "").status, http.StatusServiceUnavailable)
	g := newFixture(t, 1)
	g.backends[0].SetLeaving()
	g.assertServed(g.send("served", "/reads/1", ""), "served")
	var refused, served strings.Builder
	assert.NilError(t, f.proxy.Metrics.Write(&refused))
	assert.NilError(t, g.proxy.Metrics.Write(&served))
	assert.Assert(t, strings.Contains(refused.String(), `requests_noticed_total{service="s",notice="retry-after",end="refused"} 1`), refused.String())
	assert.Assert(t, strings.Contains(served.String(), `requests_noticed_total{service="s",notice="leaving",end="in-time"} 1`), served.String())
}

// TestMisdirectedNoticeIsIgnored checks that a notice is ignored if it comes from a server that has
// taken over the address of the picked one.
func TestMisdirectedNoticeIsIgnored(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].SetLeaving()
	f.backends[0].InjectFaults(server.Misdirected)
	assert.Equal(t, f.send("moved", "/reads/1", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.backends[0].Notices()), 1)
	var metrics strings.Builder
	assert.NilError(t, f.proxy.Metrics.Write(&metrics))
	assert.Assert(t, !strings.Contains(metrics.String(), "answers_leaving_total"), metrics.String())
}
