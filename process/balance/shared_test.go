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

// TestFirstChoicesAreThoseOfTheWholeOrder compares the choices with those that
// sorting gives.
func TestFirstChoicesMatchFullSort(t *testing.T) {
	table := &Table{Policy: DefaultPolicy()}
	nearest, others := table.Policy.NearChoices, table.Policy.FarChoices
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(0, 40).Draw(r, "candidates")
		distances := rapid.SliceOfNDistinct(rapid.Float64Range(0, 1), n, n, rapid.ID[float64]) // hashes do not tie
		near, far := distances.Draw(r, "near"), distances.Draw(r, "far")
		c := make([]candidate, n)
		for i := range c {
			c[i] = candidate{index: int32(i), near: near[i], far: far[i]}
		}
		want := slices.Clone(c)
		slices.SortStableFunc(want, func(a, b candidate) int { return cmp.Compare(a.near, b.near) })
		if n > nearest {
			slices.SortStableFunc(want[nearest:], func(a, b candidate) int { return cmp.Compare(a.far, b.far) })
			want = want[:min(n, nearest+others)]
		}
		got := table.firstChoices(c)
		if len(got) != len(want) {
			r.Fatalf("%d choices, not %d", len(got), len(want))
		}
		for i := range got {
			if i < nearest && got[i].near != want[i].near || i >= nearest && got[i].far != want[i].far {
				r.Fatalf("choice %d: %v, not %v", i, got[i], want[i])
			}
		}
	})
}

// sharer is one instance of a model in which several share the warming rate of
// a backend server, each by what it believes of the others.
type member struct {
	*fixture
	startsAt, endsAt time.Duration // when it lives
	readsMembersAt   time.Duration // when it has read which others there are
}

// TestWarmingRateHoldsWhileInstancesComeAndGo plays instances that start, end and
// learn of each other at random moments while a backend server is cold, all under more
// load than it bears. However wrong their beliefs are, the backend server must not get
// more in any second than its rate allows.
func TestWarmingRateHoldsWhileInstancesComeAndGo(t *testing.T) {
	const (
		rate, overage, slack = 9, 1.5, 5
		lasts                = 3 * time.Second
		step                 = 20 * time.Millisecond
	)
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(r, "instances")
		allAtOnce := rapid.Bool().Draw(r, "all start while it is cold")
		sharers := make([]*member, n)
		for i := range sharers {
			x := &member{fixture: newFixture(1), endsAt: lasts}
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
			sharers[i] = x
		}
		var sent []time.Duration
		for now := time.Duration(0); now < lasts; now += step {
			for i, x := range sharers {
				if now < x.startsAt || now >= x.endsAt {
					continue
				}
				x.now = time.Hour + now
				x.updateMembership(sharers, i, now)
				if x.Routing() == nil {
					x.backend("cold", 0, func(u *version.Backend) { u.Cold = version.Duration(lasts - now) })
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
		if most := maxPerSecond(sent); float64(most) > rate*overage+slack {
			r.Fatalf("%d instances: %d in one second", n, most)
		}
	})
}

// believe sets what an instance takes its place to be. It does not know of others
// before it has read their rows and a little longer (cluster.Members.Place), when
// it has heard of all who read theirs meanwhile; it learns of a later start when
// that one has read the rows, and of an end a second late.
func (x *member) updateMembership(all []*member, self int, now time.Duration) {
	const (
		settle   = 300 * time.Millisecond
		datagram = 100 * time.Millisecond
		late     = time.Second
	)
	x.fixture.index, x.fixture.count = 0, 0
	if now < x.readsMembersAt+settle {
		return
	}
	x.fixture.count = 1
	for i, other := range all {
		if i == self || now > other.endsAt+late {
			continue
		}
		read := other.startsAt+datagram <= x.readsMembersAt
		told := now >= other.readsMembersAt+datagram
		if !read && !told {
			continue
		}
		x.fixture.count++
		if i < self {
			x.fixture.index++
		}
	}
}
