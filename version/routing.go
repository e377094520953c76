// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Routing is a Config compiled for the choice of a backend server by route
// resources. It is never changed after CompileRouting.
type Routing struct {
	Seq      int64
	Regions  []string
	Services []RoutedService
	Backends []RoutedBackend
	Limits   Limits
	// Workspaces finds who a caller is by its key.
	Workspaces *Workspaces

	hosts   map[string]*hostRoutes
	regions map[string]int32
	halls   map[string]int32 // to region
	// narrowed are the views of routes within homes of workspaces, by narrowing.
	restricted sync.Map
	// shared are the weights that routes have in common, by weighing.
	weightCache sync.Map
}

// RouteView is a route with names replaced by indexes.
type RouteView struct {
	Route
	Name string
	// Parts are the services of the split, by rising bound.
	Parts []RoutePart
	// Home tells by region whether it may serve; nil: all may.
	HomeRegions []bool
}

// RoutePart is one service of a route's split.
type RoutePart struct {
	Service int32
	Weight  float64
	// Weights of the service's backend servers, by the region that a request comes
	// from.
	Weights []Weights
	// Software is the version of the software of a Target.
	Software string
	// Target is the same part for the requests that go to the target of a roll-out of
	// the service. Nil: none runs.
	Target *RoutePart
}

// RoutedService is a service with its backend servers.
type RoutedService struct {
	Name string
	// Software is the version that its backend servers run. It says nothing for a
	// service that Config.Software does not name. The target of a roll-out is a
	// service of its own here, with the name of the same service, so that shares and
	// homes of objects are computed within a version.
	Software string
	// OfTarget is set for such a service.
	IsTarget bool
	// Target is the index of the service with the backend servers of a roll-out's
	// target. None: there is none.
	Target   int32
	Backends []int32
	// Groups are the same by group.
	Groups         *Groups
	Warming        Warming
	MaxConnections int
	// MostUrgent and LeastUrgent are the ranks of the requests that may come for
	// the service, see Route.Priority and Workspace.Priority.
	MostUrgent, LeastUrgent int
}

// RoutedBackend is one backend server as the choice sees it.
type RoutedBackend struct {
	Name    string
	Address string
	Service int32
	// Software is the version of the software that it runs.
	Software string
	// Incarnation tells its starts apart. Zero: it does not say.
	Incarnation int64
	Hall        string
	Region      int32
	Slots       int
	// Leaving is set for one whose row says that it leaves.
	Leaving bool
	// Closed is set for a backend server that is leaving or in a drained place.
	Closed bool
	// Drained is set when a drain of its place closes it.
	Drained bool
	Cold    time.Duration
	// Hash identifies the backend server in rankings.
	Hash uint64
	// Life identifies its present start in what is learnt of it. It is Hash where the
	// backend server does not tell its starts apart.
	IncarnationHash uint64
}

// lifeOf returns Life of a backend server.
func incarnationHash(hash uint64, incarnation int64) uint64 {
	return hash ^ uint64(incarnation)*0x9e3779b97f4a7c15
}

// CompileRouting builds the routing of a configuration. References must have
// been checked. What the configuration has in common with that of old, which may
// be nil, is taken from there.
func CompileRouting(c *Config, old *Routing) *Routing {
	r := &Routing{
		Seq:     c.Seq,
		hosts:   make(map[string]*hostRoutes),
		regions: make(map[string]int32),
		halls:   make(map[string]int32),
	}
	for i, x := range c.List(KindRegion) {
		r.Regions = append(r.Regions, x.Name)
		r.regions[x.Name] = int32(i)
	}
	for _, x := range c.List(KindHall) {
		r.halls[x.Name] = r.regions[x.Hall.Region]
	}
	services := r.addServices(c)
	r.addBackends(c, services)
	for _, x := range c.List(KindRoute) {
		r.addRoute(x, services)
	}
	r.Workspaces = compileWorkspaces(c.List(KindWorkspace), r.Regions, old.workspaces())
	r.computeUrgency()
	for _, x := range c.List(KindLimits) {
		r.Limits = *x.Limits
	}
	return r
}

func (r *Routing) addServices(c *Config) map[string]int32 {
	services := make(map[string]int32)
	for i, x := range c.List(KindService) {
		s := RoutedService{Name: x.Name, Software: c.Software[x.Name].InForce, Target: None, MaxConnections: x.Service.MaxConnections}
		if x.Service.Warming != nil {
			s.Warming = *x.Service.Warming
		}
		services[x.Name] = int32(i)
		r.Services = append(r.Services, s)
	}
	for i := range int32(len(services)) {
		r.addTarget(i, c.Software[r.Services[i].Name].Target)
	}
	return services
}

// addTarget adds the service for the backend servers of a roll-out's target. One that
// is in force already is none.
func (r *Routing) addTarget(service int32, software string) {
	s := r.Services[service]
	if software == "" || software == s.Software {
		return
	}
	s.Software, s.IsTarget = software, true
	r.Services[service].Target = int32(len(r.Services))
	r.Services = append(r.Services, s)
}

// serviceOf returns the service that a backend server works for, or None if there is no
// such service, or it runs a version of the software that may get no requests.
func (r *Routing) serviceOf(b *Backend, services map[string]int32, software map[string]Software) int32 {
	i, known := services[b.Service]
	admitted, bound := software[b.Service]
	switch {
	case !known:
		return None
	case !bound || b.Software == admitted.InForce:
		return i
	case b.Software == admitted.Target:
		return r.Services[i].Target // None where no target is asked for
	}
	return None
}

func (r *Routing) addBackends(c *Config, services map[string]int32) {
	drains := c.List(KindDrain)
	all := c.Backends()
	if !c.BackendsAreInstances {
		all = newestByAddress(all)
	}
	r.Backends = make([]RoutedBackend, 0, len(all))
	for _, x := range all {
		service := r.serviceOf(x.Backend, services, c.Software)
		if service == None {
			continue
		}
		u := RoutedBackend{
			Name: x.Name, Address: x.address, Service: service, Software: x.Backend.Software,
			Incarnation: x.Backend.Incarnation,
			Hall:        x.Backend.Hall, Region: r.halls[x.Backend.Hall], Slots: x.Backend.Slots,
			Leaving: x.Backend.Leaving, Closed: x.Backend.Leaving, Cold: time.Duration(x.Backend.Cold), Hash: x.hash,
		}
		u.IncarnationHash = incarnationHash(u.Hash, u.Incarnation)
		for _, d := range drains {
			if d.Drain.Backend == u.Name || d.Drain.Hall == u.Hall || d.Drain.Region == r.Regions[u.Region] {
				u.Drained = true
				u.Closed = true
			}
		}
		s := &r.Services[u.Service]
		s.Backends = append(s.Backends, int32(len(r.Backends)))
		r.Backends = append(r.Backends, u)
	}
	for i := range r.Services {
		r.Services[i].Groups = r.groupBackends(&r.Services[i])
	}
}

// Find returns the index of the backend server of a name, or None.
func (r *Routing) FindBackend(name string) int32 {
	i, found := slices.BinarySearchFunc(r.Backends, name, func(u RoutedBackend, name string) int { return cmp.Compare(u.Name, name) })
	if !found {
		return None
	}
	return int32(i)
}

func (r *Routing) addRoute(x Resource, services map[string]int32) {
	v := &RouteView{Route: *x.Route, Name: x.Name}
	v.Objective = cmp.Or(v.Objective, v.Timeout)
	v.Attempts = cmp.Or(v.Attempts, 1)
	for _, w := range v.Split {
		v.Parts = append(v.Parts, RoutePart{Service: services[w.Service], Weight: w.Weight})
	}
	v.HomeRegions = homeRegions(v.Homes, r.Regions)
	for i := range v.Parts {
		r.setWeights(&v.Parts[i], v.HomeRegions)
	}
	h := r.hosts[v.Host]
	if h == nil {
		h = &hostRoutes{byPrefix: make(map[string]*RouteView)}
		r.hosts[v.Host] = h
	}
	h.add(v)
}

// workspaces returns those of a routing that may be nil.
func (r *Routing) workspaces() *Workspaces {
	if r == nil {
		return nil
	}
	return r.Workspaces
}

// rank sets the ranks of the requests that may come for each service.
func (r *Routing) computeUrgency() {
	for i := range r.Services {
		r.Services[i].MostUrgent, r.Services[i].LeastUrgent = math.MaxInt, 0
	}
	r.eachPart(func(v *RouteView, p *RoutePart) {
		s := &r.Services[p.Service]
		if r.Workspaces.Empty() || v.Anonymous {
			s.addPriority(v.Priority)
		}
		r.Workspaces.Each(func(w *WorkspaceView) { s.addPriority(w.Priority) })
	})
	for i := range r.Services {
		if target := r.Services[i].Target; target != None {
			r.Services[target].MostUrgent, r.Services[target].LeastUrgent = r.Services[i].MostUrgent, r.Services[i].LeastUrgent
		}
	}
}

// ranked notes that requests of a rank may come.
func (s *RoutedService) addPriority(priority int) {
	s.MostUrgent = min(s.MostUrgent, priority)
	s.LeastUrgent = max(s.LeastUrgent, priority)
}

// Urgent reports whether less urgent requests may come for the service than those of
// a rank, and none that are more urgent.
func (s *RoutedService) Urgent(priority int) bool {
	return priority == s.MostUrgent && priority < s.LeastUrgent
}

// eachPart calls f for the parts of all routes that get requests.
func (r *Routing) eachPart(f func(v *RouteView, p *RoutePart)) {
	for _, h := range r.hosts {
		for _, v := range h.routes {
			for i := range v.Parts {
				if v.Parts[i].Weight > 0 {
					f(v, &v.Parts[i])
				}
			}
		}
	}
}

// HasService reports whether there is a service of a name.
func (r *Routing) HasService(name string) bool {
	return slices.ContainsFunc(r.Services, func(s RoutedService) bool { return s.Name == name })
}

// RegionOfHall returns the index of the region of a hall, or None.
func (r *Routing) RegionOfHall(name string) int32 { return indexOf(r.halls, name) }

// Region returns the index of a region, or None.
func (r *Routing) Region(name string) int32 { return indexOf(r.regions, name) }
