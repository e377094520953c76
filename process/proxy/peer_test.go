// SPDX-License-Identifier: MIT

package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/forward"
	"shalewick/process/logging"
	"shalewick/process/quota"
	"shalewick/request"
	"shalewick/standin/link"
	"shalewick/standin/server"
	"shalewick/version"
)

// forwardFixture is an instance that reaches none of its backend servers, and others that requests
// are forwarded to.
type forwardFixture struct {
	*fixture
	helpers   []*fixture
	addresses []string // of the helpers
	targets   *forward.Targets
}

// newForwardFixture returns an instance with helpers that have two backend servers each.
func newForwardFixture(t *testing.T, helpers int) *forwardFixture {
	f := &forwardFixture{fixture: newFixture(t, 0)}
	for i := range 2 {
		f.fixture.backend(fmt.Sprintf("u%d", i), closedAddress())
	}
	f.install()
	for range helpers {
		h := newFixture(t, 2)
		s := httptest.NewServer(http.HandlerFunc(h.proxy.ServeForwarded))
		t.Cleanup(s.Close)
		f.helpers = append(f.helpers, h)
		f.addresses = append(f.addresses, s.Listener.Addr().String())
	}
	f.targets = &forward.Targets{
		Now: f.proxy.Now, Self: "self", Region: func() string { return "north" }, List: f.list,
		NewPool: func(a string) *conn.Pool {
			return &conn.Pool{Address: a, Dialer: conn.NewDialer(200*time.Millisecond, time.Second), ToInstance: true}
		},
	}
	f.proxy.Forward = f.targets
	return f
}

func (f *forwardFixture) list() []forward.Instance {
	var out []forward.Instance
	for i, a := range f.addresses {
		out = append(out, forward.Instance{Name: fmt.Sprintf("h%d", i), Incarnation: 1, Address: a, Region: "north"})
	}
	return out
}

// closedAddresses is the number of addresses that closedAddress returns in turn.
const closedAddresses = 8

var closedAddressCalls atomic.Uint32

// closedAddress returns an address that refuses connections. Its port is one that nobody gets, unlike one that was free a
// moment ago, which a test that runs at the same time may get.
func closedAddress() string {
	return fmt.Sprintf("127.0.0.1:%d", 1+closedAddressCalls.Add(1)%closedAddresses)
}

// helperRuns returns the requests that ran at the helpers.
func (f *forwardFixture) helperRuns() (out []server.Run) {
	for _, h := range f.helpers {
		out = append(out, h.runs()...)
	}
	return out
}

// TestForwardedRequestIsUnchanged guards against requests and responses that a second instance
// changes, and against headers of callers that pass for those of instances.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	f := newForwardFixture(t, 1)
	f.assertServed(f.send("x1", "/bids/a%2Fb/%7Ec?q=1&r=%20", "two lots"), "x1")
	r := f.sendAs("x2", "/reads/1", http.Header{
		headerForwardedBy: {"me"}, headerForwardedAttempts: {"9"}, headerForwardedEnd: {"no"}, headerForwardedService: {"s"}, "X-Mine": {"kept"},
		request.OwnNames.Target: {"u9"},
	})
	assert.Equal(t, r.status, http.StatusOK)
	for name := range r.header {
		assert.Assert(t, !strings.HasPrefix(name, "Shalewick-Forwarded"), name)
	}
	runs := f.helperRuns()
	assert.Equal(t, len(runs), 2)
	for _, run := range runs {
		for name := range run.Header {
			assert.Assert(t, !strings.HasPrefix(name, "Shalewick-Forwarded"), name)
		}
		assert.Assert(t, strings.HasPrefix(run.Header.Get(request.OwnNames.Target), "u"))
		if run.ID == "x1" {
			assert.Equal(t, run.Path, "/bids/a%2Fb/%7Ec?q=1&r=%20")
			assert.Equal(t, run.Body, "two lots")
			left, err := strconv.Atoi(run.Header.Get(request.OwnNames.Deadline))
			assert.NilError(t, err)
			assert.Assert(t, left > 0 && left <= 600-int(hopMargin.Milliseconds()), "%d", left)
		} else {
			assert.Equal(t, run.Header.Get("X-Mine"), "kept")
		}
	}
}

// TestCallersMarkIsIgnored guards against callers that take part in the retry budget, the quota or
// the attempts of another instance by the headers of a forwarded request, and against backend
// servers that receive them.
func TestCallersMarkIsIgnored(t *testing.T) {
	f := newFixture(t, 1)
	assert.Equal(t, f.sendAs("x", "/reads/1", http.Header{headerForwardedBy: {"me"}, headerForwardedAttempts: {"9"}}).status, http.StatusOK)
	for name := range f.runs()[0].Header {
		assert.Assert(t, !strings.HasPrefix(name, "Shalewick-Forwarded"), name)
	}
}

// TestRequestIsForwardedOnce guards against requests that go round between instances, or multiply,
// while no instance reaches a backend server.
func TestRequestIsForwardedOnce(t *testing.T) {
	f := newForwardFixture(t, 3)
	var hops atomic.Int64
	for i, h := range f.helpers {
		for k := range 2 {
			h.backend(fmt.Sprintf("u%d", k), closedAddress())
		}
		h.install()
		h.proxy.Forward = f.targets
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hops.Add(1)
			h.proxy.ServeForwarded(w, r)
		}))
		t.Cleanup(s.Close)
		f.addresses[i] = s.Listener.Addr().String()
	}
	const sent = 30
	for i := range sent {
		r := f.send(fmt.Sprintf("x%d", i), "/bids/1", "an offer")
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanNo))
		assert.Assert(t, r.header.Get("Retry-After") != "")
		assert.Assert(t, r.took < 250*time.Millisecond, "%s", r.took)
	}
	assert.Assert(t, hops.Load() <= 2*int64(len(f.helpers)), "%d hops for %d requests", hops.Load(), sent)
}

// TestHelperThatDeclinesIsReplaced checks that a request is forwarded to another instance if the
// first one can't serve it.
func TestHelperThatDeclinesIsReplaced(t *testing.T) {
	for name, fail := range map[string]func(f *forwardFixture){
		"leaving":       func(f *forwardFixture) { f.helpers[0].proxy.DisableKeepAlives() },
		"unconfirmed":   func(f *forwardFixture) { f.helpers[0].proxy.ConfigFresh = func() bool { return false } },
		"old release":   func(f *forwardFixture) { f.addresses[0] = notFoundServer(t) },
		"down":          func(f *forwardFixture) { f.addresses[0] = closedAddress() },
		"without route": func(f *forwardFixture) { f.helpers[0].config.Resources = nil; f.helpers[0].install() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwardFixture(t, 2)
			fail(f)
			for i := range 20 {
				id := fmt.Sprintf("x%d", i)
				f.assertServed(f.send(id, "/bids/1", "an offer"), id)
			}
			assert.Equal(t, len(f.helpers[1].runs()), 20)
		})
	}
}

// notFoundServer starts a server that knows no path, and returns its address.
func notFoundServer(t *testing.T) string {
	s := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestBrokenHop guards against requests that run twice, or are reported as not run, after the
// connection to another instance broke: those that may be repeated get another attempt elsewhere,
// the others an unknown outcome.
func TestBrokenHop(t *testing.T) {
	for _, x := range []struct {
		path, body string
		status     int
	}{{"/reads/1", "", http.StatusOK}, {"/bids/1", "an offer", http.StatusBadGateway}} {
		f := newForwardFixture(t, 2)
		for _, h := range f.helpers {
			for _, b := range h.backends {
				b.SetWork(100 * time.Millisecond)
			}
		}
		var links []*link.Link
		for i, a := range f.addresses {
			l, err := link.Start("127.0.0.1:0", a)
			assert.NilError(t, err)
			t.Cleanup(l.Close)
			links = append(links, l)
			f.addresses[i] = l.Address()
		}
		replies := make(chan reply)
		go func() { replies <- f.send("x", x.path, x.body) }()
		for len(f.helperRuns()) == 0 {
			time.Sleep(time.Millisecond)
		}
		// Only the first hop breaks: the next attempt may run at the other helper at once.
		first := slices.IndexFunc(f.helpers, func(h *fixture) bool { return len(h.runs()) > 0 })
		links[first].ResetAll()
		r := <-replies
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, x.status, x.path)
		if x.status != http.StatusOK {
			assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanUnknown))
			assert.Equal(t, len(f.helperRuns()), 1)
		}
	}
}

// TestUnresponsiveHelper guards against a frozen instance that gets request after request.
func TestUnresponsiveHelper(t *testing.T) {
	f := newForwardFixture(t, 1)
	frozen, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer frozen.Close()
	f.addresses = append(f.addresses, frozen.Addr().String())
	unserved := 0
	for i := range 12 {
		if r := f.send(fmt.Sprintf("x%d", i), "/bids/1", "an offer"); r.status != http.StatusOK {
			assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanUnknown))
			unserved++
		}
	}
	assert.Assert(t, unserved <= 2, "%d requests were not served", unserved)
}

// TestForwardedAttemptsAreLimited guards against more attempts at two instances than the route
// allows.
func TestForwardedAttemptsAreLimited(t *testing.T) {
	f := newForwardFixture(t, 2)
	arrivals := func() (n int) {
		for _, h := range f.helpers {
			for _, b := range h.backends {
				n += len(b.Arrivals())
			}
		}
		return n
	}
	for _, h := range f.helpers {
		h.shedAll()
	}
	r := f.send("x", "/reads/1", "")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, arrivals(), 2) // the route allows two attempts
}

// TestForwardedRequestTakesQuotaOnce guards against a request that takes from its workspace's rate at
// both instances, and against one whose key the second instance does not accept.
func TestForwardedRequestTakesQuotaOnce(t *testing.T) {
	f := newForwardFixture(t, 1)
	for x, burst := range map[*fixture]float64{f.fixture: 5, f.helpers[0]: 1} {
		x.workspace("farm", "good", func(w *version.Workspace) { w.Rate, w.Burst = 1, burst })
		x.proxy.Quota = &quota.Quota{
			Now: x.proxy.Now, Instances: func() int { return 1 }, Send: func(string, []byte) {}, FirstStart: true,
			Owners: func() (out [quota.Shards]quota.Owner) {
				for i := range out {
					out[i].Name = "self"
				}
				return out
			},
		}
		x.proxy.Quota.Install(x.table.Routing().Workspaces)
	}
	served := 0
	for i := range 10 {
		if f.sendAs(fmt.Sprintf("x%d", i), "/reads/1", key("good")).status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served >= 5 && served < 10, "%d served", served)
	assert.Equal(t, f.sendAs("y", "/reads/1", key("bad")).status, http.StatusUnauthorized)
	assert.Equal(t, f.helperRuns()[0].Header.Get(request.OwnNames.Workspace), "farm")
	assert.Equal(t, f.helperRuns()[0].Header.Get(request.OwnNames.Key), "")
}

// TestForwardingKeepsHomeRegions guards against requests whose body reaches an instance outside the
// home regions of their route.
func TestForwardingKeepsHomeRegions(t *testing.T) {
	f := newForwardFixture(t, 1)
	f.put(version.Resource{Key: version.Key{Kind: version.KindRegion, Name: "south"}, Region: &version.Region{}})
	f.config.Resources[version.Key{Kind: version.KindRoute, Name: "reads"}].Route.Homes = []string{"south"}
	f.install()
	assert.Equal(t, f.send("x", "/reads/1", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.helperRuns()), 0)
	f.assertServed(f.send("y", "/bids/1", "an offer"), "y")
}

// TestDisconnectCancelsForwardedRequest guards against backend servers that go on with the request
// of a caller that has left, when another instance is in between.
func TestDisconnectCancelsForwardedRequest(t *testing.T) {
	f := newForwardFixture(t, 1)
	for _, b := range f.helpers[0].backends {
		b.SetWork(5 * time.Second)
	}
	c := f.sendRaw(rawRequestHead("GET", "/reads/1", "x", ""))
	for len(f.helperRuns()) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	left := time.Now()
	for f.helpers[0].proxy.InFlight() > 0 || f.helpers[0].backends[0].Disconnects()+f.helpers[0].backends[1].Disconnects() == 0 {
		assert.Assert(t, time.Since(left) < maxCancelDelay, "the backend server is still at work")
		time.Sleep(time.Millisecond)
	}
}

// TestLargeBodiesAreForwarded checks that bodies and responses that are too large to be buffered pass
// through two instances.
func TestLargeBodiesAreForwarded(t *testing.T) {
	f := newForwardFixture(t, 1)
	for _, b := range f.helpers[0].backends {
		b.PaddingBytes = 2 << 20
	}
	body := strings.Repeat("x", 2<<20)
	r := f.send("x", "/bids/1", body)
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Assert(t, strings.HasPrefix(r.body, server.ResponseBody("x")) && len(r.body) >= 2<<20)
	assert.Equal(t, f.helperRuns()[0].Body, body)
	f.awaitIdle()
}

// TestForwardingIsLoggedAndCounted checks that both instances log a forwarded request with its id,
// and that its metrics at the instance of the caller are those of any other request.
func TestForwardingIsLoggedAndCounted(t *testing.T) {
	f := newForwardFixture(t, 1)
	var own, other syncBuffer
	f.proxy.Log, f.helpers[0].proxy.Log = logging.New(&own), logging.New(&other)
	f.assertServed(f.send("x", "/reads/1", ""), "x")
	forwarded, answered := own.lines("forwarded"), other.lines("answered")
	assert.Equal(t, len(forwarded), 1)
	assert.Equal(t, len(answered), 1)
	for _, want := range []string{" id=x ", " to=h0 ", " reason=suspended ", " status=200 "} {
		assert.Assert(t, strings.Contains(forwarded[0], want), forwarded[0])
	}
	assert.Assert(t, strings.Contains(answered[0], " id=x ") && strings.Contains(answered[0], " from=self "), answered[0])
	var m, o strings.Builder
	assert.NilError(t, f.proxy.Metrics.Write(&m))
	assert.NilError(t, f.helpers[0].proxy.Metrics.Write(&o))
	for _, want := range []string{
		`requests_total{service="s",class="read",result="OK"} 1`, `requests_forwarded_total{service="s",reason="suspended",end="served"} 1`, `forwarded_us_count{service="s"} 1`,
	} {
		assert.Assert(t, strings.Contains(m.String(), want), m.String())
	}
	assert.Assert(t, strings.Contains(o.String(), `requests_for_others_total{service="s",result="OK"} 1`), o.String())
	assert.Assert(t, !strings.Contains(o.String(), "requests_total"), o.String())
}
