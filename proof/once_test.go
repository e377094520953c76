// SPDX-License-Identifier: MIT

package proof

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/load"
	"shalewick/process/front"
	"shalewick/process/platform"
	"shalewick/request"
	"shalewick/standin/backend"
	"shalewick/standin/fleet"
)

// BenchmarkAtMostOnce compares, in one run, the latency of a repeatable read with that of the
// ways to run a request at most once: a ticket of the instance that gets the request, a ticket of
// another instance, to which the request is forwarded, and a claim in a table of the
// platform before the read. The time of work at the backend server is subtracted.
func BenchmarkAtMostOnce(b *testing.B) {
	c := newCluster(b, clusterOptions{size: fleet.Caroni(), entries: 12, work: time.Millisecond})
	p := platform.NewClient(c.base)
	took := make(map[string]time.Duration)
	tickets := c.fetchTickets(b, c.entries[0], 64)
	n := 0
	for b.Loop() {
		if len(tickets) < 2 {
			tickets = c.fetchTickets(b, c.entries[0], 64)
		}
		took["none"] += c.timeRequest(b, c.entries[0], http.MethodGet, c.size.ReadService, "")
		took["own-ticket"] += c.timeRequest(b, c.entries[0], http.MethodPost, c.size.LedgerService, tickets[0])
		took["passed-on"] += c.timeRequest(b, c.entries[1], http.MethodPost, c.size.LedgerService, tickets[1])
		tickets = tickets[2:]
		start := time.Now()
		claim := platform.Op{Kind: platform.OpPut, Table: "claims", Key: strconv.Itoa(n), Value: []byte("1")}
		assert.NilError(b, p.Commit(context.Background(), []platform.Op{claim}))
		took["claim"] += time.Since(start) + c.timeRequest(b, c.entries[0], http.MethodGet, c.size.ReadService, "")
		n++
	}
	for way, d := range took {
		b.ReportMetric(float64(d.Microseconds())/float64(n), way+"-us")
	}
}

// fetchTickets returns n tickets that an entry issued.
func (c *cluster) fetchTickets(t testing.TB, e *instance, n int) []string {
	t.Helper()
	var ts front.Tickets
	assert.NilError(t, getJSON("http://"+e.front+front.ReservedPrefix+"tickets?n="+strconv.Itoa(n), &ts))
	return ts.Tickets
}

// timeRequest sends one request and returns its latency without the time of work at the
// backend server.
func (c *cluster) timeRequest(t testing.TB, e *instance, method, service, ticket string) time.Duration {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+e.front+"/x?size=100", strings.NewReader(""))
	assert.NilError(t, err)
	req.Header.Set(request.HeaderService, service)
	req.Header.Set(request.HeaderTicket, ticket)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	took := time.Since(start)
	worked, err := time.ParseDuration(res.Header.Get(backend.HeaderWork))
	assert.NilError(t, err)
	return took - worked
}

// TestKilledEntryLeavesFewUnknown checks that when one of 12 entries is killed under load,
// only commits that were in flight at it can end with an unknown outcome.
func TestKilledEntryLeavesFewUnknown(t *testing.T) {
	const rate, work = 300, 30 * time.Millisecond
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: work})
	o := load.Options{Clients: c.callers(), Rate: rate, Duration: 5 * time.Second, Mix: c.mix()[1:2]}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.entries[0].Kill()
	})
	assert.Equal(t, rep.Faults(), 0)
	l := rep.Lines[0]
	assert.Equal(t, l.Answered+l.Unknown, l.Sent, "%v", l.Refused)
	// The requests in flight at all entries, which one entry cannot exceed.
	inFlight := int(rate * 2 * work.Seconds())
	t.Logf("outcome unknown: %d of %d; in flight at all entries: about %d", l.Unknown, l.Sent, inFlight)
	assert.Assert(t, l.Unknown <= 2*inFlight)
}
