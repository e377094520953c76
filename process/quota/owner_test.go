// SPDX-License-Identifier: MIT

package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// asked is an instance that others ask for tokens, with what it grants.
type asked struct {
	*Quota
	now     time.Duration
	owner   Owner
	granted map[string]int // by who asked
	seq     byte
}

func newAsked(w *version.Workspaces, owner Owner) *asked {
	a := &asked{now: time.Hour, owner: owner, granted: make(map[string]int)}
	a.Quota = &Quota{
		Now: func() time.Duration { return a.now }, Tolerance: tolerance, Instances: func() int { return 3 },
		Owners: func() (out [Shards]Owner) {
			for i := range out {
				out[i] = a.owner
			}
			return out
		},
		Send: func(to string, text []byte) {
			_, answers, _ := decode(text)
			for _, x := range answers {
				a.granted[to] += int(x.granted)
			}
		},
	}
	a.Install(w)
	return a
}

// askedFor lets some ask at each tick, one after the other, and returns what the last of
// them was granted in that time.
func (a *asked) askedFor(d time.Duration, want uint16, who ...string) int {
	last := who[len(who)-1]
	before := a.granted[last]
	for end := a.now + d; a.now < end; a.now += TickTime {
		a.Tick()
		a.seq++
		for _, from := range who {
			a.Hear(from, encodeAsks([]ask{{hash: hashOf("w"), seq: a.seq, want: want}}))
		}
	}
	return a.granted[last] - before
}

// TestWhoDoesNotOwnGivesLittle tells of floods that came to 1.08 of what is tolerated in the
// two seconds after a cut had healed, twice the rate. Those who were cut off went on asking
// the owner that they had had until they knew of the other one again, and that one, which
// knew already, answered each tick from a new bucket. What proved it: with the bucket kept,
// the same floods come to 0.94 at most. An instance that is asked without being the owner
// may help those out who know less than it does, but not give a second rate.
func TestWhoDoesNotOwnGivesLittle(t *testing.T) {
	const rate = 20
	other, self := Owner{Name: "other", Address: "other"}, Owner{Name: "self"}
	window := tolerance.Window
	all := workspaceWith(rate, rate)
	alone := mostAlone * rate * window.Seconds() // what those who lost their owner go on with

	a := newAsked(all, other)
	got := a.askedFor(window, 100, "late")
	assert.Assert(t, got > 0 && float64(got) <= tolerance.spare()+alone, "never the owner: %d", got)

	a = newAsked(all, self)
	a.now += time.Minute
	a.askedFor(window, 4, "early", "late") // until the burst is used
	used := a.askedFor(window, 4, "early", "late")
	a.owner = other
	got = a.askedFor(window, 4, "late") // the early one has turned away
	most := int(tolerance.spare()) + used + int(rate*heardFor.Seconds())
	assert.Assert(t, got > 0 && got <= most, "was the owner: %d, %d before", got, used)
	a.owner = self
	a.Tick()
	got = a.askedFor(time.Second, 100, "late")
	assert.Assert(t, got <= int(tolerance.spare())+rate+1, "the owner again: %d", got)
}

// TestFormerOwnerServesWhoComesLate tells of a workspace at a seventh of its limit whose requests
// were refused with OVER_QUOTA for up to a second after an instance had been frozen. Instances
// that took it for the owner asked it, while it knew of the next owner already. What proved it:
// of 23 asks that got nothing, 22 were of instances that had not asked it while it owned the
// workspace, so that what it gave to all was what the others had used, often nothing.
func TestFormerOwnerServesWhoComesLate(t *testing.T) {
	const rate = 2000
	a := newAsked(workspaceWith(rate, rate), Owner{Name: "self"})
	a.now += time.Minute
	a.askedFor(time.Second, 1, "early")
	a.owner = Owner{Name: "other", Address: "other"}
	share := a.limits[hashOf("w")].alone * rate / float64(a.Instances())
	a.askedFor(time.Second, 1000, "late") // what the bucket held
	got := a.askedFor(2*time.Second, 1000, "late")
	assert.Assert(t, float64(got) >= 0.9*2*share && float64(got) <= 1.1*2*share, "%d, %.0f is the share of two seconds", got, 2*share)
}

// TestOwnerThatMissesOthersHoldsLess tells of floods that came to 1.09 of what is tolerated:
// the owner of a workspace was cut off alone with its bucket full, kept the rate of those that
// it missed, and spent the whole burst on its own requests, while they went on with their
// shares. What proved it: the requests of the worst windows by instance. The part of the
// burst that goes with the rate of those missed is theirs, too.
func TestOwnerThatMissesOthersHoldsLess(t *testing.T) {
	const rate, burst = 20, 100
	a := newAsked(workspaceWith(rate, burst), Owner{Name: "self"})
	a.now += time.Minute
	a.askedFor(10*time.Second, 1, "b", "c", "d") // 4 a second each, so that the bucket is full
	before := a.askedFor(time.Second, 1, "d")    // b and c are missed from then on
	assert.Equal(t, before, 4)
	a.askedFor(time.Second, 1, "d")
	got := a.askedFor(time.Second, 200, "d")
	const kept = keptPart * 8 / rate // part of the rate
	most := (burst+tolerance.spare())*(1-kept) + rate
	assert.Assert(t, float64(got) <= most && got > burst/2, "%d, %.0f at most", got, most)
}
