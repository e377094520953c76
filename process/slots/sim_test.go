// SPDX-License-Identifier: MIT

package slots

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/version"
)

// The simulation runs a few members on one virtual clock. Messages are lost or
// delayed, members freeze, stop and are declared down, responses to writes of
// splits are lost, and caps change. Whenever a request is sent, it checks that no
// other request uses the same token.

// variant disables one rule of the protocol, to verify that the check detects it.
type variant struct {
	noFence             bool // tokens of members that are down are used at once
	noConfirmation      bool // a member whose view is unconfirmed continues to dispatch
	leaseFromArrival    bool // leases count from the arrival of the response
	reclaimAtLeaseEnd   bool // the lessor reclaims tokens when their lease ends
	noCooldown          bool // rate tokens are free again at once
	cancelTransferEarly bool // a transfer is cancelled although its write may still be carried out
}

const (
	simSlots = 3
	simRate  = 2
)

// sim is the state of one run.
type sim struct {
	rnd            *rand.Rand
	variant        variant
	now            time.Duration
	members        []*simMember
	storedSplit    *Split // in the platform
	storedRevision int64
	lateWrites     []lateWrite
	inFlight       []*simRequest
	starts         map[string][]time.Duration // of rate pools
	messages       []message
	size           int
	err            error
	// deadline is that of requests; downAfter is how long a member must be frozen or
	// stopped before it is declared down. Both are drawn for each run.
	deadline  time.Duration
	downAfter time.Duration
}

type simMember struct {
	id                  string
	table               *Table
	counters            *version.Counters
	view                *version.View
	frozen              bool
	down                bool
	since               time.Duration // when it froze or stopped
	confirmed           time.Duration
	transferring        []TokenID
	conditionalRevision int64 // revision on which the last write was conditional; -1 if none
}

// simRequest is a request at a backend server.
type simRequest struct {
	by    *simMember
	grant Grant
	names []TokenID
	end   time.Duration
}

// lateWrite is a write of a split that the platform carries out later.
type lateWrite struct {
	next *Split
	rev  int64
}

// message is a message in transit.
type message struct {
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
		storedSplit: &Split{}, starts: make(map[string][]time.Duration), size: simSlots,
	}
	s.deadline = []time.Duration{time.Second, 12 * time.Second}[s.rnd.IntN(2)]
	s.downAfter = []time.Duration{0, 3 * time.Second}[s.rnd.IntN(2)]
	for range 3 {
		s.addMember()
	}
	// The first member owns all tokens at first and transfers them to the others.
	first := Candidate{ID: s.members[0].id, Region: "a"}
	s.storedSplit, _ = Plan(s.storedSplit, PlanInput{Live: []Candidate{first}, View: s.members[0].view})
	return s
}

func (s *sim) addMember() {
	id := fmt.Sprintf("m%d", len(s.members))
	m := &simMember{id: id, table: &Table{Self: id, OnFree: func(int32) {}}, conditionalRevision: -1}
	s.members = append(s.members, m)
	s.install(m, 1)
	s.confirm(m)
}

func (s *sim) install(m *simMember, seq int64) {
	m.view = simView(seq, s.size, s.deadline)
	m.counters = version.NewCounters(m.view)
	m.table.Install(m.view, m.counters, s.now)
}

// randomRunning returns a random member, or nil if it is frozen or down.
func (s *sim) randomRunning() *simMember {
	m := s.members[s.rnd.IntN(len(s.members))]
	if m.frozen || m.down {
		return nil
	}
	return m
}

// confirm reads the split from the platform. The response can be delayed.
func (s *sim) confirm(m *simMember) {
	requestedAt, split := s.now, s.storedSplit
	s.send(m, func() {
		m.table.SetSplit(split, s.now)
		m.confirmed = max(m.confirmed, requestedAt)
		if s.variant.noFence {
			s.dropFences(m)
		}
	})
}

func (s *sim) dropFences(m *simMember) {
	for _, p := range m.table.pools {
		for _, tok := range p.tokens {
			if tok.state == stateDelayed && p.spec.Kind != version.PoolRate {
				tok.until = s.now
			}
		}
	}
}

// send delivers a message at once, later, or never.
func (s *sim) send(to *simMember, deliver func()) {
	switch s.rnd.IntN(8) {
	case 0: // lost
	case 1, 2:
		s.messages = append(s.messages, message{to, deliver})
	default:
		s.deliver(message{to, deliver})
	}
}

func (s *sim) deliver(m message) {
	if m.to.down {
		return
	}
	if m.to.frozen {
		s.messages = append(s.messages, m)
		return
	}
	m.deliver()
}

func (s *sim) fresh(m *simMember) bool {
	return s.variant.noConfirmation || s.now-m.confirmed < ConfirmationTTL
}

// step advances the clock and performs one random action.
func (s *sim) step() {
	s.now += time.Duration(s.rnd.IntN(200)) * time.Millisecond
	s.endExpiredRequests()
	s.deliverDelayed()
	m := s.randomRunning()
	switch s.rnd.IntN(16) {
	case 0, 1, 2, 3:
		s.dispatch(m, m != nil && s.rnd.IntN(3) == 0)
	case 4:
		s.finish()
	case 5, 6:
		s.borrow(m)
	case 7:
		s.maintainLeases(m)
	case 8, 9:
		for _, m := range s.members {
			if !m.frozen && !m.down {
				m.table.Tick(s.now)
				s.confirm(m)
			}
		}
	case 10:
		s.freezeOrStop()
	case 11:
		s.thaw()
	case 12, 13:
		s.updateSplit(m)
	case 14, 15:
		s.resize(m)
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

func (s *sim) freezeOrStop() {
	m := s.randomRunning()
	if m == nil {
		return
	}
	m.since = s.now
	if s.rnd.IntN(4) > 0 {
		m.frozen = true
		return
	}
	m.down = true
	if len(s.members) < 6 {
		s.addMember()
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

// simulate runs n seeds and returns the first that violates conservation.
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

// Runs the simulation with all rules, and then with each rule disabled in turn, which the
// check must detect.
func TestTokenConservation(t *testing.T) {
	seed, err := simulate(variant{}, 400)
	assert.NilError(t, err, "seed %d", seed)
	for name, v := range map[string]variant{
		"no fence":                     {noFence: true},
		"no confirmation":              {noConfirmation: true},
		"lease from arrival":           {leaseFromArrival: true},
		"reclaimed at the lease's end": {reclaimAtLeaseEnd: true},
		"no cooldown of rate tokens":   {noCooldown: true},
		"transfer cancelled early":     {cancelTransferEarly: true},
	} {
		seed, err := simulate(v, 12000)
		assert.Assert(t, err != nil, "%s was not detected", name)
		t.Logf("%s: seed %d: %v", name, seed, err)
	}
}
