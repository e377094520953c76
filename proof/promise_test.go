// SPDX-License-Identifier: MIT

package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/load"
	"shalewick/process/entry"
	"shalewick/process/front"
	"shalewick/request"
	"shalewick/standin/backend"
	"shalewick/standin/fleet"
	standplatform "shalewick/standin/platform"
	"shalewick/version"
)

// reads is a mix of reads only.
func (c *cluster) readMix() []load.Kind { return c.mix()[:1] }

// TestShiftStaysUnderCap: a shift never carries more than its cap, at once and
// in any one second, through a death, a freeze past the lease, an outage of
// the platform, and a cap that is lowered meanwhile.
func TestShiftStaysUnderCap(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 20 * time.Millisecond})
	north, central := c.size.Regions[0], c.size.Regions[1]
	shift := func(v int64, most, rate int) int64 {
		return c.apply(version.Resource{
			Key: version.Key{Kind: version.KindShift, Name: "x"}, Version: v,
			Shift: &version.Shift{Service: c.size.Read, From: north, To: central, Share: 0.8, Cap: most, Rate: rate},
		}).Version
	}
	v := shift(0, 8, 60)
	begun := time.Now()
	var lowered, end time.Time
	o := load.Options{Clients: c.callers(0, 1), Rate: 500, Duration: 22 * time.Second, Mix: c.readMix()}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.platformFault(standplatform.Fault{Down: true})
		c.entries[6].Kill()
		c.removeInstance(c.entries[6].name)
		c.entries[7].Freeze()
		time.Sleep(5 * time.Second)
		c.entries[7].Thaw()
		time.Sleep(time.Second)
		c.platformFault(standplatform.Fault{})
		shift(v, 4, 30)
		lowered = time.Now()
		time.Sleep(3 * time.Second)
		end = time.Now()
	})
	assert.Equal(t, rep.Faults(), 0)
	records := c.records()
	atOnce, inSecond := load.CrossRegionPeaks(records, begun, c.size.Read, north, central, c.serviceAndRegion)
	t.Logf("cap 8 at once, 60 a second: %d, %d", atOnce, inSecond)
	assert.Assert(t, atOnce <= 8 && inSecond <= 60)
	assert.Assert(t, atOnce >= 2 && inSecond >= 10, "the shift carried too little to show anything")
	// Requests that began under the old cap end by their deadline.
	atOnce, inSecond = load.CrossRegionPeaks(records, lowered.Add(c.size.Deadline), c.size.Read, north, central, c.serviceAndRegion)
	t.Logf("cap 4 at once, 30 a second, until %v after: %d, %d", end.Sub(lowered), atOnce, inSecond)
	assert.Assert(t, atOnce <= 4 && inSecond <= 30)
	assert.Assert(t, inSecond >= 5, "the shift carried too little to show anything")
}

// TestNoBackendAboveSlots: no backend server, and so no region, gets more than it
// can serve, at 1.3 times the capacity of a region, with load reports that lie
// and a region that freezes, dies and comes back.
func TestNoBackendAboveSlots(t *testing.T) {
	const work = 40 * time.Millisecond
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: work})
	for i := range c.backends {
		if i%2 == 0 {
			c.backendFault(i, backend.Fault{LieIdle: true, SlowMs: 40})
		}
	}
	o := load.Options{Clients: c.callers(), Rate: 1300, Duration: 14 * time.Second, Mix: c.readMix()}
	o.Mix[0].Timeout = 3 * time.Second
	var thawed time.Time
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.regions[2].Freeze()
		time.Sleep(5 * time.Second)
		thawed = time.Now()
		c.regions[2].Thaw()
		time.Sleep(2 * time.Second)
		c.regions[2].Kill()
		time.Sleep(time.Second)
		c.runBackends(2, work)
	})
	assert.Equal(t, rep.Faults(), 0)
	for _, r := range c.records() {
		if r.AtOnce > c.size.Slots {
			t.Logf("%d at once at %s, %v after the region was thawed", r.AtOnce, r.Backend, r.Start.Sub(thawed))
		}
	}
	assert.Assert(t, c.peakConcurrency() == c.size.Slots, "most at once %d of %d", c.peakConcurrency(), c.size.Slots)
	assert.Assert(t, rep.Lines[0].Answered > rep.Lines[0].Sent/3)
}

// TestAnswersAndRefusalsAreTrue: whoever is answered gets the whole answer to
// the own request, and a request said not to have run has not, while answers
// are late, cut, swapped or dropped, requests are shed, connections cut
// anywhere, entries killed and frozen, and backend servers killed.
func TestResponsesAndRejectionsAreCorrect(t *testing.T) {
	w := &faultyProxy{t: t}
	c := newCluster(t, clusterOptions{size: fleet.Kitakaze(), entries: 12, work: 10 * time.Millisecond, proxy: w.listenFor})
	for i := range c.backends {
		faults := []backend.Fault{{LateMs: 30}, {Cut: 0.05}, {WrongID: 0.05}, {Drop: 0.05}, {Shed: 0.2}, {SlowMs: 20}, {}}
		c.backendFault(i, faults[i%len(faults)])
	}
	w.cutOneIn.Store(150)
	mix := c.mix()
	mix[0].ResponseSize = 150 << 10 // larger than what an entry holds whole
	o := load.Options{Clients: c.callers(), Rate: 300, Duration: 12 * time.Second, Mix: mix}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.entries[0].Freeze()
		c.entries[1].Kill()
		time.Sleep(3 * time.Second)
		c.entries[0].Thaw()
		c.regions[1].Kill()
		c.entries[2].Freeze()
		c.platformFault(standplatform.Fault{Down: true})
		time.Sleep(time.Second)
		c.runBackends(1, 10*time.Millisecond)
		c.entries[2].Kill() // frozen and then killed
		time.Sleep(2 * time.Second)
		c.platformFault(standplatform.Fault{LoseAnswers: 0.5, SlowMs: 50})
	})
	assert.Equal(t, rep.Faults(), 0)
	assert.Assert(t, w.cuts.Load() > 100, "too few connections were cut")
	refused := 0
	for _, l := range rep.Lines {
		assert.Assert(t, l.Answered > l.Sent/2, l.Name)
		refused += l.Sent - l.Answered
	}
	assert.Assert(t, refused > 0, "nothing was refused, so nothing is shown")
}

// TestRunsAtMostOnce: what may not be repeated runs at most once, although
// callers ask again by way of other entries, while entries are killed with
// answers outstanding and stopped with tickets outstanding, and the platform
// is down.
func TestRunsAtMostOnce(t *testing.T) {
	w := &faultyProxy{t: t}
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 30 * time.Millisecond, proxy: w.listenFor, grace: 500 * time.Millisecond})
	w.cutOneIn.Store(300)
	commits := c.mix()[1:2]
	o := load.Options{Clients: c.callers(), Rate: 300, Duration: 12 * time.Second, Mix: commits}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(time.Second)
		c.entries[0].Kill()
		time.Sleep(time.Second)
		c.entries[1].Stop(t)
		c.platformFault(standplatform.Fault{Down: true})
		c.entries[2].Kill()
		c.entries[3].Freeze()
		time.Sleep(2 * time.Second)
		c.entries[3].Thaw()
		c.entries[4].Stop(t)
		c.platformFault(standplatform.Fault{})
	})
	assert.Equal(t, rep.Faults(), 0)
	l := rep.Lines[0]
	t.Logf("outcome unknown: %d of %d; two kills, %d cut connections", l.Unknown, l.Sent, w.cuts.Load())
	assert.Assert(t, l.Unknown < l.Sent/20)
}

// TestTicketRunsOnce sends one ticket many times at once by way of all entries.
func TestTicketRunsOnce(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 3, work: 100 * time.Millisecond})
	answers := c.sendSameTicket(t, 24)
	for _, a := range answers {
		assert.Equal(t, a, answers[0]) // each gets the answer of the one run
	}
	n := 0
	for _, r := range c.records() {
		if r.Tag == "same" {
			n++
		}
	}
	assert.Equal(t, n, 1)
}

// TestLeavingBackendGetsNoWork: a backend server whose own word is that it leaves
// gets no new work one second after, three seconds with the platform down,
// also from an entry that was frozen meanwhile.
func TestLeavingBackendGetsNoNewRequests(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 5 * time.Millisecond})
	left := make(map[string]time.Time)
	leave := func(i int, within time.Duration) {
		c.backendFault(i, backend.Fault{Leaving: true})
		left[c.backends[i].name] = time.Now().Add(within)
	}
	o := load.Options{Clients: c.callers(), Rate: 600, Duration: 12 * time.Second, Mix: c.readMix()}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(time.Second)
		leave(0, time.Second)
		leave(3, time.Second)
		c.platformFault(standplatform.Fault{Down: true})
		c.entries[0].Freeze()
		c.entries[8].Freeze()
		time.Sleep(time.Second)
		leave(6, 3*time.Second)
		leave(8, 3*time.Second)
		time.Sleep(4 * time.Second)
		c.entries[0].Thaw()
		c.entries[8].Thaw()
	})
	assert.Equal(t, rep.Faults(), 0)
	during := 0
	for _, r := range c.records() {
		limit, ok := left[r.Backend]
		if !ok || !r.Leaving {
			continue
		}
		during++
		assert.Assert(t, r.Start.Before(limit), "%s began work %v after the bound", r.Backend, r.Start.Sub(limit))
	}
	t.Logf("%d requests began after the word and within the bound", during)
}

// TestPlannedStopsCutNothing: entries and backend servers that are stopped as
// planned, one after the other, cut off nothing, although uploads take longer
// than the entry's grace, and callers keep their look-ups for all of their
// life and try nothing again.
func TestPlannedStopsAbortNoRequests(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 20 * time.Millisecond})
	for i := range c.backends {
		if c.size.ServiceOf(i) == c.size.Upload {
			c.backendFault(i, backend.Fault{SlowMs: 4000})
		}
	}
	mix := c.mix()
	mix[0].Weight, mix[1].Weight, mix[2].Weight = 80, 19, 1
	o := load.Options{Clients: c.callers(), Rate: 200, Duration: 24 * time.Second, Mix: mix}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(time.Second)
		c.apply(version.Resource{
			Key:   version.Key{Kind: version.KindDrain, Name: "south"},
			Drain: &version.Drain{Region: c.size.Regions[2]},
		})
		time.Sleep(5 * time.Second) // the uploads there take as long
		c.regions[2].Kill()         // a drained region has no work left
		replaced := c.startEntry("entry-new", 0)
		c.waitEntryReady(replaced)
		stop := make(chan struct{})
		const callers = 12 // some of them use the instances that stop
		refused := make(chan int)
		for i := range callers {
			go func() { refused <- c.sendWithoutRetries(t, fmt.Sprintf("10.%d.0.%d", i%2, i), stop) }()
		}
		uploads := make(chan string)
		for _, i := range []int{0, 7} {
			go func() { uploads <- c.uploadNearEndOfGrace(t, c.entries[i]) }()
			t.Logf("entry stopped after %v", c.entries[i].Stop(t))
			c.removeInstance(c.entries[i].name)
			assert.Check(t, <-uploads == "whole")
		}
		close(stop)
		for range callers {
			assert.Check(t, <-refused == 0)
		}
	})
	assert.Equal(t, rep.Faults(), 0)
	for _, l := range rep.Lines {
		assert.Equal(t, l.Answered, l.Sent, "%s: %v", l.Name, l.Refused)
	}
	// A caller may have sent a request again that was cut off.
	for _, r := range c.records() {
		assert.Assert(t, r.Done, "cut off: %+v", r)
	}
}

// uploadLate sends an upload right to an entry shortly before the end of its
// grace, so that it ends long after, and tells how it ended.
func (c *cluster) uploadNearEndOfGrace(t *testing.T, e *instance) string {
	time.Sleep(entry.DefaultGrace - 300*time.Millisecond)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/videos?size=5", strings.NewReader("video"))
	assert.Check(t, err)
	req.Header.Set(request.HeaderService, c.size.Upload)
	req.Header.Set(backend.HeaderTag, "whole")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.Check(t, err)
	return string(b)
}

// plainCaller sends reads to the first instance of its look-up, which it keeps
// for all of its life, without trying again. It returns how many got no answer.
func (c *cluster) sendWithoutRetries(t *testing.T, client string, stop chan struct{}) (refused int) {
	var known front.Lookup
	var until time.Time
	get := func(url string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set(request.HeaderService, c.size.Read)
		return http.DefaultClient.Do(req)
	}
	for {
		select {
		case <-stop:
			return refused
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(until) {
			asked := time.Now()
			res, err := get("http://" + c.entries[5].front + front.ReservedPrefix + "lookup?client=" + client)
			if !assert.Check(t, err) {
				return -1
			}
			assert.Check(t, json.NewDecoder(res.Body).Decode(&known))
			_ = res.Body.Close()
			until = asked.Add(time.Duration(known.LifeMs) * time.Millisecond)
		}
		res, err := get("http://" + known.Entries[0].Address + "/lots")
		if err != nil {
			refused++
			continue
		}
		if _, ok := request.FromHeader(res.Header); ok {
			refused++
		}
		_ = res.Body.Close()
	}
}

// sendSameTicket sends one request n times with one ticket and returns the
// bodies of the answers.
func (c *cluster) sendSameTicket(t *testing.T, n int) []string {
	t.Helper()
	ticket := c.fetchTickets(t, c.entries[0], 1)[0]
	answers := make(chan string, n)
	for i := range n {
		e := c.entries[i%len(c.entries)]
		go func() { answers <- c.postTicket(t, e, ticket) }()
	}
	var out []string
	for range n {
		out = append(out, <-answers)
	}
	return out
}

// TestTicketOfDeadEntryNeverRuns: once the entry that issued a ticket is dead,
// the answer is final at once, and says that the outcome is not known.
func TestTicketOfKilledEntryNeverRuns(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 3, work: time.Millisecond})
	ticket := c.fetchTickets(t, c.entries[0], 1)[0]
	c.entries[0].Kill()
	start := time.Now()
	assert.Equal(t, c.postTicket(t, c.entries[1], ticket), request.TicketGone.String()+" unknown")
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Equal(t, c.postTicket(t, c.entries[1], "forged"), request.TicketInvalid.String()+" no")
	_, err := c.op.Status(context.Background())
	assert.NilError(t, err)
}
