// SPDX-License-Identifier: MIT

package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/cluster"
)

// testFleet returns two regions with two halls each, and large and small instances in each hall.
func testFleet(large, small int) []cluster.Member {
	var out []cluster.Member
	for _, region := range []string{"north", "south"} {
		for _, hall := range []string{"a", "b"} {
			for i := range large + small {
				m := cluster.Member{Name: fmt.Sprintf("%s-%s-%d", region, hall, i), Region: region, Hall: region + "-" + hall, Link: 200, Cores: 0.8}
				if i >= large {
					m.Link, m.Cores = 10, 0.16
				}
				out = append(out, m)
			}
		}
	}
	return out
}

func namedInstances(live []cluster.Member) []string {
	var out []string
	for _, m := range nearestInstances(live, DirectoryQuery{Region: "north", Hall: "north-a"}, nil) {
		out = append(out, m.Name)
	}
	return out
}

// without returns the members except those with the given names.
func without(live []cluster.Member, names ...string) []cluster.Member {
	return filter(live, func(m cluster.Member) bool {
		for _, n := range names {
			if n == m.Name {
				return false
			}
		}
		return true
	})
}

func TestDirectoryListsLargeInstancesOfHall(t *testing.T) {
	live := testFleet(2, 3)
	assert.DeepEqual(t, namedInstances(live), []string{"north-a-0", "north-a-1"})
	one := without(live, "north-a-1")
	assert.DeepEqual(t, namedInstances(one), []string{"north-a-0", "north-b-0", "north-b-1"}) // one is not enough
	none := without(one, "north-a-0", "north-b-0", "north-b-1")
	assert.DeepEqual(t, namedInstances(none), []string{"north-a-2", "north-a-3", "north-a-4"}) // no large instance is left in the region
}

func TestDirectoryListsAllEqualInstances(t *testing.T) {
	assert.DeepEqual(t, namedInstances(testFleet(0, 3)), []string{"north-a-0", "north-a-1", "north-a-2"})
	assert.DeepEqual(t, namedInstances(testFleet(3, 0)), []string{"north-a-0", "north-a-1", "north-a-2"})
	unknown := testFleet(2, 0)
	for i := range unknown {
		unknown[i].Link, unknown[i].Cores = 0, 0
	}
	assert.DeepEqual(t, namedInstances(unknown), []string{"north-a-0", "north-a-1"})
}

func TestCountListed(t *testing.T) {
	assert.Equal(t, countListed(testFleet(2, 3)), 8)
	assert.Equal(t, countListed(testFleet(0, 3)), 12)
	assert.Equal(t, countListed(without(testFleet(2, 3), "north-a-0", "north-a-1", "north-b-0", "north-b-1")), 4+6)
}

// TestPositionAmongLarge checks the positions among the instances that share what all of them may
// send to a cold backend server.
func TestPositionAmongLarge(t *testing.T) {
	known := testFleet(2, 3)
	seen := make(map[int]bool)
	for _, m := range known {
		index, count := positionAmongLarge(known, m.Name)
		if m.Link < 200 {
			assert.Equal(t, count, 0)
			continue
		}
		assert.Equal(t, count, 8)
		assert.Assert(t, index < 8 && !seen[index])
		seen[index] = true
	}
	all := testFleet(0, 3)
	_, count := positionAmongLarge(all, all[3].Name)
	assert.Equal(t, count, 12, "all share if all are equal")
}

// TestBusyInstanceNotListedWhileOthersHaveCapacity checks which instances are listed as load rises.
func TestBusyInstanceNotListedWhileOthersHaveCapacity(t *testing.T) {
	live := testFleet(3, 3)
	live[0].Busy = true
	assert.DeepEqual(t, namedInstances(live), []string{"north-a-1", "north-a-2"})
	live[1].Busy = true
	assert.DeepEqual(t, namedInstances(live), []string{"north-a-2", "north-b-0", "north-b-1", "north-b-2"}) // the other hall of the region has free capacity
	for i := range live {
		live[i].Busy = live[i].Link == 200
	}
	assert.Equal(t, len(namedInstances(live)), 6, "all of the hall are needed")
}

func TestUtilizationBusyPersists(t *testing.T) {
	var u utilization
	now := time.Hour
	measure := func(mbps float64, delay time.Duration) (busy bool) {
		for range 10 {
			now += utilizationInterval
			busy = u.record(int64(mbps*1e6/8*utilizationInterval.Seconds()), 10, utilizationInterval, delay, now)
		}
		return busy
	}
	assert.Assert(t, !measure(5, time.Millisecond))
	assert.Assert(t, measure(9, time.Millisecond))
	assert.Assert(t, measure(1, 0) || now < u.busyUntil+2*minBusyTime)
	assert.Assert(t, !measure(1, 0))
	assert.Assert(t, measure(1, 50*time.Millisecond))
}

// TestInstancesWithoutLinksAreListedLast checks that instances that reach no backend server are listed
// only if no instance does.
func TestInstancesWithoutLinksAreListedLast(t *testing.T) {
	reaching, cut := cluster.Member{Name: "a"}, cluster.Member{Name: "b", BackendsUnreachable: true}
	assert.DeepEqual(t, reachingBackends([]cluster.Member{reaching, cut}), []cluster.Member{reaching})
	assert.DeepEqual(t, reachingBackends([]cluster.Member{reaching}), []cluster.Member{reaching})
	assert.DeepEqual(t, reachingBackends([]cluster.Member{cut}), []cluster.Member{cut})
}
