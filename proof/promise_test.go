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

// readMix returns a mix that contains only reads.
func (c *cluster) readMix() []load.Kind { return c.mix()[:1] }

// TestShiftStaysUnderCap checks that a shift never sends more requests to the other
// region than its cap allows, neither concurrently nor within any one second, while
// an entry is killed, another is frozen for longer than its lease, the platform is
// down, and the cap is lowered.
func TestShiftStaysUnderCap(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 20 * time.Millisecond})
	north, central := c.size.Regions[0], c.size.Regions[1]
	shift := func(v int64, limit, rate int) int64 {
		return c.apply(version.Resource{
			Key: version.Key{Kind: version.KindShift, Name: "x"}, Version: v,
			Shift: &version.Shift{Service: c.size.ReadService, From: north, To: central, Share: 0.8, Cap: limit, Rate: rate},
		}).Version
	}
	v := shift(0, 8, 60)
	started := time.Now()
	var lowered, end time.Time
	o := load.Options{Clients: c.callers(0, 1), Rate: 500, Duration: 22 * time.Second, Mix: c.readMix()}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.platformFault(standplatform.Fault{Down: true})
		c.entries[6].Kill()
		c.removeInstance(c.entries[6].name)
		c.entries[7].Suspend()
		time.Sleep(5 * time.Second)
		c.entries[7].Resume()
		time.Sleep(time.Second)
		c.platformFault(standplatform.Fault{})
		shift(v, 4, 30)
		lowered = time.Now()
		time.Sleep(3 * time.Second)
		end = time.Now()
	})
	assert.Equal(t, rep.Faults(), 0)
	records := c.records()
	concurrent, perSecond := load.CrossRegionPeaks(records, started, c.size.ReadService, north, central, c.serviceAndRegion)
	t.Logf("cap of 8 concurrent requests and 60 per second: %d, %d", concurrent, perSecond)
	assert.Assert(t, concurrent <= 8 && perSecond <= 60)
	assert.Assert(t, concurrent >= 2 && perSecond >= 10, "the shift sent too few requests for a conclusion")
	// Requests that started under the previous cap end by their deadline.
	concurrent, perSecond = load.CrossRegionPeaks(records, lowered.Add(c.size.Deadline), c.size.ReadService, north, central, c.serviceAndRegion)
	t.Logf("cap of 4 concurrent requests and 30 per second, until %v after it was lowered: %d, %d", end.Sub(lowered), concurrent, perSecond)
	assert.Assert(t, concurrent <= 4 && perSecond <= 30)
	assert.Assert(t, perSecond >= 5, "the shift sent too few requests for a conclusion")
}

// TestNoBackendAboveSlots checks that no backend server, and so no region, gets more
// concurrent requests than it has slots, at 1.3 times the capacity of a region, while
// some load reports are false and a region is frozen, killed and restarted.
func TestNoBackendAboveSlots(t *testing.T) {
	const work = 40 * time.Millisecond
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: work})
	for i := range c.backends {
		if i%2 == 0 {
			c.backendFault(i, backend.Fault{ReportIdle: true, SlowMs: 40})
		}
	}
	o := load.Options{Clients: c.callers(), Rate: 1300, Duration: 14 * time.Second, Mix: c.readMix()}
	o.Mix[0].Timeout = 3 * time.Second
	var thawed time.Time
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.regions[2].Suspend()
		time.Sleep(5 * time.Second)
		thawed = time.Now()
		c.regions[2].Resume()
		time.Sleep(2 * time.Second)
		c.regions[2].Kill()
		time.Sleep(time.Second)
		c.runBackends(2, work)
	})
	assert.Equal(t, rep.Faults(), 0)
	for _, r := range c.records() {
		if r.Concurrent > c.size.Slots {
			t.Logf("%d concurrent requests at %s, %v after the region was thawed", r.Concurrent, r.Backend, r.Start.Sub(thawed))
		}
	}
	assert.Assert(t, c.peakConcurrency() == c.size.Slots, "peak of %d concurrent requests, %d slots", c.peakConcurrency(), c.size.Slots)
	assert.Assert(t, rep.Lines[0].Answered > rep.Lines[0].Sent/3)
}

// TestResponsesAndRejectionsAreCorrect checks that a caller never gets a truncated
// response or the response to another request, and that a request reported as not run
// did not run. Meanwhile responses are delayed, truncated, swapped or dropped, requests
// are shed, connections are cut at any point, entries are killed and frozen, and
// backend servers are killed.
func TestResponsesAndRejectionsAreCorrect(t *testing.T) {
	proxy := &faultyProxy{t: t}
	c := newCluster(t, clusterOptions{size: fleet.Kitakaze(), entries: 12, work: 10 * time.Millisecond, proxy: proxy.listenFor})
	for i := range c.backends {
		faults := []backend.Fault{{ResponseDelayMs: 30}, {Truncate: 0.05}, {WrongID: 0.05}, {Drop: 0.05}, {Shed: 0.2}, {SlowMs: 20}, {}}
		c.backendFault(i, faults[i%len(faults)])
	}
	proxy.cutOneIn.Store(150)
	mix := c.mix()
	mix[0].ResponseSize = 150 << 10 // too large for an entry to buffer it
	o := load.Options{Clients: c.callers(), Rate: 300, Duration: 12 * time.Second, Mix: mix}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(2 * time.Second)
		c.entries[0].Suspend()
		c.entries[1].Kill()
		time.Sleep(3 * time.Second)
		c.entries[0].Resume()
		c.regions[1].Kill()
		c.entries[2].Suspend()
		c.platformFault(standplatform.Fault{Down: true})
		time.Sleep(time.Second)
		c.runBackends(1, 10*time.Millisecond)
		c.entries[2].Kill() // frozen and then killed
		time.Sleep(2 * time.Second)
		c.platformFault(standplatform.Fault{LoseResponses: 0.5, SlowMs: 50})
	})
	assert.Equal(t, rep.Faults(), 0)
	assert.Assert(t, proxy.cuts.Load() > 100, "too few connections were cut")
	rejected := 0
	for _, l := range rep.Lines {
		assert.Assert(t, l.Answered > l.Sent/2, l.Name)
		rejected += l.Sent - l.Answered
	}
	assert.Assert(t, rejected > 0, "no request was rejected, so rejections were not checked")
}

// TestRunsAtMostOnce checks that requests that may not be repeated run at most once,
// although callers retry them through other entries, while entries are killed with
// responses outstanding and stopped with tickets outstanding, and the platform is down.
func TestRunsAtMostOnce(t *testing.T) {
	proxy := &faultyProxy{t: t}
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 30 * time.Millisecond, proxy: proxy.listenFor, grace: 500 * time.Millisecond})
	proxy.cutOneIn.Store(300)
	commits := c.mix()[1:2]
	o := load.Options{Clients: c.callers(), Rate: 300, Duration: 12 * time.Second, Mix: commits}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(time.Second)
		c.entries[0].Kill()
		time.Sleep(time.Second)
		c.entries[1].Stop(t)
		c.platformFault(standplatform.Fault{Down: true})
		c.entries[2].Kill()
		c.entries[3].Suspend()
		time.Sleep(2 * time.Second)
		c.entries[3].Resume()
		c.entries[4].Stop(t)
		c.platformFault(standplatform.Fault{})
	})
	assert.Equal(t, rep.Faults(), 0)
	l := rep.Lines[0]
	t.Logf("outcome unknown: %d of %d; two entries killed, %d connections cut", l.Unknown, l.Sent, proxy.cuts.Load())
	assert.Assert(t, l.Unknown < l.Sent/20)
}

// TestTicketRunsOnce checks that a request runs once if it is sent many times
// concurrently, with one ticket and through all entries.
func TestTicketRunsOnce(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 3, work: 100 * time.Millisecond})
	bodies := c.sendSameTicket(t, 24)
	for _, body := range bodies {
		assert.Equal(t, body, bodies[0]) // all get the response of the single run
	}
	n := 0
	for _, r := range c.records() {
		if r.Tag == "same" {
			n++
		}
	}
	assert.Equal(t, n, 1)
}

// TestLeavingBackendGetsNoNewRequests checks that a backend server that announces that
// it is leaving gets no new requests after one second, or after three seconds while the
// platform is down, not even from an entry that was frozen meanwhile.
func TestLeavingBackendGetsNoNewRequests(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 5 * time.Millisecond})
	noneAfter := make(map[string]time.Time)
	leave := func(i int, within time.Duration) {
		c.backendFault(i, backend.Fault{Leaving: true})
		noneAfter[c.backends[i].name] = time.Now().Add(within)
	}
	o := load.Options{Clients: c.callers(), Rate: 600, Duration: 12 * time.Second, Mix: c.readMix()}
	rep, _ := c.runUnderLoad(o, func() {
		time.Sleep(time.Second)
		leave(0, time.Second)
		leave(3, time.Second)
		c.platformFault(standplatform.Fault{Down: true})
		c.entries[0].Suspend()
		c.entries[8].Suspend()
		time.Sleep(time.Second)
		leave(6, 3*time.Second)
		leave(8, 3*time.Second)
		time.Sleep(4 * time.Second)
		c.entries[0].Resume()
		c.entries[8].Resume()
	})
	assert.Equal(t, rep.Faults(), 0)
	whileLeaving := 0
	for _, r := range c.records() {
		limit, ok := noneAfter[r.Backend]
		if !ok || !r.Leaving {
			continue
		}
		whileLeaving++
		assert.Assert(t, r.Start.Before(limit), "%s started a request %v after the limit", r.Backend, r.Start.Sub(limit))
	}
	t.Logf("%d requests started after the announcement and within the limit", whileLeaving)
}

// TestPlannedStopsAbortNoRequests checks that no request is aborted when entries and
// backend servers are stopped as planned, one after the other, although uploads take
// longer than the grace period of the entries, and some callers cache lookups for their
// whole lifetime and don't retry.
func TestPlannedStopsAbortNoRequests(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 12, work: 20 * time.Millisecond})
	for i := range c.backends {
		if c.size.ServiceOf(i) == c.size.UploadService {
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
		time.Sleep(5 * time.Second) // the uploads in the region take as long
		c.regions[2].Kill()         // no request runs in a drained region
		added := c.startEntry("entry-new", 0)
		c.waitEntryReady(added)
		stop := make(chan struct{})
		const callers = 12 // some of them use the entries that are stopped
		failures := make(chan int)
		for i := range callers {
			go func() { failures <- c.sendWithoutRetries(t, fmt.Sprintf("10.%d.0.%d", i%2, i), stop) }()
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
			assert.Check(t, <-failures == 0)
		}
	})
	assert.Equal(t, rep.Faults(), 0)
	for _, l := range rep.Lines {
		assert.Equal(t, l.Answered, l.Sent, "%s: %v", l.Name, l.Refused)
	}
	// The callers retry, so an aborted request may still have been answered.
	for _, r := range c.records() {
		assert.Assert(t, r.Completed, "aborted: %+v", r)
	}
}

// uploadNearEndOfGrace sends an upload directly to an entry shortly before the end of its
// grace period, so that the upload ends long after it. It returns the response body or the error.
func (c *cluster) uploadNearEndOfGrace(t *testing.T, e *instance) string {
	time.Sleep(entry.DefaultGrace - 300*time.Millisecond)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.front+"/videos?size=5", strings.NewReader("video"))
	assert.Check(t, err)
	req.Header.Set(request.HeaderService, c.size.UploadService)
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

// sendWithoutRetries sends reads to the first instance of a lookup, which it caches for
// its whole lifetime, and doesn't retry. It returns how many reads failed or were rejected.
func (c *cluster) sendWithoutRetries(t *testing.T, client string, stop chan struct{}) (failed int) {
	var lookup front.Lookup
	var expires time.Time
	get := func(url string) (*http.Response, error) {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set(request.HeaderService, c.size.ReadService)
		return http.DefaultClient.Do(req)
	}
	for {
		select {
		case <-stop:
			return failed
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(expires) {
			requested := time.Now()
			res, err := get("http://" + c.entries[5].front + front.ReservedPrefix + "lookup?client=" + client)
			if !assert.Check(t, err) {
				return -1
			}
			assert.Check(t, json.NewDecoder(res.Body).Decode(&lookup))
			_ = res.Body.Close()
			expires = requested.Add(time.Duration(lookup.LifeMs) * time.Millisecond)
		}
		res, err := get("http://" + lookup.Entries[0].Address + "/lots")
		if err != nil {
			failed++
			continue
		}
		if _, ok := request.FromHeader(res.Header); ok {
			failed++
		}
		_ = res.Body.Close()
	}
}

// sendSameTicket sends one request n times concurrently, with one ticket and through
// all entries, and returns the bodies of the responses.
func (c *cluster) sendSameTicket(t *testing.T, n int) []string {
	t.Helper()
	ticket := c.fetchTickets(t, c.entries[0], 1)[0]
	bodies := make(chan string, n)
	for i := range n {
		e := c.entries[i%len(c.entries)]
		go func() { bodies <- c.postTicket(t, e, ticket) }()
	}
	var out []string
	for range n {
		out = append(out, <-bodies)
	}
	return out
}

// TestTicketOfKilledEntryNeverRuns checks that a request with a ticket from an entry that
// was killed is rejected at once and for good, with the outcome reported as unknown. A request
// with a forged ticket is rejected as not run.
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
