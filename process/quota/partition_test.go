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

// flood is a workspace that sends many times its usual, and a cut that comes beside.
type flood struct {
	size, receivers int
	rate, burst     float64
	factor          float64       // the usual, which is usualPart of the limit
	fraction        float64       // part of the instances that is cut off
	partitionAfter  time.Duration // after the flood's begin; may be before
	ownerIncluded   bool          // the owner is among those cut off
	isolated        bool          // those cut off do not reach each other either
	failure         string        // another failure at the time of the cut
}

const (
	usualLoad     = 0.6
	floodTime     = 7 * time.Second
	partitionTime = 6 * time.Second
)

func (c flood) String() string {
	return fmt.Sprintf("%d instances, %d take requests, %.0f a second, burst %.0f, flood of %.0f, %.1f cut off after %s, owner cut %t, apart %t, beside %q",
		c.size, c.receivers, c.rate, c.burst, c.factor, c.fraction, c.partitionAfter, c.ownerIncluded, c.isolated, c.failure)
}

// event is what happens at a moment of a play.
type event struct {
	at time.Duration
	do func()
}

// play plays a flood, for the workspaces of a model, and what comes beside.
func (c flood) play(m *model) {
	const lead = 5 * time.Second // before the flood, or before a cut that comes first
	start := lead + max(0, -c.partitionAfter)
	cutAt := start + c.partitionAfter
	events := []event{
		{start, func() { c.setDemand(m, c.factor) }},
		{start + floodTime, func() { c.setDemand(m, 1) }},
		{cutAt, func() { c.partition(m) }},
		{cutAt + partitionTime, m.heal},
	}
	events = append(events, c.failureEvents(m, cutAt)...)
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	c.setDemand(m, 1)
	began := m.now
	for _, e := range events {
		m.run(began + e.at - m.now)
		e.do()
	}
	m.run(6 * time.Second)
}

// each sets the demand of all workspaces.
func (c flood) setDemand(m *model, times float64) {
	for i, l := range m.logs {
		m.demandOf(i, times*usualLoad*l.workspace.Rate, c.receivers)
	}
}

// cutOff cuts a part of those that take requests off, and of the others, with the
// owner of the first workspace or without.
func (c flood) partition(m *model) {
	owner := m.owner()
	cut := 0
	take := func(list []*node) {
		n := int(math.Round(c.fraction * float64(len(list))))
		for _, x := range list {
			if x != owner && n > 0 {
				cut++
				n--
				x.group = 1
				if c.isolated {
					x.group = cut
				}
			}
		}
	}
	take(m.nodes[:c.receivers])
	take(m.nodes[c.receivers:])
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

// owner is the instance that owns the first workspace while all live.
func (m *model) owner() *node {
	ranks := ownerRanks[hashOf(m.workspace.Name)%Shards]
	return slices.MinFunc(m.nodes, func(a, b *node) int {
		if ranks[a.index] < ranks[b.index] {
			return -1
		}
		return 1
	})
}

// others are the other failures.
func (c flood) failureEvents(m *model, cutAt time.Duration) []event {
	switch c.failure {
	case "owner dies":
		return []event{
			{cutAt + 300*time.Millisecond, func() { m.owner().die() }},
			{cutAt + 3*time.Second, func() { m.owner().restart(newLeasedTokens) }},
		}
	case "herd kill":
		return []event{
			{cutAt + 500*time.Millisecond, func() { m.forSome(0.4, (*node).die) }},
			{cutAt + 2*time.Second, func() { m.resumeAll(newLeasedTokens) }},
		}
	case "freeze":
		return []event{
			{cutAt + 200*time.Millisecond, func() { m.forSome(0.3, (*node).freeze) }},
			{cutAt + 3200*time.Millisecond, func() { m.resumeAll(newLeasedTokens) }},
		}
	}
	return nil
}

// some does something to a part of the instances.
func (m *model) forSome(part float64, do func(*node)) {
	for _, x := range m.nodes {
		if m.random.Float64() < part {
			do(x)
		}
	}
}

// thaw starts those that died anew, and lets those go on that froze.
func (m *model) resumeAll(way func(*node) strategy) {
	for _, x := range m.nodes {
		x.frozen = false
		if x.dead {
			x.restart(way)
		}
	}
}

// besides are the failures beside a cut; without one twice.
var failures = []string{"", "", "owner dies", "herd kill", "freeze"}

// floods lists the cases of a fleet.
func floods(size, entries int, rate, burst float64) (out []flood) {
	for _, times := range []float64{12, 20} {
		for _, cut := range []float64{0.2, 0.3, 0.4, 0.5} {
			for _, ms := range []time.Duration{-3000, -500, 0, 250, 500, 1000, 2000, 3000, 5000, 6500} {
				for side := range 4 {
					out = append(out, flood{size: size, receivers: entries, rate: rate, burst: burst, factor: times, fraction: cut,
						partitionAfter: ms * time.Millisecond, ownerIncluded: side%2 == 1, isolated: side/2 == 1,
						failure: failures[len(out)*7%len(failures)]})
				}
			}
		}
	}
	return out
}

// everyFlood plays all cases of TestFloodThatMeetsACut, in place of some of each fleet.
var everyFlood = cmdline.Bool("every-flood", false, "play all floods that meet a cut")

// TestFloodThatMeetsACut checks that what was let in before a cut, what those cut off
// go on with, and what is granted on the other side stay within what is tolerated
// together, of each of two workspaces that flood at once.
func TestFloodDuringPartition(t *testing.T) {
	for _, f := range []struct {
		size, entries, every int
		rate, burst          float64
	}{
		{12, 12, 9, 500, 500}, {12, 12, 9, 50, 50}, {75, 12, 29, 500, 1000}, {75, 12, 29, 100, 50},
		{75, 75, 79, 500, 500}, {75, 75, 79, 200, 200}, {77, 12, 29, 60, 60}, {295, 48, 161, 1500, 1500},
	} {
		cases := floods(f.size, f.entries, f.rate, f.burst)
		every := f.every
		if *everyFlood {
			every = 1
		}
		t.Run(fmt.Sprintf("%d instances, %d take requests, %.0f a second", f.size, f.entries, f.rate), func(t *testing.T) {
			t.Parallel()
			worst, played := 0.0, 0
			for i := 0; i < len(cases); i += every {
				m := newModelOf(uint64(i), f.size, newLeasedTokens, workspaceResource("w", f.rate, f.burst), workspaceResource("v", f.rate/10, f.burst/10))
				cases[i].play(m)
				played++
				for _, l := range m.logs {
					assert.Check(t, l.peak() <= 1, "%.3f of what is tolerated: %s: %s", l.peak(), cases[i], l.breakdown())
					worst = max(worst, l.peak())
				}
			}
			t.Logf("%d floods, at most %.3f of what is tolerated", played, worst)
		})
	}
}

// account tells what let the requests of the worst window in.
func (l *demandLog) breakdown() string {
	from, to := l.busiestWindow()
	n := make(map[source]int)
	for _, s := range l.sources[from:to] {
		n[s]++
	}
	var parts []string
	for s, k := range n {
		parts = append(parts, fmt.Sprintf("%s(cut %t) %.3f", s.kind, s.partitioned, float64(k)/l.tolerated()))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
