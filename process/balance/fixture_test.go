// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/request"
	"shalewick/version"
)

// fixture is a table with a configuration and a clock that the test advances.
type fixture struct {
	*Table
	now          time.Duration
	index, count int // returned by MemberIndex
	config       *version.Config
	ports        uint16 // allocated to backend servers
}

func newFixture(instances int) *fixture {
	p := &fixture{now: time.Hour, count: instances, config: &version.Config{Seq: 1, Resources: map[version.Key]version.Resource{}}}
	p.Table = &Table{
		Now: func() time.Duration { return p.now }, MemberIndex: func() (int, int) { return p.index, p.count }, Region: "r0",
		NewPool: func(a string) *conn.Pool { return &conn.Pool{Address: a} },
	}
	for i := range 3 {
		region := fmt.Sprintf("r%d", i)
		p.put(version.Resource{Key: version.Key{Kind: version.KindRegion, Name: region}, Region: &version.Region{}})
		p.put(version.Resource{Key: version.Key{Kind: version.KindHall, Name: "h" + region}, Hall: &version.Hall{Region: region}})
	}
	p.put(version.Resource{Key: version.Key{Kind: version.KindService, Name: "s"}, Service: &version.Service{
		Warming: &version.Warming{Time: version.Duration(3 * time.Second), Rate: 9},
	}})
	p.put(version.Resource{Key: version.Key{Kind: version.KindService, Name: "t"}, Service: &version.Service{}})
	p.route(version.WeightedService{Service: "s", Weight: 1})
	return p
}

func (p *fixture) put(r version.Resource) { p.config.Resources[r.Key] = r }

func (p *fixture) route(split ...version.WeightedService) {
	p.put(version.Resource{Key: version.Key{Kind: version.KindRoute, Name: "r"}, Route: &version.Route{
		Host: "a", Prefix: "/", Class: request.ClassRead, Repeatable: true, Sticky: true, Split: split,
		Timeout: version.Duration(time.Second), Objective: version.Duration(400 * time.Millisecond), Attempts: 2,
	}})
}

func (p *fixture) backend(name string, region int, change func(*version.Backend)) {
	p.ports++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, 1}), p.ports)
	u := &version.Backend{Service: "s", Hall: fmt.Sprintf("hr%d", region), Address: address, Slots: 6}
	if change != nil {
		change(u)
	}
	p.put(version.Resource{Key: version.Key{Kind: version.KindBackend, Name: name}, Backend: u})
}

func (p *fixture) install() { p.Install(version.CompileRouting(p.config, nil)) }

func (p *fixture) query(object uint64) *Query {
	return &Query{Route: p.Routing().Route("a", "/"), Object: object, Left: time.Second}
}

func (p *fixture) pick(t *testing.T, object uint64) *Pick {
	t.Helper()
	k, refusal := p.Pick(p.query(object))
	assert.Assert(t, k != nil, "refused: %v", refusal)
	return k
}

// pickOther chooses a backend server other than one that was tried already.
func (p *fixture) pickOther(t *testing.T, object uint64, tried string) *Pick {
	t.Helper()
	q := p.query(object)
	q.Tried = []string{tried}
	k, refusal := p.Pick(q)
	assert.Assert(t, k != nil, "refused: %v", refusal)
	return k
}

// respond records that some backend server responds, so that the links of this instance work.
func (p *fixture) respond() {
	p.now += time.Millisecond
	p.recordContact(p.now)
}

// stateOf returns the state of a backend server.
func (p *fixture) stateOf(name string) *backend { return p.state(p.routing.FindBackend(name)) }

// incarnationHashOf returns the hash that identifies the present incarnation of a backend server.
func (p *fixture) incarnationHashOf(name string) uint64 {
	for i := range p.routing.Backends {
		if p.routing.Backends[i].Name == name {
			return p.routing.Backends[i].IncarnationHash
		}
	}
	return 0
}
