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

var largeRegions = flag.Bool("large-regions", false, "play regions of 1,000 and 3,550 instances, which takes minutes and gigabytes")

// regionSizes are the sizes of regions that the tests of this file play.
func regionSizes() []int {
	if *largeRegions {
		return []int{100, 330, 1000, 3550}
	}
	return []int{100, 200}
}

// lossOfModel is the share of datagrams that are lost: one of a hundred, and one of ten.
var lossRates = []float64{0.01, 0.1}

// lostPairs counts for how many pairs a running instance takes another one for dead, with what
// the model knows of both.
func (f *model) falselyDown() (n int) {
	for _, x := range f.nodes {
		if x.dead || x.frozen {
			continue
		}
		x.members.mu.Lock()
		x.members.countNear()
		for _, ps := range x.members.sorted {
			o := f.byPeer[ps.Peer]
			if !o.dead && !o.frozen && !x.members.live(ps, f.now) {
				n++
			}
		}
		x.members.mu.Unlock()
	}
	return n
}

// TestNobodyIsLostInALargeRegion lets large regions run with datagrams lost. News of all was
// passed on in datagrams that hold 64, so that it aged with the region: at 330 instances each
// took 13 living ones for lost on average, at 660 188.
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
				t.Logf("%.0f bytes and %.1f datagrams a second at an instance", each, float64(f.sent)/float64(seconds*size))
				assert.Assert(t, each <= 4096)
			})
		}
	}
}

// TestDeathReachesALargeRegion kills one instance, or a third of them, and checks when all of the
// region know, and when those of another one do.
func TestDownInstancesDetectedInLargeRegion(t *testing.T) {
	const (
		nearBound = 2500 * time.Millisecond
		farBound  = 4 * time.Second
	)
	for _, size := range regionSizes() {
		for _, dead := range []int{1, size / 3} {
			t.Run(fmt.Sprintf("%d/%d", size, dead), func(t *testing.T) {
				t.Parallel()
				f := newModel(uint64(size), 2, size)
				f.loss = 0.01
				f.run(2 * time.Second)
				gone := f.nodes[:dead]
				for _, o := range gone {
					o.dead = true
				}
				died := f.now
				near, far := time.Duration(0), time.Duration(0)
				for far == 0 && f.now-died < 2*farBound {
					f.run(100 * time.Millisecond)
					if near == 0 && f.believers(gone, "r0") == 0 {
						near = f.now - died
					}
					if near != 0 && f.believers(gone, "r1") == 0 {
						far = f.now - died
					}
				}
				t.Logf("known to the region after %s, to the other one after %s", near, far)
				assert.Assert(t, near != 0 && near <= nearBound, "%s, %d believe", near, f.believers(gone, "r0"))
				assert.Assert(t, far != 0 && far <= farBound, "%s, %d believe", far, f.believers(gone, "r1"))
				assert.Equal(t, f.falselyDown(), 0)
			})
		}
	}
}

// believers counts for how many pairs a running instance of a region takes one that is gone for
// alive.
func (f *model) believers(gone []*node, region string) (n int) {
	for _, x := range f.nodes {
		if x.dead || x.members.self.Region != region {
			continue
		}
		x.members.mu.Lock()
		x.members.countNear()
		for _, o := range gone {
			if ps := x.members.others[o.members.self.Name]; ps != nil && x.members.live(ps, f.now) {
				n++
			}
		}
		x.members.mu.Unlock()
	}
	return n
}

// TestHalvesOfALargeRegionMeetAgain cuts a region in two and joins it again, and lets some
// instances stand still for 3 s: soon afterwards nobody is taken for lost.
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
	lost := f.falselyDown()
	t.Logf("%d of %d pairs lost while the region is cut", lost, size*size/2)
	assert.Assert(t, lost > size*size/2*9/10, "%d", lost)
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
