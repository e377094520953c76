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
	PathAlive   = "/peer/alive"
)

// question asks what has changed after the given versions, by table.
type changesRequest struct {
	After  map[string]int64 `json:"after"`
	AgesMs map[string]int64 `json:"agesMs,omitempty"`
	// Without are the tables to leave out.
	Excluded []string `json:"without,omitempty"`
	WaitMs   int64    `json:"waitMs"`
	From     Member   `json:"from"`
}

// asked returns the question as the follower takes it.
func (q *changesRequest) query() state.Question {
	out := state.Question{After: q.After, Without: q.Excluded, Ages: make(map[string]time.Duration, len(q.AgesMs))}
	out.Wait = min(time.Duration(q.WaitMs)*time.Millisecond, maxPollWait)
	for name, age := range q.AgesMs {
		out.Ages[name] = time.Duration(age) * time.Millisecond
	}
	return out
}

// Peers asks other instances, and answers them.
type Peers struct {
	Members  *Members
	Follower *state.Follower
	// OnCut, if set, is called when the store has ceased to answer this instance.
	OnStoreUnreachable func()

	client  *http.Client
	encoder responseEncoder
}

// NewPeers returns a client of other instances. Dial opens connections.
func NewPeers(members *Members, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: 30 * time.Second}
	return &Peers{Members: members, client: &http.Client{Transport: transport}}
}

// Relay reports whether this instance asks the store for others.
func (p *Peers) Relay() bool { return p.Members.Relay() }

// Head reports whether others learn the tables from this instance.
func (p *Peers) Head() bool { return p.Members.Head() }

// StoreCalled notes whether a call of the store was answered.
func (p *Peers) StoreCalled(answered bool) {
	if p.Members.RecordStoreCall(answered) && p.OnStoreUnreachable != nil {
		p.OnStoreUnreachable()
	}
}

// Changes asks the i-th of the instances that this one learns from.
func (p *Peers) Changes(ctx context.Context, i int, asked state.Question) (map[string]state.Delta, bool, error) {
	sources := p.Members.Sources()
	if i >= len(sources) {
		return nil, false, nil
	}
	m := sources[i]
	q := changesRequest{After: asked.After, Excluded: asked.Without, AgesMs: make(map[string]int64, len(asked.Ages)), WaitMs: asked.Wait.Milliseconds(), From: p.Members.Self()}
	for name, age := range asked.Ages {
		q.AgesMs[name] = age.Milliseconds()
	}
	b, err := p.call(ctx, m.Peer, PathChanges, q)
	if ctx.Err() == nil || err == nil || errors.Is(err, context.DeadlineExceeded) {
		p.Members.RecordCall(m.Name, err == nil)
	}
	if err != nil {
		return nil, true, err
	}
	out, err := decodeResponse(b)
	return out, true, errors.Annotatef(err, "answer of %s", m.Name)
}

// Fetch asks the instance at an address which instances it knows.
func (p *Peers) FetchMembers(ctx context.Context, address string) error {
	b, err := p.call(ctx, address, PathMembers, p.Members.Self())
	if err != nil {
		return err
	}
	var list []Member
	if err := unmarshal(b, &list); err != nil {
		return errors.Annotatef(err, "instances that %s knows", address)
	}
	p.Members.Merge(false, list...)
	p.Members.MarkListed()
	return nil
}

// Check asks another instance whether it lives, and notes whether it answers.
func (p *Peers) Ping(ctx context.Context, m Member) bool {
	_, err := p.call(ctx, m.Peer, PathAlive, struct{}{})
	if err == nil || ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.Members.RecordCall(m.Name, err == nil)
	}
	return err == nil
}

// Ask asks the instance at an address for what it answers at a path of its own.
func (p *Peers) Query(ctx context.Context, address, path string) ([]byte, error) {
	return p.call(ctx, address, path, struct{}{})
}

// call returns the body of the answer of another instance.
func (p *Peers) call(ctx context.Context, address, path string, in any) ([]byte, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Trace(err)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("instance at %s answered %d", address, res.StatusCode)
	}
	out, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return out, errors.Annotatef(err, "answer of the instance at %s", address)
}

// maxWait bounds how long a question is held.
const maxPollWait = 5 * time.Second

// Handler answers other instances.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChanges, func(w http.ResponseWriter, r *http.Request) {
		var q changesRequest
		if !decodeRequest(w, r, &q) {
			return
		}
		p.Members.Merge(true, q.From)
		b, err := p.encoder.encode(p.Follower.Answer(r.Context(), q.query()))
		writeResponse(w, b, err)
	})
	mux.HandleFunc("POST "+PathMembers, func(w http.ResponseWriter, r *http.Request) {
		var from Member
		if !decodeRequest(w, r, &from) {
			return
		}
		p.Members.Merge(true, from)
		b, err := marshal(append(p.Members.Others(), p.Members.Self()))
		writeResponse(w, b, err)
	})
	mux.HandleFunc("POST "+PathAlive, func(http.ResponseWriter, *http.Request) {})
	return mux
}

// maxQuestion bounds a question in bytes.
const maxRequestBytes = 64 << 10

func decodeRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeResponse(w http.ResponseWriter, b []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/msgpack")
	_, _ = w.Write(b) // the other instance asks again
}
