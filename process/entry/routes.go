// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/forward"
	"shalewick/process/front"
	"shalewick/process/proxy"
	"shalewick/request"
	"shalewick/retry"
	"shalewick/version"
)

// Timeouts and limits for requests of route resources.
const (
	routeDialTimeout = 400 * time.Millisecond
	routeAckTimeout  = 700 * time.Millisecond
	routeIdleTimeout = 8 * time.Second
	peerAckTimeout   = time.Second
	retryWindow      = 10 * time.Second
	// retryRatio and retryFixed limit the retries of all instances for one
	// service within retryWindow.
	retryRatio = 0.1
	retryFixed = 20
)

// routes serves the requests that match route resources, as the process on the
// users' platform does. Slot tokens don't limit them: a backend server refuses
// requests that exceed its capacity, and gets no requests that it could not
// answer in time.
type routes struct {
	entry *Entry
	table *balance.Table
	proxy *proxy.Proxy

	mu      sync.Mutex
	config  *version.Config // nil: there are no route resources
	leaving []string        // backend servers that the table has closed because they are leaving
}

func newRoutes(e *Entry) *routes {
	rt := &routes{entry: e}
	dialer := conn.NewDialer(routeDialTimeout, routeAckTimeout)
	rt.table = &balance.Table{
		Now: e.now, MemberIndex: rt.memberIndex, Hall: e.settings.Hall, Limits: e.limits,
		Probe: func(p *conn.Pool) error { return p.Open(context.Background()) }, OnLinks: rt.onLinks,
		NewPool: func(address string) *conn.Pool {
			return &conn.Pool{Address: address, Dialer: dialer, IdleTimeout: routeIdleTimeout}
		},
	}
	rt.proxy = &proxy.Proxy{
		PlannedStop: e.stop,
		Names:       request.OwnNames, Table: rt.table, Limits: e.limits, Metrics: e.metrics, Log: e.log, Now: e.now,
		ConfigFresh: e.steer.ConfigFresh, NewID: rand.Text, OnResponse: rt.onResponse, ConfigAge: rt.configAge,
		RetryBudget: &retry.Window{Span: retryWindow, Ratio: retryRatio, Fixed: retryFixed, Instances: rt.instanceCount},
	}
	rt.proxy.Forward = &forward.Targets{
		Now: e.now, Self: e.members.Self().GetId(), Region: rt.regionName, List: rt.forwardInstances,
		NewPool: func(address string) *conn.Pool {
			return &conn.Pool{
				Address: address, Dialer: conn.NewDialer(routeDialTimeout, peerAckTimeout), IdleTimeout: routeIdleTimeout, ToInstance: true,
			}
		},
	}
	rt.proxy.CallersReachPeers = true // requests are forwarded to the address for callers
	return rt
}

// regionName returns the name of the instance's region, or "" while it is unknown.
func (rt *routes) regionName() string {
	if rt.entry.steer.Active() == nil {
		return ""
	}
	return rt.entry.steer.RegionName()
}

// forwardInstances returns the other instances that may serve requests of this one.
func (rt *routes) forwardInstances() []forward.Instance {
	active := rt.entry.steer.Active()
	if active == nil {
		return nil
	}
	self := rt.entry.members.Self().GetId()
	var out []forward.Instance
	for _, m := range rt.entry.members.Live(rt.entry.now()) {
		hall := active.View.Hall(m.GetHall())
		if m.GetId() == self || m.GetLeaving() || hall == version.None {
			continue
		}
		region := active.View.Regions[active.View.Halls[hall].Region]
		out = append(out, forward.Instance{Name: m.GetId(), Address: m.GetFront(), Region: region})
	}
	return out
}

// onLinks logs whether the instance reaches any backend server of route resources, and forwards what is
// in flight if it does not.
func (rt *routes) onLinks(lost bool) {
	r := rt.table.Reachability()
	rt.entry.log.Info().Bool("lost", lost).Int("suspended", r.Suspended).Int("backends", r.Backends).Dur("lastContact", r.LastContact).Msg("links")
	if lost {
		rt.entry.log.Info().Int("requests", rt.proxy.ForwardInFlight()).Msg("links-requests-given-up")
	}
}

// memberIndex returns the index of this instance among the live instances in
// order of their ids, and their number. It returns zeros while the entry is not
// ready.
func (rt *routes) memberIndex() (index, count int) {
	if !rt.entry.Ready() {
		return 0, 0
	}
	self := rt.entry.members.Self().GetId()
	count = 1
	for _, m := range rt.entry.members.Live(rt.entry.now()) {
		if m.GetId() == self {
			continue
		}
		count++
		if m.GetId() < self {
			index++
		}
	}
	return index, count
}

func (rt *routes) instanceCount() int {
	_, count := rt.memberIndex()
	return count
}

// configAge returns the time since the version in force was confirmed.
func (rt *routes) configAge() time.Duration {
	age, _ := rt.entry.steer.ConfigAge()
	return age
}

// onResponse records the state that a backend server reports in a response.
func (rt *routes) onResponse(backend string, h http.Header, took time.Duration) {
	rt.entry.health.RecordResponse(backend, took, h.Get(request.HeaderState), h.Get(request.HeaderBoot), rt.entry.now())
}

// install compiles the routing of a version and puts it in force.
func (rt *routes) install(c *version.Config) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if len(c.List(version.KindRoute)) == 0 && rt.config == nil {
		return // most deployments have no route resources
	}
	rt.config = c
	rt.compile(rt.leavingBackends())
}

// refresh compiles the routing again if the set of leaving backend servers changed.
func (rt *routes) refresh() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.config == nil {
		return
	}
	if now := rt.leavingBackends(); !slices.Equal(now, rt.leaving) {
		rt.compile(now)
	}
}

// leavingBackends returns the sorted names of the backend servers that announced
// that they are leaving.
func (rt *routes) leavingBackends() []string {
	var out []string
	for _, f := range rt.entry.health.LeavingFacts() {
		if rt.entry.health.Leaving(f.Backend) {
			out = append(out, f.Backend)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// compile installs the routing of the version in the table, with the leaving
// backend servers closed. The caller must hold the lock.
func (rt *routes) compile(leaving []string) {
	rt.leaving = leaving
	r := version.CompileRouting(rt.config, rt.table.Routing())
	for i := range r.Backends {
		if slices.Contains(leaving, r.Backends[i].Name) {
			r.Backends[i].Closed = true
		}
	}
	rt.table.Install(r)
}

// serveCaller serves a caller's request by a route resource if one matches, and
// else by the routes of the services.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	if e.members.Leaving() {
		w.Header().Set("Connection", "close")
	}
	reserved := strings.HasPrefix(r.URL.Path, front.ReservedPrefix)
	routing := e.routes.table.Routing()
	if reserved || routing == nil || routing.Route(r.Host, r.URL.Path) == nil {
		e.front.ServeHTTP(w, r)
		return
	}
	if e.members.Leaving() {
		w.Header().Set(front.HeaderEntry, conn.StateLeaving)
	}
	if proxy.IsForwarded(r) {
		e.routes.proxy.ServeForwarded(w, r)
		return
	}
	e.routes.proxy.ServeHTTP(w, r)
}
