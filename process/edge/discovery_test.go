// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/cluster"
	"shalewick/process/metric"
	"shalewick/process/state"
	"shalewick/version"
)

// rowStore is a store with the rows of instances that counts reads.
type rowStore struct {
	Store
	rows            []state.Row // by key
	calls, rowsRead int
}

func (s *rowStore) ReadPage(_ context.Context, _, from string, most int) ([]state.Row, bool, error) {
	at, _ := slices.BinarySearchFunc(s.rows, from, func(r state.Row, key string) int {
		if r.Key < key {
			return -1
		}
		return 1
	})
	out := s.rows[at:min(len(s.rows), at+most)]
	s.calls++
	s.rowsRead += len(out)
	return out, at+most < len(s.rows), nil
}

func testMember(i, halls int) cluster.Member {
	hall := fmt.Sprintf("hall-%d", i%halls)
	return cluster.Member{
		Name: fmt.Sprintf("edge-%s-%04d", hall, i), Incarnation: int64(i + 1), Hall: hall, Region: fmt.Sprintf("r%d", i%halls%3),
		Peer: fmt.Sprintf("127.0.0.1:%d", 20000+i), Front: fmt.Sprintf("127.0.0.2:%d", 20000+i),
	}
}

// newStartingInstance returns an instance of a fleet that starts, and its store.
func newStartingInstance(t *testing.T, fleet int) (*Edge, *rowStore) {
	t.Helper()
	s := &rowStore{}
	for i := range fleet {
		m := testMember(i, 9)
		value, err := json.Marshal(m)
		assert.NilError(t, err)
		s.rows = append(s.rows, state.Row{Key: m.Name, Value: value, Version: int64(i + 1)})
	}
	slices.SortFunc(s.rows, func(a, b state.Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	self := testMember(fleet/2, 9)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	self.Peer = "127.0.0.1:0"
	e := &Edge{log: zerolog.Nop(), settings: Settings{Instance: self.Name}, deployment: Deployment{Store: s, InstanceTable: "instances", RecordTable: "records"}}
	e.members = cluster.NewMembers(self, func() time.Duration { return time.Hour })
	e.heartbeats, err = cluster.NewGossiper(e.members, socket)
	assert.NilError(t, err)
	return e, s
}

// TestStartCostIndependentOfFleetSize checks that the rows that a starting instance reads and the
// datagrams that it sends do not grow with the fleet. When each instance read all rows and
// announced itself to all, a start of 985 instances took 240 MB and 970,000 datagrams.
func TestStartCostIndependentOfFleetSize(t *testing.T) {
	for _, x := range []struct {
		fleet, rows, calls int
		follows            bool
	}{{12, 12, 1, false}, {100, 100, 1, false}, {330, 200, 2, true}, {985, 200, 2, true}, {3550, 200, 2, true}} {
		e, s := newStartingInstance(t, x.fleet)
		assert.NilError(t, e.readInstanceRows(context.Background()))
		assert.Assert(t, s.rowsRead <= x.rows && s.calls == x.calls, "%d instances: %d rows in %d calls", x.fleet, s.rowsRead, s.calls)
		assert.Equal(t, e.subscribesTo("instances"), x.follows)
		assert.Assert(t, e.heartbeats.Sent() <= cluster.MaxSmallFleet, "%d instances: %d datagrams", x.fleet, e.heartbeats.Sent())
		if x.fleet <= smallFleet {
			assert.Equal(t, len(e.members.NotLeaving()), x.fleet)
		}
	}
}

// TestChangedRows checks which rows are decoded when the table of instances changes.
func TestChangedRows(t *testing.T) {
	row := func(key string, version int64) state.Row { return state.Row{Key: key, Version: version} }
	before := []state.Row{row("a", 1), row("c", 1), row("d", 1)}
	now := []state.Row{row("a", 1), row("b", 1), row("d", 2)}
	assert.DeepEqual(t, changedRows(before, now), []state.Row{row("b", 1), row("d", 2)})
	assert.DeepEqual(t, changedRows(nil, now), now)
	assert.Equal(t, len(changedRows(now, now)), 0)
}

// TestOddInstanceRowIsSkipped guards against an odd row among those of the instances that hides a live instance,
// draws calls, or is logged whenever the rows are read.
func TestOddInstanceRowIsSkipped(t *testing.T) {
	e, s := newStartingInstance(t, 4)
	live := s.rows[0].Key
	for i, value := range []string{
		``, `null`, `[]`, `{"n":7}`, `{"n":"odd","i":99999999999999999999}`, `{"n":"odd","m":1e400}`,
		`{"n":"` + live + `","i":9223372036854775807,"p":"127.0.0.9:1","f":"127.0.0.9:2","h":"hall-0","r":"r0"}`,
		`{"n":"odd","i":1,"p":"127.0.0.9:0","f":"127.0.0.9:2","h":"hall-0","r":"r0"}`, `{"n":"odd","i":1,"p":"127.0.0.9:1","f":"0.0.0.0:2","h":"hall-0","r":"r0"}`,
		`{"n":"odd","i":1,"p":"224.0.0.1:1","f":"127.0.0.9:2","h":"hall-0","r":"r0"}`, `{"n":"odd","i":1,"p":"127.0.0.9:1","f":"127.0.0.9:2","h":"hall-0"}`,
		`{"n":"odd","i":1,"p":"127.0.0.9:1","f":"127.0.0.9:2","h":"hall-0","r":"r0","m":-1}`, strings.Repeat("[", 20_000),
	} {
		s.rows = append(s.rows[:4:4], state.Row{Key: "odd", Value: []byte(value), Version: int64(100 + i)})
		var log strings.Builder
		e.log = zerolog.New(&log)
		e.metrics = metric.NewSet()
		for range 3 {
			assert.NilError(t, e.readInstanceRows(context.Background()))
		}
		assert.Equal(t, len(e.members.NotLeaving()), 4, "%.100s", value)
		assert.Equal(t, strings.Count(log.String(), "instance-row-skipped"), 1, "%.100s: %s", value, log.String())
	}
}

// FuzzInstanceRow reads the row of an instance with any value. An instance that it adds can be called.
func FuzzInstanceRow(f *testing.F) {
	for _, value := range []string{`null`, `{"n":"odd","i":1,"p":"127.0.0.9:1","f":"127.0.0.9:2","h":"h","r":"r","m":1e3}`, `{"n":"odd","p":"[::1%lo]:1","f":"[::ffff:1.1.1.1]:2"}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		m, err := parseInstance(state.Row{Key: "odd", Value: value})
		if err != nil {
			assert.Equal(t, err.Key, "odd")
			return
		}
		assert.Equal(t, m.Name, "odd")
		assert.Assert(t, netip.MustParseAddrPort(m.Peer).Port() != 0 && netip.MustParseAddrPort(m.Front).Port() != 0)
		members := cluster.NewMembers(testMember(1, 2), func() time.Duration { return time.Hour })
		members.Merge(false, m)
		members.Merge(true, m)
		assert.Equal(t, len(members.NotLeaving()) <= 2, true)
	})
}

// FuzzRecordRow reads the row of a rollout's record with any value.
func FuzzRecordRow(f *testing.F) {
	for _, value := range []string{`null`, `{}`, `{"phase":"canary","order":1,"target":"v2","within":"1s","began":"1s","deadline":"9s"}`, `{"phase":"completed","order":-1}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		table := state.NewTable()
		table.Apply(state.Delta{Full: true, Version: 5, Rows: []state.Row{{Key: "s", Value: value, Version: 4}}}, time.Hour)
		records, problems := knownRecords(table)
		assert.Equal(t, len(records)+len(problems), 1)
		c := testConfig([2]string{"s", "v1"}, [2]string{"s", "v2"})
		c.Software = admitVersions(c, nil, records, nil)
		rolloutServices(version.CompileRouting(c, nil), c.Software, nil, records)
	})
}
