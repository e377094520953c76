// SPDX-License-Identifier: MIT

package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shalewick/version"
)

// TestFirstChoicesMatchFullSort compares the first choices with those of a full sort.
func TestFirstChoicesMatchFullSort(t *testing.T) {
	table := &Table{Policy: DefaultPolicy()}
	nearCount, farCount := table.Policy.NearChoices, table.Policy.FarChoices
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(r, "candidates")
		distances := rapid.SliceOfNDistinct(rapid.Float64Range(0, 1), n, n, rapid.ID[float64]) // hashes have no ties
		near, far := distances.Draw(r, "near"), distances.Draw(r, "far")
		c := make([]candidate, n)
		for i := range c {
			c[i] = candidate{index: int32(i), near: near[i], far: far[i]}
		}
		want := slices.Clone(c)
		slices.SortStableFunc(want, func(a, b candidate) int { return cmp.Compare(a.near, b.near) })
		if n > nearCount {
			slices.SortStableFunc(want[nearCount:], func(a, b candidate) int { return cmp.Compare(a.far, b.far) })
			want = want[:min(n, nearCount+farCount)]
		}
		got := table.firstChoices(c)
		if len(got) != len(want) {
			r.Fatalf("%d choices, not %d", len(got), len(want))
		}
		for i := range got {
			if i < nearCount && got[i].near != want[i].near || i >= nearCount && got[i].far != want[i].far {
				r.Fatalf("choice %d: %v, not %v", i, got[i], want[i])
			}
		}
	})
}

// member is one of several simulated instances that share the warming rate of a backend server,
// each by what it knows of the others.
type member struct {
	*fixture
	startsAt, endsAt time.Duration
	readsMembersAt   time.Duration // when it has read which other instances exist
}

// TestWarmingRateHoldsWhileInstancesComeAndGo simulates instances that start, stop and learn of
// each other at random times while a backend server is cold, under more load than it can process.
// However wrong their knowledge is, the backend server must not get more requests in any second
// than its rate allows.
func TestWarmingRateHoldsWhileInstancesComeAndGo(t *testing.T) {
	const (
		rate, overage, slack = 9, 1.5, 5
		duration             = 3 * time.Second
		step                 = 20 * time.Millisecond
	)
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(r, "instances")
		allAtOnce := rapid.Bool().Draw(r, "all start while it is cold")
		members := make([]*member, n)
		for i := range members {
			x := &member{fixture: newFixture(1), endsAt: duration}
			ms := func(low, high int, name string) time.Duration {
				return time.Duration(rapid.IntRange(low, high).Draw(r, fmt.Sprint(name, i))) * time.Millisecond
			}
			if allAtOnce {
				x.startsAt = ms(0, 300, "start")
				x.readsMembersAt = x.startsAt + ms(0, 600, "learns")
			} else if rapid.IntRange(0, 3).Draw(r, fmt.Sprint("late", i)) == 0 {
				x.startsAt = ms(0, 2000, "start")
				x.readsMembersAt = x.startsAt + ms(0, 600, "learns")
			}
			if rapid.IntRange(0, 3).Draw(r, fmt.Sprint("dies", i)) == 0 {
				x.endsAt = x.startsAt + ms(0, 3000, "ends")
			}
			members[i] = x
		}
		var sent []time.Duration
		for now := time.Duration(0); now < duration; now += step {
			for i, x := range members {
				if now < x.startsAt || now >= x.endsAt {
					continue
				}
				x.now = time.Hour + now
				x.updateMembership(members, i, now)
				if x.Routing() == nil {
					x.backend("cold", 0, func(u *version.Backend) { u.Cold = version.Duration(duration - now) })
					x.install()
				}
				for object := range uint64(3) {
					if k, _ := x.Pick(x.query(object + 1)); k != nil {
						sent = append(sent, x.now)
						k.Done(Answered, &Report{Running: 1, Slots: 6})
					}
				}
			}
		}
		if peak := maxPerSecond(sent); float64(peak) > rate*overage+slack {
			r.Fatalf("%d instances: %d in one second", n, peak)
		}
	})
}

// updateMembership sets the instance's index and count. It does not know the others until it has
// read their rows and waited a little longer (cluster.Members.Position), when it has received
// messages of all that read theirs meanwhile. It learns of a later start when that instance has
// read the rows, and of a stop a second late.
func (x *member) updateMembership(all []*member, self int, now time.Duration) {
	const (
		settle    = 300 * time.Millisecond
		transit   = 100 * time.Millisecond
		detection = time.Second
	)
	x.fixture.index, x.fixture.count = 0, 0
	if now < x.readsMembersAt+settle {
		return
	}
	x.fixture.count = 1
	for i, other := range all {
		if i == self || now > other.endsAt+detection {
			continue
		}
		read := other.startsAt+transit <= x.readsMembersAt
		received := now >= other.readsMembersAt+transit
		if !read && !received {
			continue
		}
		x.fixture.count++
		if i < self {
			x.fixture.index++
		}
	}
}
