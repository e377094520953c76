// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Routing is a Config compiled for choosing backend servers by route resources. It
// is immutable after CompileRouting, apart from its caches.
type Routing struct {
	Seq      int64
	Regions  []string
	Services []RoutedService
	Backends []RoutedBackend
	Limits   Limits
	// Workspaces identifies callers by their keys.
	Workspaces *Workspaces

	// BackendsAreInstances is set if the backend servers are other instances.
	BackendsAreInstances bool

	hosts   map[string]*hostRoutes
	regions map[string]int32
	halls   map[string]int32 // index of the region
	// restricted caches the results of RestrictRoute, by restriction.
	restricted sync.Map
	// weightCache holds the weights that several routes have in common, by weightKey.
	weightCache sync.Map
}

// RouteView is a route with names replaced by indexes.
type RouteView struct {
	Route
	Name string
	// Parts are the services of the split, in the order of Route.Split.
	Parts []RoutePart
	// Home says, by region, whether it may serve. Nil if all may.
	Home []bool
}

// RoutePart is one service of a route's split.
type RoutePart struct {
	Service int32
	Weight  float64
	// Weights are the weights of the service's backend servers, by the region that a
	// request comes from.
	Weights []Weights
	// Software is the version of the software, set only for a Target.
	Software string
	// Target is this part for the requests that go to the target of a rollout of the
	// service. Nil if no rollout is in progress.
	Target *RoutePart
}

// RoutedService is a service with its backend servers.
type RoutedService struct {
	Name string
	// Software is the version that its backend servers run. It is meaningless for a
	// service without an entry in Config.Software. The target of a rollout is a separate
	// RoutedService with the same name, so that shares and the assignment of objects are
	// computed within a version.
	Software string
	// IsTarget is set for the target of a rollout.
	IsTarget bool
	// Target is the index of the service that holds the backend servers of a rollout's
	// target, or None.
	Target   int32
	Backends []int32
	// Groups holds the backend servers by group.
	Groups         *Groups
	Warming        Warming
	MaxConnections int
	// MostUrgent and LeastUrgent are the lowest and the highest priority number that
	// requests for the service can have (see Route.Priority and Workspace.Priority).
	MostUrgent, LeastUrgent int
}

// RoutedBackend is a backend server with names replaced by indexes.
type RoutedBackend struct {
	Name    string
	Address string
	Service int32
	// Software is the version of the software that the backend server runs.
	Software string
	// Incarnation identifies one start of the server. Zero if it reports none.
	Incarnation int64
	Hall        string
	Region      int32
	Slots       int
	// Leaving is set if its resource or row marks it as leaving.
	Leaving bool
	// Closed is set if it gets no requests since it is leaving or drained.
	Closed bool
	// Drained is set if a drain covers the server, its hall or its region.
	Drained bool
	Cold    time.Duration
	// Hash is the hash of the name, used in rendezvous hashing.
	Hash uint64
	// IncarnationHash identifies the present start of the server in measurements and
	// observations. It equals Hash if the server reports no incarnation.
	IncarnationHash uint64
}

// incarnationHash returns RoutedBackend.IncarnationHash for the hash of a name.
func incarnationHash(hash uint64, incarnation int64) uint64 {
	return hash ^ uint64(incarnation)*0x9e3779b97f4a7c15
}

// CompileRouting builds the routing of a configuration whose references were checked.
// Workspaces that did not change are taken over from old, which may be nil.
func CompileRouting(c *Config, old *Routing) *Routing {
	r := &Routing{
		Seq:                  c.Seq,
		BackendsAreInstances: c.BackendsAreInstances,
		hosts:                make(map[string]*hostRoutes),
		regions:              make(map[string]int32),
		halls:                make(map[string]int32),
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

// addTarget adds the service for the backend servers of a rollout's target, unless that
// version is already in force.
func (r *Routing) addTarget(service int32, software string) {
	s := r.Services[service]
	if software == "" || software == s.Software {
		return
	}
	s.Software, s.IsTarget = software, true
	r.Services[service].Target = int32(len(r.Services))
	r.Services = append(r.Services, s)
}

// serviceOf returns the index of the service that a backend server belongs to. It is None
// if the service does not exist or the server runs a version that may get no requests.
func (r *Routing) serviceOf(b *Backend, services map[string]int32, software map[string]Software) int32 {
	i, known := services[b.Service]
	admitted, restricted := software[b.Service]
	switch {
	case !known:
		return None
	case !restricted || b.Software == admitted.InForce:
		return i
	case b.Software == admitted.Target:
		return r.Services[i].Target // None without a target
	}
	return None
}

func (r *Routing) addBackends(c *Config, services map[string]int32) {
	drains := c.List(KindDrain)
	backends := c.Backends()
	if !c.BackendsAreInstances {
		backends = newestByAddress(backends)
	}
	r.Backends = make([]RoutedBackend, 0, len(backends))
	for _, x := range backends {
		service := r.serviceOf(x.Backend, services, c.Software)
		if service == None {
			continue
		}
		b := RoutedBackend{
			Name: x.Name, Address: x.address, Service: service, Software: x.Backend.Software,
			Incarnation: x.Backend.Incarnation,
			Hall:        x.Backend.Hall, Region: r.halls[x.Backend.Hall], Slots: x.Backend.Slots,
			Leaving: x.Backend.Leaving, Closed: x.Backend.Leaving, Cold: time.Duration(x.Backend.Cold), Hash: x.hash,
		}
		b.IncarnationHash = incarnationHash(b.Hash, b.Incarnation)
		for _, d := range drains {
			if d.Drain.Backend == b.Name || d.Drain.Hall == b.Hall || d.Drain.Region == r.Regions[b.Region] {
				b.Drained = true
				b.Closed = true
			}
		}
		s := &r.Services[b.Service]
		s.Backends = append(s.Backends, int32(len(r.Backends)))
		r.Backends = append(r.Backends, b)
	}
	for i := range r.Services {
		r.Services[i].Groups = r.groupBackends(&r.Services[i])
	}
}

// FindBackend returns the index of the backend server with the name, or None.
func (r *Routing) FindBackend(name string) int32 {
	i, found := slices.BinarySearchFunc(r.Backends, name, func(b RoutedBackend, name string) int { return cmp.Compare(b.Name, name) })
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
	v.Home = homeRegions(v.Homes, r.Regions)
	for i := range v.Parts {
		r.setWeights(&v.Parts[i], v.Home)
	}
	h := r.hosts[v.Host]
	if h == nil {
		h = &hostRoutes{byPrefix: make(map[string]*RouteView)}
		r.hosts[v.Host] = h
	}
	h.add(v)
}

// workspaces returns the workspaces of a routing that may be nil.
func (r *Routing) workspaces() *Workspaces {
	if r == nil {
		return nil
	}
	return r.Workspaces
}

// computeUrgency sets MostUrgent and LeastUrgent of each service.
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

// addPriority extends the range of priorities by one that requests can have.
func (s *RoutedService) addPriority(priority int) {
	s.MostUrgent = min(s.MostUrgent, priority)
	s.LeastUrgent = max(s.LeastUrgent, priority)
}

// Urgent reports whether a priority is the most urgent one of the service, and less urgent
// ones exist.
func (s *RoutedService) Urgent(priority int) bool {
	return priority == s.MostUrgent && priority < s.LeastUrgent
}

// eachPart calls f for each part of a route that has a weight above zero.
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

// HasService reports whether a service with the name exists.
func (r *Routing) HasService(name string) bool {
	return slices.ContainsFunc(r.Services, func(s RoutedService) bool { return s.Name == name })
}

// RegionOfHall returns the index of the region that a hall belongs to, or None.
func (r *Routing) RegionOfHall(name string) int32 { return indexOf(r.halls, name) }

// Region returns the index of the region with the name, or None.
func (r *Routing) Region(name string) int32 { return indexOf(r.regions, name) }
