// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"shalewick/process/auth"
	"shalewick/process/health"
	"shalewick/process/metric"
	"shalewick/process/peer"
	"shalewick/process/slots"
	"shalewick/version"
)

// Times and bounds of the exchange.
const (
	exchangeTime    = 500 * time.Millisecond
	exchangeTimeout = time.Second
	// exchangeFan is the number of peers that are asked in one round.
	exchangeFan = 2
	// maxChanges bounds the changes in one message.
	maxChanges = 200
)

// peerConns keeps one connection to each peer, and what it last said it had.
type peerConns struct {
	traffic  *traffic
	identity *auth.Identity // nil: without TLS

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	known map[string]*peer.State // by address, without the things themselves
}

func newPeerConns(m *metric.Set) *peerConns {
	return &peerConns{
		traffic: &traffic{in: m.Counter("peer_bytes_in"), out: m.Counter("peer_bytes_out")},
		conns:   make(map[string]*grpc.ClientConn),
		known:   make(map[string]*peer.State),
	}
}

// learn notes what a peer said it has.
func (p *peerConns) learn(address string, st *peer.State) {
	p.mu.Lock()
	p.known[address] = &peer.State{Seq: st.GetSeq(), Epoch: st.GetEpoch(), LeavingDigest: st.GetLeavingDigest()}
	p.mu.Unlock()
}

// last returns what a peer last said it has; the zero state for an unknown one.
func (p *peerConns) last(address string) *peer.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[address]
}

// client returns the client of a peer's address.
func (p *peerConns) client(address string) (peer.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[address]
	if c == nil {
		var err error
		var creds credentials.TransportCredentials
		if creds, err = p.credentials(); err != nil {
			return nil, err
		}
		c, err = grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds),
			grpc.WithConnectParams(quickReconnect), grpc.WithStatsHandler(p.traffic))
		if err != nil {
			return nil, errors.Annotatef(err, "connect to peer %s", address)
		}
		p.conns[address] = c
	}
	return peer.NewPeerClient(c), nil
}

func (p *peerConns) credentials() (credentials.TransportCredentials, error) {
	if p.identity == nil {
		return insecure.NewCredentials(), nil
	}
	c, err := p.identity.Client()
	return credentials.NewTLS(c), err
}

// retain closes the connections to addresses that are no longer used.
func (p *peerConns) retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		if !addresses[a] {
			_ = c.Close() // nobody waits on it
			delete(p.conns, a)
			delete(p.known, a)
		}
	}
}

// peerAddresses returns the addresses of all other members that are not dead,
// and the configured ones.
func (e *Entry) peerAddresses() []string {
	self := e.members.Self().GetPeer()
	seen := map[string]bool{self: true}
	var out []string
	add := func(a string) {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	for _, m := range e.members.All(e.now()) {
		add(m.GetPeer())
	}
	for _, a := range e.settings.Peers {
		add(a)
	}
	return out
}

// exchangeLoop asks two random peers in each round; all of them while the
// own version is not confirmed.
func (e *Entry) exchangeLoop(ctx context.Context) {
	every(ctx, exchangeTime, func() {
		addresses := e.peerAddresses()
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		if e.steer.ConfigFresh() {
			addresses = addresses[:min(len(addresses), exchangeFan)]
		}
		for _, a := range addresses {
			go e.exchange(ctx, a, e.state())
		}
		keep := make(map[string]bool)
		for _, a := range e.peerAddresses() {
			keep[a] = true
		}
		e.peers.retain(keep)
	})
}

// pushLoop tells all peers at once when there is something new. A peer that
// does not answer delays only itself.
func (e *Entry) pushLoop(ctx context.Context) {
	var p pusher
	for {
		select {
		case <-e.push:
		case <-ctx.Done():
			return
		}
		for _, a := range e.peerAddresses() {
			p.push(a, func() { e.exchange(ctx, a, e.news(a)) })
		}
	}
}

// pusher runs at most one push to each peer at a time. What is new meanwhile
// is pushed afterwards.
type pusher struct {
	mu      sync.Mutex
	running map[string]bool // by address; true: push again afterwards
}

func (p *pusher) push(address string, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running = make(map[string]bool)
	}
	if _, ok := p.running[address]; ok {
		p.running[address] = true
		return
	}
	p.running[address] = false
	go p.run(address, f)
}

func (p *pusher) run(address string, f func()) {
	for {
		f()
		p.mu.Lock()
		if !p.running[address] {
			delete(p.running, address)
			p.mu.Unlock()
			return
		}
		p.running[address] = false
		p.mu.Unlock()
	}
}

// news is the state with the latest of each thing that a peer lacks, as far as
// is known.
func (e *Entry) news(address string) *peer.State {
	st := e.state()
	last := e.peers.last(address)
	st.Changes = e.changesSince(max(last.GetSeq(), st.GetSeq()-1))
	if last.GetEpoch() < st.GetEpoch() {
		st.Split = e.splitJSON()
	}
	if last.GetLeavingDigest() != st.GetLeavingDigest() {
		st.Leaving = e.leavingFacts()
	}
	return st
}

// pushAll tells all peers what is new and waits for their answers.
func (e *Entry) pushAll(ctx context.Context) {
	var all sync.WaitGroup
	for _, a := range e.peerAddresses() {
		all.Go(func() { e.exchange(ctx, a, e.news(a)) })
	}
	all.Wait()
}

// exchange tells a peer a state and takes up what it answers.
func (e *Entry) exchange(ctx context.Context, address string, st *peer.State) {
	client, err := e.peers.client(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := e.now()
	reply, err := client.Exchange(ctx, st)
	if err != nil {
		if ctx.Err() != context.Canceled {
			e.members.RecordUnreachable(address, e.now())
		}
		e.log.Debug().Str("peer", address).Err(err).Msg("exchange-failed")
		return
	}
	e.absorb(reply)
	e.peers.learn(address, reply)
	if !e.atLeast(reply) {
		e.fetchConfig(ctx, client)
	}
	if e.atLeast(reply) {
		e.confirm(asked)
	}
	behind := reply.GetSeq() < e.store.Config().Seq || reply.GetEpoch() < e.slots.Split().Epoch
	if behind && len(st.GetChanges()) == 0 {
		st := e.state()
		st.Changes = e.changesSince(reply.GetSeq())
		st.Split = e.splitJSON()
		if _, err := client.Exchange(ctx, st); err != nil {
			e.log.Debug().Str("peer", address).Err(err).Msg("exchange-failed")
		}
	}
}

// state is what the entry has, without the things themselves.
func (e *Entry) state() *peer.State {
	return &peer.State{
		Self:          e.members.Self(),
		Seq:           e.store.Config().Seq,
		Epoch:         e.slots.Split().Epoch,
		MembersDigest: e.members.Digest(e.now()),
		LeavingDigest: e.health.Digest(),
	}
}

// atLeast reports whether the entry has all that a peer has.
func (e *Entry) atLeast(st *peer.State) bool {
	seq, _, ok := e.store.InForce()
	return ok && seq >= st.GetSeq() && e.slots.Split().Epoch >= st.GetEpoch()
}

// absorb takes up what a peer sent.
func (e *Entry) absorb(st *peer.State) {
	now := e.now()
	e.members.Merge([]*peer.Member{st.GetSelf()}, now)
	e.members.Merge(st.GetMembers(), now)
	e.members.RecordContact(st.GetSelf().GetId(), now)
	for _, b := range st.GetChanges() {
		var ch version.Change
		if err := json.Unmarshal(b, &ch); err != nil {
			e.log.Warn().Err(err).Str("peer", st.GetSelf().GetId()).Msg("bad-change")
			return
		}
		if _, _, ok := e.store.InForce(); !ok {
			break // the first version is taken whole
		}
		if err := e.store.Adopt(ch); err != nil {
			e.log.Error().Err(err).Msg("change-not-adopted")
			return
		}
	}
	if len(st.GetSplit()) > 0 {
		sp, err := slots.ParseSplit(st.GetSplit())
		if err != nil {
			e.log.Warn().Err(err).Str("peer", st.GetSelf().GetId()).Msg("bad-split")
			return
		}
		e.slots.SetSplit(sp, now)
	}
	facts := make([]health.Leaving, 0, len(st.GetLeaving()))
	for _, l := range st.GetLeaving() {
		facts = append(facts, health.Leaving{Backend: l.GetBackend(), Boot: l.GetBoot()})
	}
	e.health.Merge(facts, now)
}

// fetchConfig takes the whole configuration from a peer.
func (e *Entry) fetchConfig(ctx context.Context, client peer.PeerClient) {
	have := e.store.Config().Seq
	if _, _, ok := e.store.InForce(); !ok {
		have = -1
	}
	reply, err := client.Config(ctx, &peer.ConfigRequest{Seq: have})
	if err != nil || len(reply.GetSnapshot()) == 0 {
		return
	}
	var s version.Snapshot
	if err := json.Unmarshal(reply.GetSnapshot(), &s); err != nil {
		e.log.Warn().Err(err).Msg("bad-snapshot")
		return
	}
	if err := e.store.AdoptSnapshot(s.Config()); err != nil {
		e.log.Error().Err(err).Msg("snapshot-not-adopted")
	}
}

func (e *Entry) changesSince(seq int64) [][]byte {
	changes, ok := e.store.ChangesSince(seq)
	if !ok || len(changes) > maxChanges {
		return nil // the peer will ask for the whole
	}
	out := make([][]byte, 0, len(changes))
	for _, ch := range changes {
		b, err := json.Marshal(ch)
		if err != nil {
			return nil
		}
		out = append(out, b)
	}
	return out
}

func (e *Entry) splitJSON() []byte {
	b, err := json.Marshal(e.slots.Split())
	if err != nil {
		return nil
	}
	return b
}

func (e *Entry) leavingFacts() []*peer.Leaving {
	var out []*peer.Leaving
	for _, f := range e.health.LeavingFacts() {
		out = append(out, &peer.Leaving{Backend: f.Backend, Boot: f.Boot})
	}
	return out
}
