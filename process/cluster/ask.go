// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"shalewick/process/state"
)

// Paths of the calls between instances.
const (
	PathChanges = "/peer/changes"
	PathMembers = "/peer/members"
)

// question asks what has changed after the given versions, by table.
type question struct {
	After  map[string]int64 `json:"after"`
	WaitMs int64            `json:"waitMs"`
	From   Member           `json:"from"`
}

// Peers asks other instances, and answers them.
type Peers struct {
	Members  *Members
	Follower *state.Follower
	// OnCut, if set, is called when the store has ceased to answer this instance.
	OnCut func()

	client *http.Client
}

// NewPeers returns a client of other instances. Dial opens connections.
func NewPeers(members *Members, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: 30 * time.Second}
	return &Peers{Members: members, client: &http.Client{Transport: transport}}
}

// Relay reports whether this instance asks the store for others.
func (p *Peers) Relay() bool {
	self := p.Members.Self()
	for _, r := range p.Members.Relays() {
		if r.Name == self.Name {
			return true
		}
	}
	return false
}

// StoreCalled notes whether a call of the store was answered.
func (p *Peers) StoreCalled(answered bool) {
	if p.Members.StoreCalled(answered) && p.OnCut != nil {
		p.OnCut()
	}
}

// Changes asks the i-th of the other relays; if there are fewer, any other
// instance takes its place.
func (p *Peers) Changes(ctx context.Context, i int, after map[string]int64, wait time.Duration) (map[string]state.Delta, bool, error) {
	m, ok := p.relay(i)
	if !ok {
		return nil, false, nil
	}
	q := question{After: after, WaitMs: wait.Milliseconds(), From: p.Members.Self()}
	var out map[string]state.Delta
	err := p.call(ctx, m.Peer, PathChanges, q, &out)
	if ctx.Err() == nil || err == nil || errors.Is(err, context.DeadlineExceeded) {
		p.Members.Called(m.Name, err == nil)
	}
	return out, true, err
}

func (p *Peers) relay(i int) (Member, bool) {
	self := p.Members.Self()
	var others []Member
	for _, r := range p.Members.Relays() {
		if r.Name != self.Name {
			others = append(others, r)
		}
	}
	if i < len(others) {
		return others[i], true
	}
	for _, m := range p.Members.Live() {
		if m.Name != self.Name && len(others) == 0 {
			return m, true
		}
	}
	return Member{}, false
}

// Fetch asks the instance at an address which instances it knows.
func (p *Peers) Fetch(ctx context.Context, address string) error {
	var list []Member
	if err := p.call(ctx, address, PathMembers, p.Members.Self(), &list); err != nil {
		return err
	}
	p.Members.Learn(false, list...)
	p.Members.Read()
	return nil
}

// maxReply bounds an answer of another instance in bytes.
const maxReply = 16 << 20

func (p *Peers) call(ctx context.Context, address, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return errors.Trace(err)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("instance at %s answered %d", address, res.StatusCode)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(res.Body, maxReply)).Decode(out))
}

// maxWait bounds how long a question is held.
const maxWait = 5 * time.Second

// Handler answers other instances.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChanges, func(w http.ResponseWriter, r *http.Request) {
		var q question
		if !readQuestion(w, r, &q) {
			return
		}
		p.Members.Learn(true, q.From)
		wait := min(time.Duration(q.WaitMs)*time.Millisecond, maxWait)
		reply(w, p.Follower.Answer(r.Context(), q.After, wait))
	})
	mux.HandleFunc("POST "+PathMembers, func(w http.ResponseWriter, r *http.Request) {
		var from Member
		if !readQuestion(w, r, &from) {
			return
		}
		p.Members.Learn(true, from)
		reply(w, append(p.Members.All(), p.Members.Self()))
	})
	return mux
}

// maxQuestion bounds a question in bytes.
const maxQuestion = 64 << 10

func readQuestion(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxQuestion)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the other instance asks again
}
