// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"shalewick/conn"
	"shalewick/process/auth"
	"shalewick/process/health"
	"shalewick/process/metric"
	"shalewick/process/peer"
	"shalewick/process/slots"
	"shalewick/version"
)

// Intervals and limits of the gossip exchange.
const (
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
	// exchangeFanout is the number of peers contacted per round.
	exchangeFanout = 2
	// maxChangesPerMessage limits the changes in one message. A peer that lacks
	// more fetches the whole configuration.
	maxChangesPerMessage = 200
)

// peerConns holds one connection per peer, and the state that the peer last
// reported.
type peerConns struct {
	traffic  *traffic
	identity *auth.Identity // nil: no TLS

	mu         sync.Mutex
	conns      map[string]*grpc.ClientConn
	lastStates map[string]*peer.State // by address; only sequence, epoch and digest
}

func newPeerConns(m *metric.Set) *peerConns {
	return &peerConns{
		traffic:    &traffic{in: m.Counter("peer_bytes_in"), out: m.Counter("peer_bytes_out")},
		conns:      make(map[string]*grpc.ClientConn),
		lastStates: make(map[string]*peer.State),
	}
}

// recordState stores the state that a peer reported.
func (p *peerConns) recordState(address string, st *peer.State) {
	p.mu.Lock()
	p.lastStates[address] = &peer.State{Seq: st.GetSeq(), Epoch: st.GetEpoch(), LeavingDigest: st.GetLeavingDigest()}
	p.mu.Unlock()
}

// lastState returns the state that a peer last reported, or nil if there is none.
func (p *peerConns) lastState(address string) *peer.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastStates[address]
}

// client returns the client for a peer's address and creates the connection if
// necessary.
func (p *peerConns) client(address string) (peer.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cc := p.conns[address]
	if cc == nil {
		var err error
		var creds credentials.TransportCredentials
		if creds, err = p.credentials(); err != nil {
			return nil, err
		}
		cc, err = grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds),
			grpc.WithConnectParams(reconnectParams), grpc.WithStatsHandler(p.traffic), grpc.WithMaxHeaderListSize(conn.MaxHeadBytes),
			grpc.WithContextDialer(dialPeer))
		if err != nil {
			return nil, errors.Annotatef(err, "connect to peer %s", address)
		}
		p.conns[address] = cc
	}
	return peer.NewPeerClient(cc), nil
}

// dialPeer opens a connection to another instance.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Control: conn.ReuseLocalAddress}).DialContext(ctx, "tcp", address)
}

func (p *peerConns) credentials() (credentials.TransportCredentials, error) {
	if p.identity == nil {
		return insecure.NewCredentials(), nil
	}
	c, err := p.identity.ClientConfig()
	return credentials.NewTLS(c), err
}

// retain closes the connections to all other addresses.
func (p *peerConns) retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		if !addresses[a] {
			_ = c.Close() // the connection is not used any more
			delete(p.conns, a)
			delete(p.lastStates, a)
		}
	}
}

// peerAddresses returns the addresses of all other members that are not down,
// and the configured peers.
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

// exchangeLoop exchanges states with exchangeFanout random peers in each round,
// and with all of them while the own version is not confirmed.
func (e *Entry) exchangeLoop(ctx context.Context) {
	runPeriodically(ctx, exchangeInterval, func() {
		addresses := e.peerAddresses()
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		if e.steer.ConfigFresh() {
			addresses = addresses[:min(len(addresses), exchangeFanout)]
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

// pushLoop sends updates to all peers as soon as there are any. An unresponsive
// peer does not delay the others.
func (e *Entry) pushLoop(ctx context.Context) {
	var p pusher
	for {
		select {
		case <-e.pushNeeded:
		case <-ctx.Done():
			return
		}
		for _, a := range e.peerAddresses() {
			p.push(a, func() { e.exchange(ctx, a, e.update(a)) })
		}
	}
}

// pusher runs at most one push per peer at a time. If another one is requested
// meanwhile, it runs afterwards.
type pusher struct {
	mu        sync.Mutex
	pushAgain map[string]bool // by address, while a push runs; true: run another one afterwards
}

func (p *pusher) push(address string, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pushAgain == nil {
		p.pushAgain = make(map[string]bool)
	}
	if _, ok := p.pushAgain[address]; ok {
		p.pushAgain[address] = true
		return
	}
	p.pushAgain[address] = false
	go p.run(address, f)
}

func (p *pusher) run(address string, f func()) {
	for {
		f()
		p.mu.Lock()
		if !p.pushAgain[address] {
			delete(p.pushAgain, address)
			p.mu.Unlock()
			return
		}
		p.pushAgain[address] = false
		p.mu.Unlock()
	}
}

// update returns the own state with the data that a peer lacks according to the
// state that it last reported.
func (e *Entry) update(address string) *peer.State {
	st := e.state()
	last := e.peers.lastState(address)
	st.Changes = e.changesSince(max(last.GetSeq(), st.GetSeq()-1))
	if last.GetEpoch() < st.GetEpoch() {
		st.Split = e.splitJSON()
	}
	if last.GetLeavingDigest() != st.GetLeavingDigest() {
		st.Leaving = e.leavingBackends()
	}
	return st
}

// pushAll sends updates to all peers and waits for their replies.
func (e *Entry) pushAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range e.peerAddresses() {
		wg.Go(func() { e.exchange(ctx, a, e.update(a)) })
	}
	wg.Wait()
}

// exchange sends a state to a peer and applies the reply. If this member is
// behind, it fetches the peer's configuration; if the peer is behind, it sends
// what the peer lacks.
func (e *Entry) exchange(ctx context.Context, address string, st *peer.State) {
	client, err := e.peers.client(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := e.now()
	reply, err := client.Exchange(ctx, st)
	if err != nil {
		if ctx.Err() != context.Canceled {
			e.members.RecordUnreachable(address, e.now())
		}
		e.log.Debug().Str("peer", address).Err(err).Msg("exchange-failed")
		return
	}
	e.applyState(reply)
	e.peers.recordState(address, reply)
	if !e.includes(reply) {
		e.fetchConfig(ctx, client)
	}
	if e.includes(reply) {
		e.confirm(sentAt)
	}
	peerBehind := reply.GetSeq() < e.store.Config().Seq || reply.GetEpoch() < e.slots.Split().Epoch
	if peerBehind && len(st.GetChanges()) == 0 {
		st := e.state()
		st.Changes = e.changesSince(reply.GetSeq())
		st.Split = e.splitJSON()
		if _, err := client.Exchange(ctx, st); err != nil {
			e.log.Debug().Str("peer", address).Err(err).Msg("exchange-failed")
		}
	}
}

// state returns the sequence numbers and digests of the entry's data, without
// the data.
func (e *Entry) state() *peer.State {
	return &peer.State{
		Self:          e.members.Self(),
		Seq:           e.store.Config().Seq,
		Epoch:         e.slots.Split().Epoch,
		MembersDigest: e.members.Digest(e.now()),
		LeavingDigest: e.health.Digest(),
	}
}

// includes reports whether the entry's version and split are at least as new
// as those of a peer's state.
func (e *Entry) includes(st *peer.State) bool {
	seq, _, ok := e.store.InForce()
	return ok && seq >= st.GetSeq() && e.slots.Split().Epoch >= st.GetEpoch()
}

// applyState merges the data that a peer sent.
func (e *Entry) applyState(st *peer.State) {
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
			break // the first version is fetched as a snapshot
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
	leaving := make([]health.Leaving, 0, len(st.GetLeaving()))
	for _, l := range st.GetLeaving() {
		leaving = append(leaving, health.Leaving{Backend: l.GetBackend(), Boot: l.GetBoot()})
	}
	e.health.Merge(leaving, now)
}

// fetchConfig fetches the whole configuration from a peer if it is newer.
func (e *Entry) fetchConfig(ctx context.Context, client peer.PeerClient) {
	ownSeq := e.store.Config().Seq
	if _, _, ok := e.store.InForce(); !ok {
		ownSeq = -1
	}
	reply, err := client.Config(ctx, &peer.ConfigRequest{Seq: ownSeq})
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

// changesSince returns the encoded changes after seq, or nil if there are too
// many or they are no longer kept.
func (e *Entry) changesSince(seq int64) [][]byte {
	changes, ok := e.store.ChangesSince(seq)
	if !ok || len(changes) > maxChangesPerMessage {
		return nil // the peer will fetch the whole configuration
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

func (e *Entry) leavingBackends() []*peer.Leaving {
	var out []*peer.Leaving
	for _, f := range e.health.LeavingFacts() {
		out = append(out, &peer.Leaving{Backend: f.Backend, Boot: f.Boot})
	}
	return out
}
