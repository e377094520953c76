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

	"shalewick/conn"
	"shalewick/process/state"
)

// HTTP paths of the requests between instances.
const (
	PathChanges = "/peer/changes"
	PathMembers = "/peer/members"
	PathAlive   = "/peer/alive"
)

// changesRequest requests the changes after the given versions, by table.
type changesRequest struct {
	After  map[string]int64 `json:"after"`
	AgesMs map[string]int64 `json:"agesMs,omitempty"`
	// Excluded are the tables to leave out of the response.
	Excluded []string `json:"without,omitempty"`
	WaitMs   int64    `json:"waitMs"`
	From     Member   `json:"from"`
}

// query converts the request for the follower.
func (q *changesRequest) query() state.Query {
	out := state.Query{After: q.After, Excluded: q.Excluded, Ages: make(map[string]time.Duration, len(q.AgesMs))}
	out.Wait = min(time.Duration(q.WaitMs)*time.Millisecond, maxPollWait)
	for name, age := range q.AgesMs {
		out.Ages[name] = time.Duration(age) * time.Millisecond
	}
	return out
}

// Peers sends requests to other instances and handles theirs.
type Peers struct {
	Members  *Members
	Follower *state.Follower
	// OnStoreUnreachable, if set, is called when the store becomes unreachable from this instance.
	OnStoreUnreachable func()

	client  *http.Client
	encoder responseEncoder
}

// NewPeers returns a client for other instances. Dial opens its connections.
func NewPeers(members *Members, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Peers {
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: 30 * time.Second,
		MaxResponseHeaderBytes: conn.MaxHeadBytes,
	}
	return &Peers{Members: members, client: &http.Client{Transport: conn.Strict(transport)}}
}

// Relay reports whether this instance queries the store on behalf of its region.
func (p *Peers) Relay() bool { return p.Members.Relay() }

// Head reports whether other instances of the hall get the tables from this one.
func (p *Peers) Head() bool { return p.Members.Head() }

// RecordStoreCall records whether a store call was answered.
func (p *Peers) RecordStoreCall(answered bool) {
	if p.Members.RecordStoreCall(answered) && p.OnStoreUnreachable != nil {
		p.OnStoreUnreachable()
	}
}

// Changes requests changes from the i-th source of this instance.
func (p *Peers) Changes(ctx context.Context, i int, query state.Query) (map[string]state.Delta, bool, error) {
	sources := p.Members.Sources()
	if i >= len(sources) {
		return nil, false, nil
	}
	m := sources[i]
	request := changesRequest{After: query.After, Excluded: query.Excluded, AgesMs: make(map[string]int64, len(query.Ages)), WaitMs: query.Wait.Milliseconds(), From: p.Members.Self()}
	for name, age := range query.Ages {
		request.AgesMs[name] = age.Milliseconds()
	}
	b, err := p.call(ctx, m.Peer, PathChanges, request)
	if ctx.Err() == nil || err == nil || errors.Is(err, context.DeadlineExceeded) {
		p.Members.RecordCall(m.Name, err == nil)
	}
	if err != nil {
		return nil, true, err
	}
	out, err := decodeResponse(b)
	return out, true, errors.Annotatef(err, "decode response of instance %s", m.Name)
}

// FetchMembers merges the member list of the instance at an address.
func (p *Peers) FetchMembers(ctx context.Context, address string) error {
	b, err := p.call(ctx, address, PathMembers, p.Members.Self())
	if err != nil {
		return err
	}
	var list []Member
	if err := unmarshal(b, &list); err != nil {
		return errors.Annotatef(err, "decode member list of %s", address)
	}
	p.Members.Merge(false, list...)
	p.Members.MarkListed()
	return nil
}

// Ping calls another instance and records whether it responded.
func (p *Peers) Ping(ctx context.Context, m Member) bool {
	_, err := p.call(ctx, m.Peer, PathAlive, struct{}{})
	if err == nil || ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.Members.RecordCall(m.Name, err == nil)
	}
	return err == nil
}

// Query sends an empty request to a path of the instance at an address and returns the response.
func (p *Peers) Query(ctx context.Context, address, path string) ([]byte, error) {
	return p.call(ctx, address, path, struct{}{})
}

// call posts a JSON request to another instance and returns the response body.
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
		return nil, errors.Errorf("instance at %s responded with status %d", address, res.StatusCode)
	}
	out, err := conn.ReadBody(res, maxResponseBytes)
	return out, errors.Annotatef(err, "read response of the instance at %s", address)
}

// maxPollWait bounds how long a changes request is held open.
const maxPollWait = 5 * time.Second

// Handler serves the requests of other instances.
func (p *Peers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathChanges, func(w http.ResponseWriter, r *http.Request) {
		var q changesRequest
		if !decodeRequest(w, r, &q) {
			return
		}
		p.Members.Merge(true, q.From)
		b, err := p.encoder.encode(p.Follower.Respond(r.Context(), q.query()))
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

// maxRequestBytes bounds the body of a request.
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
	_, _ = w.Write(b) // the other instance retries
}
