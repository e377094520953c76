// SPDX-License-Identifier: MIT

package health

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/version"
)

// newTable returns a table of backend servers that have responded once.
func newTable(t *testing.T, backends int) (table *Table, names []string) {
	t.Helper()
	v := &version.View{}
	for i := range backends {
		names = append(names, fmt.Sprintf("c%d", i))
		v.Backends = append(v.Backends, version.BackendView{Name: names[i]})
	}
	table = &Table{OnLeaving: func(Leaving) {}}
	table.Install(v, version.NewCounters(v), time.Second)
	for _, name := range names {
		table.RecordResponse(name, time.Millisecond, "", "", time.Second)
	}
	return table, names
}

// TestClosedBackendsReopenWithTheLinks guards against entries that go on to reject requests for up to 5 s
// after their links to all backend servers have recovered, since the pauses had grown meanwhile.
func TestClosedBackendsReopenWithTheLinks(t *testing.T) {
	table, names := newTable(t, 5)
	idle, names := names[4], names[:4] // one gets no requests, and none of the probes of this instance
	now := 2 * time.Second
	for range 8 {
		now += time.Second
		for _, name := range names {
			table.RecordUnreachable(name, now)
		}
	}
	assert.Assert(t, !table.Failing(idle, now))
	for _, name := range names {
		assert.Assert(t, table.Failing(name, now))
	}
	now += 100 * time.Millisecond
	table.RecordProbe(names[0], conn.Report{}, time.Millisecond, now)
	for _, name := range names {
		assert.Assert(t, !table.Failing(name, now), name)
	}
	for range failureThreshold {
		table.RecordFailure(names[1], now)
	}
	assert.Assert(t, table.Failing(names[1], now), "a reopened backend server is closed again if it fails")
	assert.Assert(t, !table.Failing(names[1], now+initialCloseTime), "for the shortest time")
}

// TestProbesDoNotReopenFailingBackends checks that backend servers that answer probes and fail all
// requests stay closed, even if all of them do.
func TestProbesDoNotReopenFailingBackends(t *testing.T) {
	table, names := newTable(t, 4)
	now := 2 * time.Second
	for range 8 {
		now += time.Second
		for _, name := range names {
			for range failureThreshold {
				table.RecordFailure(name, now)
			}
		}
		table.RecordProbe(names[3], conn.Report{}, time.Millisecond, now)
	}
	now += time.Second
	table.RecordProbe(names[0], conn.Report{}, time.Millisecond, now)
	table.RecordProbe(names[1], conn.Report{}, time.Millisecond, now)
	for _, name := range names {
		assert.Assert(t, table.Failing(name, now), name)
	}
}

// TestBackendThatIsDownStaysClosed checks that a backend server that can't be reached stays closed while
// others respond.
func TestBackendThatIsDownStaysClosed(t *testing.T) {
	table, names := newTable(t, 2)
	now := 2 * time.Second
	for range 6 {
		now += time.Second
		table.RecordUnreachable(names[0], now)
		table.RecordResponse(names[1], time.Millisecond, "", "", now+time.Millisecond)
	}
	assert.Assert(t, table.Failing(names[0], now+time.Second))
}
