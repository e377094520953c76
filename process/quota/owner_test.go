// SPDX-License-Identifier: MIT

package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// asked is an instance that others ask for tokens, with what it grants.
type tokenOwner struct {
	*Quota
	now     time.Duration
	owner   Owner
	granted map[string]int // by who asked
	seq     byte
}

func newTokenOwner(w *version.Workspaces, owner Owner) *tokenOwner {
	a := &tokenOwner{now: time.Hour, owner: owner, granted: make(map[string]int)}
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
func (a *tokenOwner) grantedTo(d time.Duration, want uint16, who ...string) int {
	last := who[len(who)-1]
	before := a.granted[last]
	for end := a.now + d; a.now < end; a.now += TickInterval {
		a.Tick()
		a.seq++
		for _, from := range who {
			a.Receive(from, encodeRequests([]tokenRequest{{hash: hashOf("w"), seq: a.seq, wanted: want}}))
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
func TestNonOwnerGrantsLittle(t *testing.T) {
	const rate = 20
	other, self := Owner{Name: "other", Address: "other"}, Owner{Name: "self"}
	window := tolerance.Window
	all := workspaceWith(rate, rate)
	alone := maxFallbackFraction * rate * window.Seconds() // what those who lost their owner go on with

	a := newTokenOwner(all, other)
	got := a.grantedTo(window, 100, "late")
	assert.Assert(t, got > 0 && float64(got) <= tolerance.bucketSlack()+alone, "never the owner: %d", got)

	a = newTokenOwner(all, self)
	a.now += time.Minute
	a.grantedTo(window, 4, "early", "late") // until the burst is used
	used := a.grantedTo(window, 4, "early", "late")
	a.owner = other
	got = a.grantedTo(window, 4, "late") // the early one has turned away
	most := int(tolerance.bucketSlack()) + used + int(rate*requesterTimeout.Seconds())
	assert.Assert(t, got > 0 && got <= most, "was the owner: %d, %d before", got, used)
	a.owner = self
	a.Tick()
	got = a.grantedTo(time.Second, 100, "late")
	assert.Assert(t, got <= int(tolerance.bucketSlack())+rate+1, "the owner again: %d", got)
}

// TestFormerOwnerServesWhoComesLate tells of a workspace at a seventh of its limit whose requests
// were refused with OVER_QUOTA for up to a second after an instance had been frozen. Instances
// that took it for the owner asked it, while it knew of the next owner already. What proved it:
// of 23 asks that got nothing, 22 were of instances that had not asked it while it owned the
// workspace, so that what it gave to all was what the others had used, often nothing.
func TestFormerOwnerGrantsLateRequesters(t *testing.T) {
	const rate = 2000
	a := newTokenOwner(workspaceWith(rate, rate), Owner{Name: "self"})
	a.now += time.Minute
	a.grantedTo(time.Second, 1, "early")
	a.owner = Owner{Name: "other", Address: "other"}
	share := a.limits[hashOf("w")].fallback * rate / float64(a.Instances())
	a.grantedTo(time.Second, 1000, "late") // what the bucket held
	got := a.grantedTo(2*time.Second, 1000, "late")
	assert.Assert(t, float64(got) >= 0.9*2*share && float64(got) <= 1.1*2*share, "%d, %.0f is the share of two seconds", got, 2*share)
}

// TestOwnerThatMissesOthersHoldsLess tells of floods that came to 1.09 of what is tolerated:
// the owner of a workspace was cut off alone with its bucket full, kept the rate of those that
// it missed, and spent the whole burst on its own requests, while they went on with their
// shares. What proved it: the requests of the worst windows by instance. The part of the
// burst that goes with the rate of those missed is theirs, too.
func TestOwnerReservesBurstOfMissingInstances(t *testing.T) {
	const rate, burst = 20, 100
	a := newTokenOwner(workspaceWith(rate, burst), Owner{Name: "self"})
	a.now += time.Minute
	a.grantedTo(10*time.Second, 1, "b", "c", "d") // 4 a second each, so that the bucket is full
	before := a.grantedTo(time.Second, 1, "d")    // b and c are missed from then on
	assert.Equal(t, before, 4)
	a.grantedTo(time.Second, 1, "d")
	got := a.grantedTo(time.Second, 200, "d")
	const kept = reserveFraction * 8 / rate // part of the rate
	most := (burst+tolerance.bucketSlack())*(1-kept) + rate
	assert.Assert(t, float64(got) <= most && got > burst/2, "%d, %.0f at most", got, most)
}
