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
	"shalewick/process/front"
	"shalewick/process/proxy"
	"shalewick/request"
	"shalewick/retry"
	"shalewick/version"
)

// Times and bounds of what route resources direct.
const (
	routeDial    = 400 * time.Millisecond
	routeSilence = 700 * time.Millisecond
	routeIdle    = 8 * time.Second
	retrySpan    = 10 * time.Second
	// retryRatio and retryFixed bound the retries of all instances for one
	// service in retrySpan.
	retryRatio = 0.1
	retryFixed = 20
)

// routes serves the requests that route resources direct, as the process on the
// users' platform does. Slot tokens do not bound them: a backend server refuses what
// is too much for it, and is not asked when it could not answer in time.
type routes struct {
	e     *Entry
	table *balance.Table
	proxy *proxy.Proxy

	mu      sync.Mutex
	config  *version.Config // nil: there are no route resources
	leaving []string        // backend servers that said so, as the table has them
}

func newRoutes(e *Entry) *routes {
	x := &routes{e: e}
	dialer := conn.NewDialer(routeDial, routeSilence)
	x.table = &balance.Table{
		Now: e.now, MemberIndex: x.place, Hall: e.settings.Hall,
		Probe: func(p *conn.Pool) error { return p.Open(context.Background()) },
		NewPool: func(address string) *conn.Pool {
			return &conn.Pool{Address: address, Dialer: dialer, IdleTimeout: routeIdle}
		},
	}
	x.proxy = &proxy.Proxy{
		Names: request.OwnNames, Table: x.table, Metrics: e.metrics, Log: e.log, Now: e.now,
		ConfigFresh: e.steer.Fresh, NewID: rand.Text, OnResponse: x.answered, ConfigAge: x.age,
		RetryBudget: &retry.Window{Span: retrySpan, Ratio: retryRatio, Fixed: retryFixed, Instances: x.instances},
	}
	return x
}

// place returns the place of this instance among those that are alive, by id,
// and their number; zero while the entry does not serve yet.
func (x *routes) place() (place, of int) {
	if !x.e.Ready() {
		return 0, 0
	}
	self := x.e.members.Self().GetId()
	of = 1
	for _, m := range x.e.members.Live(x.e.now()) {
		if m.GetId() == self {
			continue
		}
		of++
		if m.GetId() < self {
			place++
		}
	}
	return place, of
}

func (x *routes) instances() int {
	_, of := x.place()
	return of
}

// age returns how long ago the version in force was confirmed.
func (x *routes) age() time.Duration {
	age, _ := x.e.steer.Confirmed()
	return age
}

// answered notes what a backend server says of itself.
func (x *routes) answered(backend string, h http.Header, took time.Duration) {
	x.e.health.Answered(backend, took, h.Get(request.HeaderState), h.Get(request.HeaderBoot), x.e.now())
}

// install puts a version in force.
func (x *routes) install(c *version.Config) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(c.List(version.KindRoute)) == 0 && x.config == nil {
		return // most deployments have none
	}
	x.config = c
	x.compile(x.leavingNow())
}

// refresh takes up which backend servers have said that they leave, if that changed.
func (x *routes) refresh() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.config == nil {
		return
	}
	if now := x.leavingNow(); !slices.Equal(now, x.leaving) {
		x.compile(now)
	}
}

// leavingNow returns the names of the backend servers that have said that they leave.
func (x *routes) leavingNow() []string {
	var out []string
	for _, f := range x.e.health.Facts() {
		if x.e.health.Leaving(f.Backend) {
			out = append(out, f.Backend)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// compile makes the table decide on the version, without the backend servers that
// leave. The caller holds the lock.
func (x *routes) compile(leaving []string) {
	x.leaving = leaving
	r := version.CompileRouting(x.config, x.table.Routing())
	for i := range r.Backends {
		if slices.Contains(leaving, r.Backends[i].Name) {
			r.Backends[i].Closed = true
		}
	}
	x.table.Install(r)
}

// serveCaller serves a caller's request: by a route resource if one directs it,
// else by the routes of services.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	own := strings.HasPrefix(r.URL.Path, front.ReservedPrefix)
	routing := e.routes.table.Routing()
	if own || routing == nil || routing.Route(r.Host, r.URL.Path) == nil {
		e.front.ServeHTTP(w, r)
		return
	}
	if e.members.Leaving() {
		w.Header().Set(front.HeaderEntry, conn.StateLeaving)
	}
	e.routes.proxy.ServeHTTP(w, r)
}
