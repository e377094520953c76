// SPDX-License-Identifier: MIT

package cluster

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var largeRegions = flag.Bool("large-regions", false, "simulate regions of 1,000 and 3,550 instances, which takes minutes and several GB of memory")

// regionSizes are the simulated region sizes.
func regionSizes() []int {
	if *largeRegions {
		return []int{100, 330, 1000, 3550}
	}
	return []int{100, 200}
}

// lossRates are the simulated shares of lost datagrams: 1% and 10%.
var lossRates = []float64{0.01, 0.1}

// falselyDown counts the pairs in which a running instance considers another running one not live. It
// inspects the internal state of Members.
func (f *model) falselyDown() (n int) {
	for _, x := range f.nodes {
		if x.stopped || x.frozen {
			continue
		}
		x.members.mu.Lock()
		x.members.countRegionPeers()
		for _, ps := range x.members.sorted {
			o := f.byPeer[ps.Peer]
			if !o.stopped && !o.frozen && !x.members.live(ps, f.now) {
				n++
			}
		}
		x.members.mu.Unlock()
	}
	return n
}

// TestNoFalseDownInLargeRegion simulates large regions with datagrams lost. Before probing, liveness
// entries of all instances were gossiped in datagrams that hold 64, so their age grew with the region: at
// 330 instances each took 13 live ones for down on average, at 660 it was 188.
func TestNoFalseDownInLargeRegion(t *testing.T) {
	for _, size := range regionSizes() {
		for _, loss := range lossRates {
			t.Run(fmt.Sprintf("%d/%g", size, loss), func(t *testing.T) {
				t.Parallel()
				f := newModel(uint64(size), 1, size)
				f.loss = loss
				f.run(time.Second)
				f.sent, f.bytes = 0, 0
				seconds := 60
				if !*largeRegions {
					seconds = 15
				}
				for range seconds {
					f.run(time.Second)
					assert.Equal(t, f.falselyDown(), 0)
				}
				each := float64(f.bytes) / float64(seconds*size)
				t.Logf("%.0f bytes and %.1f datagrams a second per instance", each, float64(f.sent)/float64(seconds*size))
				assert.Assert(t, each <= 4096)
			})
		}
	}
}

// TestDownInstancesDetectedInLargeRegion stops one instance, or a third of them, and measures when all
// instances of the region know, and when those of another region do.
func TestDownInstancesDetectedInLargeRegion(t *testing.T) {
	const (
		nearBound = 2500 * time.Millisecond
		farBound  = 4 * time.Second
	)
	for _, size := range regionSizes() {
		for _, count := range []int{1, size / 3} {
			t.Run(fmt.Sprintf("%d/%d", size, count), func(t *testing.T) {
				t.Parallel()
				f := newModel(uint64(size), 2, size)
				f.loss = 0.01
				f.run(2 * time.Second)
				stopped := f.nodes[:count]
				for _, o := range stopped {
					o.stopped = true
				}
				stoppedAt := f.now
				near, far := time.Duration(0), time.Duration(0)
				for far == 0 && f.now-stoppedAt < 2*farBound {
					f.run(100 * time.Millisecond)
					if near == 0 && f.countConsideringLive(stopped, "r0") == 0 {
						near = f.now - stoppedAt
					}
					if near != 0 && f.countConsideringLive(stopped, "r1") == 0 {
						far = f.now - stoppedAt
					}
				}
				t.Logf("known in the region after %s, in the other one after %s", near, far)
				assert.Assert(t, near != 0 && near <= nearBound, "%s, %d still consider it live", near, f.countConsideringLive(stopped, "r0"))
				assert.Assert(t, far != 0 && far <= farBound, "%s, %d still consider it live", far, f.countConsideringLive(stopped, "r1"))
				assert.Equal(t, f.falselyDown(), 0)
			})
		}
	}
}

// countConsideringLive counts the pairs in which a running instance of a region considers a stopped one live.
func (f *model) countConsideringLive(stopped []*node, region string) (n int) {
	for _, x := range f.nodes {
		if x.stopped || x.members.self.Region != region {
			continue
		}
		x.members.mu.Lock()
		x.members.countRegionPeers()
		for _, o := range stopped {
			if ps := x.members.others[o.members.self.Name]; ps != nil && x.members.live(ps, f.now) {
				n++
			}
		}
		x.members.mu.Unlock()
	}
	return n
}

// TestLargeRegionHealsAfterPartition partitions a region into two halves and joins them, then freezes some
// instances for 3 s: soon after each fault no running instance is considered down.
func TestLargeRegionHealsAfterPartition(t *testing.T) {
	const size = 200
	f := newModel(5, 1, size)
	f.loss = 0.01
	f.run(2 * time.Second)
	half := func(x *node) int { return slices.Index(f.nodes, x) % 2 }
	for _, x := range f.nodes {
		for _, o := range f.nodes {
			if half(x) != half(o) {
				x.dropFrom[o.members.self.Name] = true
			}
		}
	}
	f.run(6 * time.Second)
	down := f.falselyDown()
	t.Logf("%d of %d pairs down while the region is partitioned", down, size*size/2)
	assert.Assert(t, down > size*size/2*9/10, "%d", down)
	for _, x := range f.nodes {
		clear(x.dropFrom)
	}
	f.run(6 * time.Second)
	assert.Equal(t, f.falselyDown(), 0)
	for _, x := range f.nodes[:20] {
		x.frozen = true
	}
	f.run(3 * time.Second)
	for _, x := range f.nodes[:20] {
		x.frozen = false
	}
	f.run(4 * time.Second)
	assert.Equal(t, f.falselyDown(), 0)
}
