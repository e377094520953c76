// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// None is the index that stands for no element.
const None int32 = -1

// PoolKind is what one token of a pool stands for.
type PoolKind uint8

const (
	// PoolSlots has one token for each slot of a backend server.
	PoolSlots PoolKind = iota
	// PoolLink has one token for each concurrent request that a link allows.
	PoolLink
	// PoolShift has one token for each concurrent shifted request that a shift allows.
	PoolShift
	// PoolRate has one token for each shifted request that may start per second.
	PoolRate
)

// Pool is a limit of the configuration, expressed as a number of tokens.
type Pool struct {
	Name     string // stable across versions
	Kind     PoolKind
	Size     int
	Region   int32         // region whose instances use the tokens
	Deadline time.Duration // longest deadline of a request that holds a token
}

// slotPoolName returns the name of the pool of a backend server's slots. It contains the
// deprecated kind: the name is stored in the rows that record which instance holds which
// token, and if instances of an earlier release and of this one named the pool differently,
// each of the two groups would use all slots.
func slotPoolName(backend string) string { return deprecatedKindBackend + "/" + backend }

// Backend returns the name of the backend server that the pool belongs to. It is only
// valid for pools of kind PoolSlots.
func (p *Pool) Backend() string { return strings.TrimPrefix(p.Name, deprecatedKindBackend+"/") }

// BackendView is a backend server with names replaced by indexes.
type BackendView struct {
	Name    string
	Service int32
	Hall    int32
	Region  int32
	Address string
	Pool    int32
	Drained bool // by a drain resource
	// IncarnationHash is as in RoutedBackend.
	IncarnationHash uint64
}

// HallView is a hall with names replaced by indexes.
type HallView struct {
	Name   string
	Region int32
}

// LinkView is a link with names replaced by indexes.
type LinkView struct {
	To      int32
	Pool    int32
	Latency time.Duration
}

// ShiftView is a shift with names replaced by indexes. Pool is None if there is no shift.
type ShiftView struct {
	Name     string
	To       int32
	Share    float64
	Ramp     time.Duration
	Pool     int32
	RatePool int32 // None if the rate is not limited
}

// ServiceView is a service with its backend servers grouped by region.
type ServiceView struct {
	Name     string
	Routes   []ServiceRoute
	Queue    int
	Deadline time.Duration // longest deadline of its routes
	ByRegion [][]int32     // backend servers by region
	Shifts   []ShiftView   // by source region
}

// View is a Config compiled for decisions. It is immutable.
type View struct {
	Seq      int64
	Config   *Config
	Regions  []string
	Halls    []HallView
	Services []ServiceView
	Backends []BackendView
	Links    [][]LinkView // by source region, lowest latency first
	Pools    []Pool
	Blocks   BlockTable // client address to hall

	services map[string]int32
	hosts    map[string]int32
	regions  map[string]int32
	halls    map[string]int32
}

// Service returns the index of the service with the name, or None.
func (v *View) Service(name string) int32 { return indexOf(v.services, name) }

// Host returns the index of the service that is selected by the host, or None.
func (v *View) Host(host string) int32 { return indexOf(v.hosts, host) }

// Region returns the index of the region with the name, or None.
func (v *View) Region(name string) int32 { return indexOf(v.regions, name) }

// Hall returns the index of the hall with the name, or None.
func (v *View) Hall(name string) int32 { return indexOf(v.halls, name) }

// indexOf returns the index of a name, or None.
func indexOf(m map[string]int32, name string) int32 {
	if i, ok := m[name]; ok {
		return i
	}
	return None
}

// Route returns the first route of the service that matches method and path, or nil.
func (s *ServiceView) Route(method, path string) *ServiceRoute {
	for i := range s.Routes {
		r := &s.Routes[i]
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// Compile builds the view of a configuration that passed Check.
func Compile(c *Config) (*View, error) {
	v := &View{
		Seq:      c.Seq,
		Config:   c,
		services: make(map[string]int32),
		hosts:    make(map[string]int32),
		regions:  make(map[string]int32),
		halls:    make(map[string]int32),
	}
	v.addPlaces(c)
	v.addServices(c)
	v.addBackends(c)
	v.addLinks(c)
	v.addShifts(c)
	v.addDrains(c)
	return v, v.addBlocks(c)
}

func (v *View) addPlaces(c *Config) {
	for i, r := range c.List(KindRegion) {
		v.regions[r.Name] = int32(i)
		v.Regions = append(v.Regions, r.Name)
	}
	v.Links = make([][]LinkView, len(v.Regions))
	for i, r := range c.List(KindHall) {
		v.halls[r.Name] = int32(i)
		v.Halls = append(v.Halls, HallView{Name: r.Name, Region: v.Region(r.Hall.Region)})
	}
}

func (v *View) addServices(c *Config) {
	for i, r := range c.List(KindService) {
		s := ServiceView{
			Name:     r.Name,
			Queue:    cmp.Or(r.Service.Queue, DefaultQueue),
			Routes:   slices.Clone(r.Service.Routes),
			ByRegion: make([][]int32, len(v.Regions)),
			Shifts:   make([]ShiftView, len(v.Regions)),
		}
		for j := range s.Routes {
			rt := &s.Routes[j]
			rt.MaxBody = cmp.Or(rt.MaxBody, DefaultMaxBody)
			s.Deadline = max(s.Deadline, time.Duration(rt.Deadline))
		}
		for j := range s.Shifts {
			s.Shifts[j].Pool = None
		}
		v.services[r.Name] = int32(i)
		for _, h := range r.Service.Hosts {
			v.hosts[h] = int32(i)
		}
		v.Services = append(v.Services, s)
	}
}

func (v *View) addPool(p Pool) int32 {
	v.Pools = append(v.Pools, p)
	return int32(len(v.Pools) - 1)
}

func (v *View) addBackends(c *Config) {
	for i, r := range c.List(KindBackend) {
		svc := v.Service(r.Backend.Service)
		hall := v.Hall(r.Backend.Hall)
		region := v.Halls[hall].Region
		s := &v.Services[svc]
		pool := v.addPool(Pool{
			Name: slotPoolName(r.Name), Kind: PoolSlots, Size: r.Backend.Slots,
			Region: region, Deadline: s.Deadline,
		})
		v.Backends = append(v.Backends, BackendView{
			Name: r.Name, Service: svc, Hall: hall, Region: region,
			Address: r.Backend.Address.String(), Pool: pool,
			IncarnationHash: incarnationHash(xxhash.Sum64String(r.Name), r.Backend.Incarnation),
		})
		s.ByRegion[region] = append(s.ByRegion[region], int32(i))
	}
}

func (v *View) addLinks(c *Config) {
	deadline := v.longestDeadline()
	for _, r := range c.List(KindLink) {
		from := v.Region(r.Link.From)
		pool := v.addPool(Pool{Name: r.Key.String(), Kind: PoolLink, Size: r.Link.Cap, Region: from, Deadline: deadline})
		v.Links[from] = append(v.Links[from], LinkView{
			To: v.Region(r.Link.To), Pool: pool, Latency: time.Duration(r.Link.Latency),
		})
	}
	for _, links := range v.Links {
		slices.SortStableFunc(links, func(a, b LinkView) int { return cmp.Compare(a.Latency, b.Latency) })
	}
}

func (v *View) longestDeadline() time.Duration {
	var d time.Duration
	for i := range v.Services {
		d = max(d, v.Services[i].Deadline)
	}
	return d
}

func (v *View) addShifts(c *Config) {
	for _, r := range c.List(KindShift) {
		from := v.Region(r.Shift.From)
		s := &v.Services[v.Service(r.Shift.Service)]
		sv := ShiftView{
			Name: r.Name, To: v.Region(r.Shift.To), Share: r.Shift.Share,
			Ramp: time.Duration(r.Shift.Ramp), RatePool: None,
		}
		p := Pool{Name: r.Key.String(), Kind: PoolShift, Size: r.Shift.Cap, Region: from, Deadline: s.Deadline}
		sv.Pool = v.addPool(p)
		if r.Shift.Rate > 0 {
			p.Name += "/rate"
			p.Kind = PoolRate
			p.Size = r.Shift.Rate
			sv.RatePool = v.addPool(p)
		}
		s.Shifts[from] = sv
	}
}

func (v *View) addDrains(c *Config) {
	for _, r := range c.List(KindDrain) {
		for i := range v.Backends {
			b := &v.Backends[i]
			covered := b.Name == r.Drain.Backend ||
				v.Halls[b.Hall].Name == r.Drain.Hall ||
				v.Regions[b.Region] == r.Drain.Region
			b.Drained = b.Drained || covered
		}
	}
}

func (v *View) addBlocks(c *Config) error {
	var blocks []Block
	for _, r := range c.List(KindHall) {
		for _, p := range r.Hall.Clients {
			blocks = append(blocks, Block{Prefix: p, Site: uint16(v.Hall(r.Name))})
		}
	}
	var err error
	v.Blocks, err = NewBlockTable(blocks)
	return err
}
