// SPDX-License-Identifier: MIT

package slots

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/version"
)

// The simulation runs a few members on one virtual clock, with messages that
// are lost or late, members that freeze, die and are declared dead, splits
// whose answers are lost, and caps that change. Whenever a request leaves, it
// checks that no other request uses the same token.

// variant switches one rule off, to see that the check finds it.
type variant struct {
	noFence     bool // tokens of the dead are used at once
	noConfirm   bool // an unconfirmed member goes on dispatching
	lateLease   bool // leases count from the answer's arrival
	noDeadline  bool // a lessor takes back at the end of the lease
	noRest      bool // rate tokens are free again at once
	uncedeEarly bool // ceding is undone although its write may still land
}

const (
	simSlots = 3
	simRate  = 2
)

// sim is one run.
type sim struct {
	rnd     *rand.Rand
	variant variant
	now     time.Duration
	members []*simMember
	row     *Split // in the platform
	rev     int64
	late    []lateWrite
	flying  []*flight
	starts  map[string][]time.Duration // of rate pools
	mail    []mail
	size    int
	err     error
	// deadline is that of requests, lapse how long a member must be frozen
	// or dead before it is declared dead; both are drawn for each run.
	deadline time.Duration
	lapse    time.Duration
}

type simMember struct {
	id        string
	table     *Table
	counters  *version.Counters
	view      *version.View
	frozen    bool
	dead      bool
	since     time.Duration // frozen or dead since
	confirmed time.Duration
	ceding    []TokenID
	boundTo   int64
}

// flight is a request at a backend server.
type flight struct {
	by    *simMember
	grant Grant
	names []TokenID
	end   time.Duration
}

// lateWrite is a split whose write the platform carries out later.
type lateWrite struct {
	next *Split
	rev  int64
}

// mail is a message on its way.
type mail struct {
	to      *simMember
	deliver func()
}

func simView(seq int64, slots int, deadline time.Duration) *version.View {
	region := func(n string) version.Resource {
		return version.Resource{Key: version.Key{Kind: version.KindRegion, Name: n}, Region: &version.Region{}}
	}
	rs := []version.Resource{
		region("a"), region("b"),
		{Key: version.Key{Kind: version.KindHall, Name: "ha"}, Hall: &version.Hall{Region: "a"}},
		{Key: version.Key{Kind: version.KindService, Name: "s"}, Service: &version.Service{Routes: []version.ServiceRoute{
			{Prefix: "/", Class: request.ClassRead, Deadline: version.Duration(deadline)},
		}}},
		{Key: version.Key{Kind: version.KindBackend, Name: "u"}, Backend: &version.Backend{
			Service: "s", Hall: "ha", Address: netip.MustParseAddrPort("127.0.0.1:9000"), Slots: slots,
		}},
		{Key: version.Key{Kind: version.KindLink, Name: "l"}, Link: &version.Link{From: "a", To: "b", Cap: 1}},
		{Key: version.Key{Kind: version.KindShift, Name: "x"}, Shift: &version.Shift{
			Service: "s", From: "a", To: "b", Cap: 1, Rate: simRate,
		}},
	}
	cfg := (&version.Config{Seq: seq - 1}).Apply(version.Change{Seq: seq, Puts: rs})
	v, err := version.Compile(cfg)
	if err != nil {
		panic(err)
	}
	return v
}

func newSim(seed uint64, v variant) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), variant: v, now: time.Hour,
		row: &Split{}, starts: make(map[string][]time.Duration), size: simSlots,
	}
	s.deadline = []time.Duration{time.Second, 12 * time.Second}[s.rnd.IntN(2)]
	s.lapse = []time.Duration{0, 3 * time.Second}[s.rnd.IntN(2)]
	for range 3 {
		s.join()
	}
	// The first member has all tokens at first and cedes to the others.
	first := Candidate{ID: s.members[0].id, Region: "a"}
	s.row, _ = Plan(s.row, PlanInput{Live: []Candidate{first}, View: s.members[0].view})
	return s
}

func (s *sim) join() {
	id := fmt.Sprintf("m%d", len(s.members))
	m := &simMember{id: id, table: &Table{Self: id, OnFree: func(int32) {}}, boundTo: -1}
	s.members = append(s.members, m)
	s.install(m, 1)
	s.confirm(m)
}

func (s *sim) install(m *simMember, seq int64) {
	m.view = simView(seq, s.size, s.deadline)
	m.counters = version.NewCounters(m.view)
	m.table.Install(m.view, m.counters, s.now)
}

// awake returns a random member that runs, or nil.
func (s *sim) awake() *simMember {
	m := s.members[s.rnd.IntN(len(s.members))]
	if m.frozen || m.dead {
		return nil
	}
	return m
}

// confirm reads the split from the platform; the answer can come late.
func (s *sim) confirm(m *simMember) {
	asked, split := s.now, s.row
	s.send(m, func() {
		m.table.SetSplit(split, s.now)
		m.confirmed = max(m.confirmed, asked)
		if s.variant.noFence {
			s.dropFences(m)
		}
	})
}

func (s *sim) dropFences(m *simMember) {
	for _, p := range m.table.pools {
		for _, k := range p.tokens {
			if k.state == stateResting && p.spec.Kind != version.PoolRate {
				k.until = s.now
			}
		}
	}
}

// send delivers a message at once, later, or never.
func (s *sim) send(to *simMember, deliver func()) {
	switch s.rnd.IntN(8) {
	case 0: // lost
	case 1, 2:
		s.mail = append(s.mail, mail{to, deliver})
	default:
		s.deliver(mail{to, deliver})
	}
}

func (s *sim) deliver(m mail) {
	if m.to.dead {
		return
	}
	if m.to.frozen {
		s.mail = append(s.mail, m)
		return
	}
	m.deliver()
}

func (s *sim) fresh(m *simMember) bool {
	return s.variant.noConfirm || s.now-m.confirmed < ConfirmTime
}

// step does one random thing.
func (s *sim) step() {
	s.now += time.Duration(s.rnd.IntN(200)) * time.Millisecond
	s.landFlights()
	s.deliverLate()
	m := s.awake()
	switch s.rnd.IntN(16) {
	case 0, 1, 2, 3:
		s.dispatch(m, m != nil && s.rnd.IntN(3) == 0)
	case 4:
		s.finish()
	case 5, 6:
		s.borrow(m)
	case 7:
		s.upkeep(m)
	case 8, 9:
		for _, m := range s.members {
			if !m.frozen && !m.dead {
				m.table.Tick(s.now)
				s.confirm(m)
			}
		}
	case 10:
		s.freezeOrDie()
	case 11:
		s.thaw()
	case 12, 13:
		s.split(m)
	case 14, 15:
		s.resize(m)
	}
}

// dispatch lets a request leave, if the member may.
func (s *sim) dispatch(m *simMember, rate bool) {
	if m == nil || !s.fresh(m) {
		return
	}
	name := "upstream/u"
	if rate {
		name = "shift/x/rate"
	}
	var c version.Choice
	for i := range m.view.Pools {
		if m.view.Pools[i].Name == name {
			c.Pools[0], c.NumPools = int32(i), 1
		}
	}
	g, ok := m.table.Take(m.view.Seq, &c, s.now)
	if !ok {
		return
	}
	if s.rnd.IntN(6) == 0 { // frozen between the taking and the sending
		s.now += time.Duration(s.rnd.IntN(12)) * time.Second
		s.landFlights()
		s.split(s.awake())
	}
	if !s.fresh(m) || !m.table.Valid(&g, s.now) {
		m.table.Release(&g, s.now)
		return
	}
	f := &flight{by: m, grant: g, names: []TokenID{{name, g.tokens[0].index}}, end: s.now + s.deadline}
	s.check(f)
	s.flying = append(s.flying, f)
}

func (s *sim) check(f *flight) {
	for _, other := range s.flying {
		if other.names[0] == f.names[0] && s.err == nil {
			s.err = fmt.Errorf("at %v: %v used by %s and %s", s.now, f.names[0], other.by.id, f.by.id)
		}
	}
	if f.names[0].Pool != "shift/x/rate" {
		return
	}
	starts := append(s.starts[f.names[0].Pool], s.now)
	s.starts[f.names[0].Pool] = starts
	in := 0
	for _, at := range starts {
		if s.now-at < time.Second {
			in++
		}
	}
	if in > simRate && s.err == nil {
		s.err = fmt.Errorf("at %v: %d starts in a second", s.now, in)
	}
}

// landFlights ends requests at their deadline, as the backend server does.
func (s *sim) landFlights() {
	var keep []*flight
	for _, f := range s.flying {
		if s.now < f.end {
			keep = append(keep, f)
			continue
		}
		s.release(f)
	}
	s.flying = keep
}

func (s *sim) release(f *flight) {
	if f.by.dead {
		return
	}
	g := f.grant
	by := f.by
	free := func() {
		by.table.Release(&g, s.now)
		if s.variant.noRest {
			for _, p := range by.table.pools {
				for _, k := range p.tokens {
					if k.state == stateResting && p.spec.Kind == version.PoolRate {
						k.state = stateFree
					}
				}
			}
		}
	}
	if by.frozen {
		s.mail = append(s.mail, mail{by, free})
		return
	}
	free()
}

func (s *sim) finish() {
	if len(s.flying) == 0 {
		return
	}
	i := s.rnd.IntN(len(s.flying))
	f := s.flying[i]
	s.flying = append(s.flying[:i], s.flying[i+1:]...)
	s.release(f)
}

// borrow asks a home for tokens; request and answer can be late or lost.
func (s *sim) borrow(m *simMember) {
	from := s.awake()
	if m == nil || from == nil || from == m {
		return
	}
	w := Want{Service: "s", Region: "a", Tokens: 2}
	if s.rnd.IntN(3) == 0 {
		w = Want{Pool: "shift/x/rate", Tokens: 1}
	}
	asked := s.now
	s.send(from, func() {
		if !s.fresh(from) {
			return
		}
		granted := from.table.Lend(m.id, w, s.now)
		s.shorten(from)
		s.send(m, func() {
			if s.variant.lateLease {
				asked = s.now
			}
			m.table.Borrow(from.id, granted, asked, s.now)
		})
	})
}

// shorten is the variant that takes back at the end of the lease.
func (s *sim) shorten(m *simMember) {
	if !s.variant.noDeadline {
		return
	}
	for _, p := range m.table.pools {
		for _, k := range p.tokens {
			if k.state == stateLent {
				k.until = min(k.until, s.now+LeaseTime)
			}
		}
	}
}

func (s *sim) upkeep(m *simMember) {
	if m == nil {
		return
	}
	upkeep := m.table.Upkeep(s.now)
	for _, id := range slices.Sorted(maps.Keys(upkeep)) { // the same order in each run
		u := upkeep[id]
		lessor := s.find(id)
		asked := s.now
		s.send(lessor, func() { lessor.table.TakeBack(m.id, u.Return, s.now) })
		s.send(lessor, func() {
			renewed := lessor.table.Renew(m.id, u.Renew, s.now)
			s.shorten(lessor)
			s.send(m, func() { m.table.Renewed(id, renewed, asked, s.now) })
		})
	}
}

func (s *sim) find(id string) *simMember {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (s *sim) freezeOrDie() {
	m := s.awake()
	if m == nil {
		return
	}
	m.since = s.now
	if s.rnd.IntN(4) > 0 {
		m.frozen = true
		return
	}
	m.dead = true
	if len(s.members) < 6 {
		s.join()
	}
}

func (s *sim) thaw() {
	for _, m := range s.members {
		if m.frozen {
			m.frozen = false
			return
		}
	}
}

// split does a member's round of splitting: settle what it was ceding, then
// plan and write, with an answer that can be lost or a write that lands late.
func (s *sim) split(m *simMember) {
	if m == nil || !s.settle(m) {
		return
	}
	in := PlanInput{Dead: make(map[string]bool), View: m.view, Ceder: m.id}
	for _, o := range s.members {
		if (o.dead || o.frozen) && s.now-o.since > s.lapse {
			in.Dead[o.id] = true // its beat has lapsed and the list has dropped it
			continue
		}
		if !o.dead {
			in.Live = append(in.Live, Candidate{ID: o.id, Region: "a"})
		}
	}
	if m.table.Split().Epoch < s.row.Epoch {
		m.table.SetSplit(s.row, s.now)
		return
	}
	m.ceding = m.table.Cede(in.Live, 2, s.now)
	in.Ceded = m.ceding
	next, changed := Plan(s.row, in)
	m.boundTo = -1
	if !changed {
		return
	}
	switch s.rnd.IntN(6) {
	case 0: // the write lands, its answer is lost
		m.boundTo = s.rev
		s.write(next)
	case 1, 2: // the write may land later
		m.boundTo = s.rev
		s.late = append(s.late, lateWrite{next, s.rev})
	default:
		s.write(next)
		m.table.SetSplit(next, s.now)
	}
}

func (s *sim) write(next *Split) {
	s.row = next
	s.rev++
}

func (s *sim) settle(m *simMember) bool {
	if len(m.ceding) == 0 {
		return true
	}
	m.table.SetSplit(s.row, s.now)
	if m.boundTo >= 0 && s.rev == m.boundTo && !s.variant.uncedeEarly {
		same := *s.row
		same.Epoch++
		s.write(&same)
		m.table.SetSplit(&same, s.now)
		return false
	}
	m.table.Uncede(m.ceding, s.now)
	m.ceding = nil
	return s.rnd.IntN(4) == 0 // the next look for surplus comes later
}

// deliverLate lets some of what is on its way arrive.
func (s *sim) deliverLate() {
	if len(s.late) > 0 && s.rnd.IntN(8) == 0 {
		w := s.late[0]
		s.late = s.late[1:]
		if w.rev == s.rev {
			s.write(w.next)
		}
	}
	all := s.mail
	s.mail = nil
	for _, m := range all {
		if s.rnd.IntN(4) == 0 {
			s.deliver(m)
			continue
		}
		s.mail = append(s.mail, m)
	}
}

// resize changes the number of slots; members take it up one by one.
func (s *sim) resize(m *simMember) {
	if m == nil {
		return
	}
	if s.rnd.IntN(8) == 0 {
		s.size = 1 + s.rnd.IntN(simSlots)
	}
	s.install(m, m.view.Seq+1)
}

// simulate returns the first seed that breaks the rule, of n.
func simulate(v variant, n uint64) (uint64, error) {
	const steps = 600
	for seed := range n {
		s := newSim(seed, v)
		for range steps {
			if s.step(); s.err != nil {
				return seed, s.err
			}
		}
	}
	return 0, nil
}

// TestTokensAreConserved runs the simulation as the code is, and then with
// each rule off, which must be found.
func TestTokensAreConserved(t *testing.T) {
	seed, err := simulate(variant{}, 400)
	assert.NilError(t, err, "seed %d", seed)
	for name, v := range map[string]variant{
		"no fence":                      {noFence: true},
		"no confirmation":               {noConfirm: true},
		"lease from arrival":            {lateLease: true},
		"taken back at the lease's end": {noDeadline: true},
		"no rest of rate tokens":        {noRest: true},
		"ceding undone early":           {uncedeEarly: true},
	} {
		seed, err := simulate(v, 12000)
		assert.Assert(t, err != nil, "%s was not found", name)
		t.Logf("%s: seed %d: %v", name, seed, err)
	}
}
