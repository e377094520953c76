// SPDX-License-Identifier: MIT

package proof

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/load"
	"shalewick/standin/backend"
	"shalewick/standin/fleet"
)

// Bounds on the requests of a backend server that names a rate limit, from the users' platform:
// from limitKnownAfter after it first named the limit, no limitWindow has more than
// limitFactor times the limit, and limitExtra.
const (
	limitKnownAfter = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitExtra      = 5
)

// TestEntriesKeepBackendRateLimitTogether guards against entries that each send a backend server
// as many requests as its rate limit allows all of them together, or that keep to the limit after
// its end. All backend servers are wanted, and one entry is killed while the limits hold.
func TestEntriesKeepBackendRateLimitTogether(t *testing.T) {
	for _, u := range runLimited(t) {
		allowed := limitFactor*u.limit*limitWindow.Seconds() + limitExtra
		assert.Check(t, float64(u.most) <= allowed, "limit of %g: %.0f are allowed", u.limit, allowed)
		assert.Check(t, float64(u.after) > 2*u.limit, "the limit of %g outlasts its end", u.limit)
	}
}

// TestEntriesUseBackendRateLimit guards against entries that send a backend server far less than its
// rate limit allows although it is wanted.
func TestEntriesUseBackendRateLimit(t *testing.T) {
	for _, u := range runLimited(t) {
		assert.Check(t, float64(u.during) >= u.limit*u.held.Seconds()/4, "the limit of %g is hardly used", u.limit)
	}
}

// limitUse is what a backend server got that named a rate limit.
type limitUse struct {
	limit  float64
	held   time.Duration // from limitKnownAfter to the end of the limit
	during int           // requests within held
	most   int           // requests within any limitWindow of held
	after  int           // requests later than limitWindow after the end
}

// runLimited runs entries under load beyond their capacity while three backend servers name rate
// limits. One entry is killed meanwhile.
func runLimited(t *testing.T) (uses []limitUse) {
	t.Helper()
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 60 * time.Millisecond})
	limits := map[int]float64{0: 0.5, 2: 4, 4: 20} // by number of the backend server
	var named, ended time.Time
	o := load.Options{Clients: c.callers(), Rate: 1300, Duration: 20 * time.Second, Mix: c.readMix()}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(time.Second)
		for i, limit := range limits {
			c.backendFault(i, backend.Fault{Limit: limit})
		}
		named = time.Now()
		time.Sleep(6 * time.Second)
		c.entries[0].Kill()
		time.Sleep(6 * time.Second)
		ended = time.Now()
		for i := range limits {
			c.backendFault(i, backend.Fault{})
		}
	})
	assert.Equal(t, rep.Faults(), 0)
	assert.Assert(t, rep.Lines[0].Answered > rep.Lines[0].Sent/2, "%v", rep.Lines[0].Refused)
	records := c.records()
	for i, limit := range limits {
		var starts []time.Time
		after := 0
		for _, r := range records {
			if r.Backend != c.backends[i].name {
				continue
			}
			if r.Start.After(named.Add(limitKnownAfter)) && r.Start.Before(ended) {
				starts = append(starts, r.Start)
			}
			if r.Start.After(ended.Add(limitWindow)) {
				after++
			}
		}
		u := limitUse{limit, ended.Sub(named) - limitKnownAfter, len(starts), load.MaxWithin(starts, limitWindow), after}
		t.Logf("%+v", u)
		uses = append(uses, u)
	}
	return uses
}
