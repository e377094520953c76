// SPDX-License-Identifier: MIT

package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/metric"
	"shalewick/request"
	"shalewick/retry"
	"shalewick/standin/server"
	"shalewick/version"
)

// fixture is a proxy with some backend servers, in one process.
type fixture struct {
	t           testing.TB
	proxy       *Proxy
	table       *balance.Table
	proxyServer *httptest.Server
	backends    []*server.Server
	config      *version.Config
}

func newFixture(t testing.TB, backends int) *fixture {
	t.Helper()
	f := &fixture{t: t, config: &version.Config{Seq: 1, Resources: map[version.Key]version.Resource{}}}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Hour }
	oneInstance := func() int { return 1 }
	f.table = &balance.Table{
		Now: now, MemberIndex: func() (int, int) { return 0, 1 }, Region: "north",
		NewPool: func(a string) *conn.Pool {
			return &conn.Pool{Address: a, Dialer: conn.NewDialer(200*time.Millisecond, time.Second)}
		},
	}
	f.proxy = &Proxy{
		Names: request.OwnNames, Table: f.table, Metrics: metric.NewSet(), Log: zerolog.Nop(), Now: now,
		RetryBudget: &retry.Window{Span: 10 * time.Second, Ratio: 0.2, Fixed: 20, Instances: oneInstance},
	}
	f.put(version.Resource{Key: version.Key{Kind: version.KindRegion, Name: "north"}, Region: &version.Region{}})
	f.put(version.Resource{Key: version.Key{Kind: version.KindHall, Name: "n1"}, Hall: &version.Hall{Region: "north"}})
	f.put(version.Resource{Key: version.Key{Kind: version.KindService, Name: "s"}, Service: &version.Service{}})
	f.put(version.Resource{Key: version.Key{Kind: version.KindLimits, Name: "l"}, Limits: &version.Limits{MaxHeader: 4096, MaxBody: 3 << 20}})
	f.route("reads", "/reads/", request.ClassRead, true)
	f.route("bids", "/bids/", request.ClassCommit, false)
	for i := range backends {
		s := &server.Server{Name: fmt.Sprintf("u%d", i), Names: request.OwnNames, Slots: 4, Work: 2 * time.Millisecond}
		assert.NilError(t, s.Start())
		t.Cleanup(s.Close)
		f.backends = append(f.backends, s)
		f.backend(s.Name, s.Address())
	}
	f.install()
	f.proxyServer = httptest.NewServer(f.proxy)
	t.Cleanup(f.proxyServer.Close)
	return f
}

func (f *fixture) put(r version.Resource) { f.config.Resources[r.Key] = r }

func (f *fixture) install() { f.table.Install(version.CompileRouting(f.config, nil)) }

func (f *fixture) backend(name, address string) {
	f.put(version.Resource{Key: version.Key{Kind: version.KindBackend, Name: name}, Backend: &version.Backend{
		Service: "s", Hall: "n1", Address: netip.MustParseAddrPort(address), Slots: 4,
	}})
}

func (f *fixture) route(name, prefix string, class request.Class, repeatable bool) {
	f.put(version.Resource{Key: version.Key{Kind: version.KindRoute, Name: name}, Route: &version.Route{
		Host: "a.example", Prefix: prefix, Class: class, Repeatable: repeatable, Attempts: 2, Sticky: true,
		Timeout: version.Duration(600 * time.Millisecond), Objective: version.Duration(300 * time.Millisecond),
		Split: []version.WeightedService{{Service: "s", Weight: 1}},
	}})
}

// failFirstBackend sets the fault of the backend server that is used first. It has run one request
// by then.
func (f *fixture) failFirstBackend(fault server.Fault) {
	f.t.Helper()
	f.assertServed(f.send("first", "/reads/1", ""), "first")
	for _, s := range f.backends {
		if len(s.Runs()) == 1 {
			s.InjectFaults(fault)
		}
	}
}

// shedAll makes all backend servers refuse requests.
func (f *fixture) shedAll() {
	for _, s := range f.backends {
		s.InjectFaults(server.Shed, server.Shed, server.Shed)
	}
}

func (f *fixture) runs() []server.Run {
	var out []server.Run
	for _, s := range f.backends {
		out = append(out, s.Runs()...)
	}
	return out
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (f *fixture) send(id, path, body string) reply { return f.sendFor("7", id, path, body) }

// sendFor sends a request that concerns an object.
func (f *fixture) sendFor(object, id, path, body string) reply {
	f.t.Helper()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, f.proxyServer.URL+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Host = "a.example"
	req.Header.Set(request.OwnNames.ID, id)
	req.Header.Set(request.OwnNames.Affinity, object)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(b), err: err, took: time.Since(start)}
}

func (f *fixture) assertServed(r reply, id string) {
	f.t.Helper()
	assert.NilError(f.t, r.err)
	assert.Equal(f.t, r.status, http.StatusOK)
	assert.Equal(f.t, r.body, server.ResponseBody(id))
	assert.Equal(f.t, r.header.Get(request.OwnNames.Seal), "seal-"+id)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	f.assertServed(f.send("x1", "/bids/a%2Fb/%7Ec?q=1&r=%20", "two lots"), "x1")
	runs := f.runs()
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Path, "/bids/a%2Fb/%7Ec?q=1&r=%20")
	assert.Equal(t, runs[0].Body, "two lots")
	assert.Equal(t, runs[0].Header.Get(request.OwnNames.Target), "u0")
	left, err := strconv.Atoi(runs[0].Header.Get(request.OwnNames.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 600, "%d", left)
}

// TestBackendFaults checks, for each kind of backend fault, what the caller receives and how often
// the request ran.
func TestBackendFaults(t *testing.T) {
	for _, x := range []struct {
		name        string
		fault       server.Fault
		reads, bids int // expected status; 200 stands for the complete response to this request
		bidRuns     int
	}{
		{"cut", server.Truncated, 200, 502, 1},
		{"lost", server.ResetAfterRun, 200, 502, 1},
		{"unresponsive", server.NoResponse, 504, 504, 1},
		{"no response", server.NotHTTP, 200, 502, 1},
		{"header line without end", server.EndlessHeaderLine, 200, 502, 1},
		{"header lines without end", server.EndlessShortLines, 200, 502, 1},
		{"interim responses without end", server.EndlessInterim, 200, 502, 1},
		{"trailer without end", server.EndlessTrailer, 200, 502, 1},
		{"unframed", server.CloseDelimited, 200, 200, 1},
		{"unframed and reset", server.CloseDelimitedReset, 200, 502, 1},
		{"surplus before", server.ExtraBefore, 200, 200, 1},
		{"surplus after", server.ExtraAfter, 200, 200, 1},
		{"shed", server.Shed, 200, 200, 1},
		{"moved", server.Misdirected, 200, 200, 1},
		{"early", server.RejectEarly, 200, 200, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.failFirstBackend(x.fault)
			read := f.send("r1", "/reads/1", "")
			f.assertResult(read, x.reads, "r1")
			f = newFixture(t, 2)
			f.failFirstBackend(x.fault)
			bid := f.send("b1", "/bids/1", "an offer")
			f.assertResult(bid, x.bids, "b1")
			assert.Equal(t, len(f.runs()), 1+x.bidRuns)
			f.assertServed(f.send("b2", "/bids/1", "next"), "b2")
		})
	}
}

func (f *fixture) assertResult(r reply, status int, id string) {
	f.t.Helper()
	if status == http.StatusOK {
		f.assertServed(r, id)
		return
	}
	assert.NilError(f.t, r.err)
	assert.Equal(f.t, r.status, status)
	assert.Equal(f.t, r.header.Get(request.OwnNames.Seal), "", "responses of the proxy carry no seal")
	assert.Equal(f.t, r.header.Get(request.HeaderRan), string(request.RanUnknown))
	assert.Equal(f.t, r.header.Get("Retry-After"), "")
}

// TestRefusalIsImmediateWithRetryAfter checks that a request for which no backend server is
// available is not queued.
func TestRefusalIsImmediateWithRetryAfter(t *testing.T) {
	f := newFixture(t, 2)
	f.shedAll()
	r := f.send("b1", "/bids/1", "an offer")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanNo))
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after < 1, "%v", after)
	assert.Assert(t, r.took < 200*time.Millisecond, "%s", r.took)
	assert.Equal(t, len(f.runs()), 0)
}

func TestDownBackendIsReplacedByAnother(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 20 {
		if i == 5 {
			f.backends[0].Close()
		}
		id := fmt.Sprintf("x%d", i)
		r := f.send(id, fmt.Sprintf("/reads/%d", i), "")
		f.assertServed(r, id)
	}
}

// TestSingleBackendFailureIsFinalImmediately checks that a request whose only backend server could
// not be reached, or refused it, is answered immediately and takes at most one retry.
func TestSingleBackendFailureIsFinalImmediately(t *testing.T) {
	for name, fail := range map[string]func(f *fixture){
		"down":     func(f *fixture) { f.backends[0].Close() },
		"refusing": func(f *fixture) { f.shedAll() },
	} {
		f := newFixture(t, 1)
		fail(f)
		r := f.send("x", "/reads/1", "")
		assert.Equal(t, r.status, http.StatusServiceUnavailable, name)
		assert.Assert(t, r.took < 250*time.Millisecond, "%s: after %s", name, r.took)
		var metrics strings.Builder
		assert.NilError(t, f.proxy.Metrics.Write(&metrics))
		assert.Assert(t, !strings.Contains(metrics.String(), "retries_total") || strings.Contains(metrics.String(), `retries_total{service="s"} 1`),
			"%s: %s", name, metrics.String())
	}
}

func TestUnknownRouteAndNoVersion(t *testing.T) {
	f := newFixture(t, 1)
	assert.Equal(t, f.send("x", "/none/1", "").status, http.StatusNotFound)
	empty := &Proxy{Names: request.OwnNames, Table: &balance.Table{}, Metrics: metric.NewSet(), Log: zerolog.Nop()}
	rec := httptest.NewRecorder()
	empty.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/reads/1", nil))
	assert.Equal(t, rec.Code, http.StatusServiceUnavailable, "404 is allowed only with a configuration")
}

func TestRouteTimeout(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].Work = 3 * time.Second
	r := f.send("x", "/bids/1", "b")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
	assert.Assert(t, r.took > 500*time.Millisecond && r.took < 800*time.Millisecond, "%s", r.took)
}

// sendAndAbandon sends a request that its caller abandons after the given time, before the
// response.
func (f *fixture) sendAndAbandon(id string, after time.Duration) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.proxyServer.URL+"/reads/1", nil)
	assert.NilError(f.t, err)
	req.Host = "a.example"
	req.Header.Set(request.OwnNames.ID, id)
	_, err = http.DefaultClient.Do(req)
	assert.Assert(f.t, err != nil)
}

// TestCallerDisconnectCancelsRequest checks that a backend server notices within half a second that
// the caller has disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.backends[0].Work = 500 * time.Millisecond
	f.sendAndAbandon("x", 100*time.Millisecond)
	for range 40 {
		if f.backends[0].Disconnects() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the backend server is still working")
}

func TestConnectionsAreReused(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 10 {
		id := fmt.Sprintf("x%d", i)
		f.assertServed(f.send(id, "/bids/1", "offer"), id)
	}
	assert.Assert(t, f.backends[0].Connections() <= 2, "%d", f.backends[0].Connections())
}

func TestLimitsAndLargeBodies(t *testing.T) {
	f := newFixture(t, 1)
	large := strings.Repeat("v", 2<<20)
	f.assertServed(f.send("big", "/bids/1", large), "big")
	assert.Equal(t, f.runs()[0].Body, large)
	assert.Equal(t, f.send("more", "/bids/1", strings.Repeat("v", 3<<20+1)).status, http.StatusRequestEntityTooLarge)
	req, err := http.NewRequest(http.MethodGet, f.proxyServer.URL+"/reads/1", nil)
	assert.NilError(t, err)
	req.Host = "a.example"
	req.Header.Set("X-Long", strings.Repeat("h", 5000))
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

func TestDisabledKeepAlivesCloseConnections(t *testing.T) {
	f := newFixture(t, 1)
	f.proxy.DisableKeepAlives()
	c, err := net.Dial("tcp", f.proxyServer.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "GET /reads/1 HTTP/1.1\r\nHost: a.example\r\n%s: x\r\n\r\n", request.OwnNames.ID)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Assert(t, res.Close)
}

// TestTruncatedRequestsRunNothing sends bodies that end early, in both framings, conflicting
// lengths and encodings as in request smuggling, and malformed headers.
func TestTruncatedRequestsRunNothing(t *testing.T) {
	f := newFixture(t, 1)
	for _, text := range []string{
		"POST /bids/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 50\r\n\r\nhalf",
		"POST /bids/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nhalf",
		"POST /bids/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nContent-Length: 30\r\n\r\nabc",
		"POST /bids/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
		"GET /reads/1 HTTP/1.1\r\nHost: a.example\r\nX: a\r\n b\x00c\r\n\r\n",
	} {
		c, err := net.Dial("tcp", f.proxyServer.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		_, _ = io.ReadAll(c)
		c.Close()
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(f.runs()), 0)
}
