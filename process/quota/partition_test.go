// SPDX-License-Identifier: MIT

package quota

import (
	cmdline "flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// flood is a test case: a workspace sends a multiple of its usual demand while the network
// is partitioned.
type flood struct {
	size, receivers int
	rate, burst     float64
	factor          float64       // of the usual demand, which is usualLoad of the limit
	fraction        float64       // fraction of the instances that is partitioned
	partitionAfter  time.Duration // relative to the start of the flood; may be negative
	ownerIncluded   bool          // the owner is among the partitioned instances
	isolated        bool          // the partitioned instances do not reach each other either
	failure         string        // additional failure at the time of the partition
}

const (
	usualLoad     = 0.6
	floodTime     = 7 * time.Second
	partitionTime = 6 * time.Second
)

func (c flood) String() string {
	return fmt.Sprintf("%d instances, %d receive requests, %.0f per second, burst %.0f, flood of %.0f, %.1f partitioned after %s, owner partitioned %t, isolated %t, failure %q",
		c.size, c.receivers, c.rate, c.burst, c.factor, c.fraction, c.partitionAfter, c.ownerIncluded, c.isolated, c.failure)
}

// event is an action at a point in time of a simulation.
type event struct {
	at time.Duration
	do func()
}

// play simulates the flood and its failures for the workspaces of a model.
func (c flood) play(m *model) {
	const lead = 5 * time.Second // before the flood, or before a partition that precedes it
	start := lead + max(0, -c.partitionAfter)
	partitionAt := start + c.partitionAfter
	events := []event{
		{start, func() { c.setDemand(m, c.factor) }},
		{start + floodTime, func() { c.setDemand(m, 1) }},
		{partitionAt, func() { c.partition(m) }},
		{partitionAt + partitionTime, m.heal},
	}
	events = append(events, c.failureEvents(m, partitionAt)...)
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	c.setDemand(m, 1)
	startedAt := m.now
	for _, e := range events {
		m.run(startedAt + e.at - m.now)
		e.do()
	}
	m.run(6 * time.Second)
}

// setDemand sets the demand of all workspaces.
func (c flood) setDemand(m *model, factor float64) {
	for i, l := range m.logs {
		m.demandOf(i, factor*usualLoad*l.workspace.Rate, c.receivers)
	}
}

// partition partitions a fraction of the instances that receive requests, and of the
// others, with or without the owner of the first workspace.
func (c flood) partition(m *model) {
	owner := m.owner()
	partitioned := 0
	partitionSome := func(list []*node) {
		n := int(math.Round(c.fraction * float64(len(list))))
		for _, x := range list {
			if x != owner && n > 0 {
				partitioned++
				n--
				x.group = 1
				if c.isolated {
					x.group = partitioned
				}
			}
		}
	}
	partitionSome(m.nodes[:c.receivers])
	partitionSome(m.nodes[c.receivers:])
	if c.ownerIncluded {
		owner.group = 1
	}
	m.partitionChangedAt = m.now
}

func (m *model) heal() {
	for _, x := range m.nodes {
		x.group = 0
	}
	m.partitionChangedAt = m.now
}

// owner returns the instance that owns the first workspace while all instances are live.
func (m *model) owner() *node {
	ranks := ownerRanks[hashOf(m.workspace.Name)%Shards]
	return slices.MinFunc(m.nodes, func(a, b *node) int {
		if ranks[a.index] < ranks[b.index] {
			return -1
		}
		return 1
	})
}

// failureEvents returns the events of the additional failure.
func (c flood) failureEvents(m *model, partitionAt time.Duration) []event {
	switch c.failure {
	case "owner dies":
		return []event{
			{partitionAt + 300*time.Millisecond, func() { m.owner().crash() }},
			{partitionAt + 3*time.Second, func() { m.owner().restart(newLeasedTokens) }},
		}
	case "mass kill":
		return []event{
			{partitionAt + 500*time.Millisecond, func() { m.forSome(0.4, (*node).crash) }},
			{partitionAt + 2*time.Second, func() { m.resumeAll(newLeasedTokens) }},
		}
	case "freeze":
		return []event{
			{partitionAt + 200*time.Millisecond, func() { m.forSome(0.3, (*node).freeze) }},
			{partitionAt + 3200*time.Millisecond, func() { m.resumeAll(newLeasedTokens) }},
		}
	}
	return nil
}

// forSome calls do for a random fraction of the instances.
func (m *model) forSome(fraction float64, do func(*node)) {
	for _, x := range m.nodes {
		if m.random.Float64() < fraction {
			do(x)
		}
	}
}

// resumeAll restarts the instances that crashed, and resumes those that were frozen.
func (m *model) resumeAll(newStrategy func(*node) strategy) {
	for _, x := range m.nodes {
		x.frozen = false
		if x.down {
			x.restart(newStrategy)
		}
	}
}

// failures are the additional failures; no failure is twice as frequent.
var failures = []string{"", "", "owner dies", "mass kill", "freeze"}

// floods returns the test cases for a fleet.
func floods(size, receivers int, rate, burst float64) (out []flood) {
	for _, factor := range []float64{12, 20} {
		for _, fraction := range []float64{0.2, 0.3, 0.4, 0.5} {
			for _, ms := range []time.Duration{-3000, -500, 0, 250, 500, 1000, 2000, 3000, 5000, 6500} {
				for side := range 4 {
					out = append(out, flood{size: size, receivers: receivers, rate: rate, burst: burst, factor: factor, fraction: fraction,
						partitionAfter: ms * time.Millisecond, ownerIncluded: side%2 == 1, isolated: side/2 == 1,
						failure: failures[len(out)*7%len(failures)]})
				}
			}
		}
	}
	return out
}

// everyFlood runs all cases of TestFloodDuringPartition instead of a sample for each fleet.
var everyFlood = cmdline.Bool("every-flood", false, "run all floods during a partition")

// TestFloodDuringPartition checks that what was admitted before a partition, what the
// partitioned instances admit on their own, and what is granted on the other side stay
// within the tolerance together, for each of two workspaces that flood at once.
func TestFloodDuringPartition(t *testing.T) {
	for _, f := range []struct {
		size, receivers, every int
		rate, burst            float64
	}{
		{12, 12, 9, 500, 500}, {12, 12, 9, 50, 50}, {75, 12, 29, 500, 1000}, {75, 12, 29, 100, 50},
		{75, 75, 79, 500, 500}, {75, 75, 79, 200, 200}, {77, 12, 29, 60, 60}, {295, 48, 161, 1500, 1500},
	} {
		cases := floods(f.size, f.receivers, f.rate, f.burst)
		every := f.every
		if *everyFlood {
			every = 1
		}
		t.Run(fmt.Sprintf("%d instances, %d receive requests, %.0f per second", f.size, f.receivers, f.rate), func(t *testing.T) {
			t.Parallel()
			worst, runs := 0.0, 0
			for i := 0; i < len(cases); i += every {
				m := newModelOf(uint64(i), f.size, newLeasedTokens, workspaceResource("w", f.rate, f.burst), workspaceResource("v", f.rate/10, f.burst/10))
				cases[i].play(m)
				runs++
				for _, l := range m.logs {
					assert.Check(t, l.peak() <= 1, "%.3f of the tolerated requests: %s: %s", l.peak(), cases[i], l.breakdown())
					worst = max(worst, l.peak())
				}
			}
			t.Logf("%d floods, at most %.3f of the tolerated requests", runs, worst)
		})
	}
}

// breakdown lists by which means the requests of the busiest window were admitted.
func (l *demandLog) breakdown() string {
	from, to := l.busiestWindow()
	n := make(map[source]int)
	for _, s := range l.sources[from:to] {
		n[s]++
	}
	var parts []string
	for s, k := range n {
		parts = append(parts, fmt.Sprintf("%s(partitioned %t) %.3f", s.kind, s.partitioned, float64(k)/l.tolerated()))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
