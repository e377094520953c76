// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answerParts is the number of parts in which an upstream sends an answer while it works on it.
const answerParts = 32

// upstream is a server of a service. It sends an answer while it works on it.
type upstream struct {
	site          *site
	service, zone string
	version       string // of its software
	address       string
	slots, bytes  int // bytes of an answer
	work          time.Duration

	mu      sync.Mutex
	id      string // of the present start
	starts  int
	running int
	runs    int           // requests that it began to work on
	dark    chan struct{} // closed when the present start ends; nothing is sent from then on
	server  *http.Server
}

// startUpstream starts an upstream and writes its row.
func (s *site) startUpstream(service, zone, version string, slots, bytes int, work time.Duration) (*upstream, error) {
	u := &upstream{site: s, service: service, zone: zone, version: version, slots: slots, bytes: bytes, work: work, address: "127.0.0.1:0"}
	s.upstreams = append(s.upstreams, u)
	return u, u.start()
}

// start begins a start of the upstream, which has an id of its own.
func (u *upstream) start() error {
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address = l.Addr().String()
	u.starts++
	u.id = fmt.Sprintf("i-%s-%d", u.address[len("127.0.0.1:"):], u.starts)
	u.running, u.dark = 0, make(chan struct{})
	u.server = &http.Server{Handler: u.handler(u.id, u.dark)}
	go func(x *http.Server) { _ = x.Serve(l) }(u.server) // returns when the server is closed
	return u.writeRow("ready")
}

// writeRow writes the row of the present start. The caller holds the lock.
func (u *upstream) writeRow(state string) error {
	row, err := json.Marshal(map[string]any{
		"address": u.address, "info": map[string]any{"service": u.service, "version": u.version, "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": 1, "coldRemainingS": 0},
	})
	if err != nil {
		return err
	}
	u.site.store.Put(wire.Upstreams, u.id, string(row))
	u.site.log("upstream %s of %s, version %s, is %s", u.id, u.service, u.version, state)
	return nil
}

// drain announces the end of the upstream, and ends it once it has served on for a time.
func (u *upstream) drain(serveOn time.Duration) error {
	u.mu.Lock()
	err := u.writeRow("draining")
	u.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(serveOn)
	u.site.store.Delete(wire.Upstreams, u.id)
	u.close()
	u.site.log("upstream %s has ended", u.id)
	return nil
}

// fall makes the upstream silent, as a crash of its machine does: its connections stay open, and nothing is sent any more.
func (u *upstream) fall() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.site.log("upstream %s falls silent with %d requests", u.id, u.running)
	close(u.dark)
}

// restart ends the silence with another start. The store has dropped the row of the one before.
func (u *upstream) restart() error {
	u.close()
	u.site.store.Delete(wire.Upstreams, u.id)
	if err := u.start(); err != nil {
		return err
	}
	u.site.log("upstream %s starts", u.id)
	return nil
}

// close closes the connections.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != nil {
		_ = u.server.Close() // its connections are gone in any case
	}
}

// enter takes a slot. It returns the load, and whether there was a slot.
func (u *upstream) enter() (load string, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	load = fmt.Sprintf("%d,0,%d", u.running, u.slots)
	if u.running >= u.slots {
		return load, false
	}
	u.running++
	u.runs++
	return load, true
}

func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// handler serves the requests to one start.
func (u *upstream) handler(start string, dark chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-dark:
			<-r.Context().Done()
			return
		default:
		}
		h := w.Header()
		id := r.Header.Get(wire.ID)
		h.Set(wire.ID, id)
		target := r.Header.Get(wire.Target)
		switch {
		case r.URL.Path == "/health":
			h.Set(wire.Instance, start)
			return
		case target != "" && target != start:
			h.Set(wire.Instance, start)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		load, ok := u.enter()
		h.Set(wire.Load, load)
		if !ok {
			h.Set(wire.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		u.site.log("run %s at %s, version %s, budget %s ms", id, start, u.version, r.Header.Get(wire.Budget))
		u.answer(w, r, id, dark)
		u.leave()
	})
}

// answer sends the answer to a request while it is worked on. It stops if the upstream falls silent, or the connection closes.
func (u *upstream) answer(w http.ResponseWriter, r *http.Request, id string, dark chan struct{}) {
	w.Header().Set(wire.Seal, "seal-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(u.bytes))
	part := make([]byte, u.bytes/answerParts)
	for range answerParts {
		select {
		case <-time.After(u.work / answerParts):
		case <-dark:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // an error means that the connection is closed
	}
}
