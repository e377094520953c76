// SPDX-License-Identifier: MIT

package platform

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"shalewick/process/platform"
)

// Fault describes how the platform misbehaves. The zero value injects no fault.
type Fault struct {
	Down bool `json:"down"`
	// SlowMs is the delay of each call, in milliseconds.
	SlowMs int `json:"slowMs"`
	// Rate is the maximum number of calls a second; zero means no limit.
	Rate float64 `json:"rate"`
	// LoseResponses is the fraction of commits whose response is lost after the write took effect,
	// from 0 to 1.
	LoseResponses float64 `json:"loseAnswers"`
	// LagMs is how far the list of instances that is served lags behind, in milliseconds.
	LagMs int `json:"lagMs"`
}

// Server is a simulated platform. The zero value is ready to use.
type Server struct {
	mu            sync.Mutex
	tables        map[string]map[string]platform.Row
	revision      int64
	objects       map[string][]byte
	instanceLists []instanceList // oldest first
	fault         Fault
	limiter       *rate.Limiter
	counts        map[string]int64
}

// instanceList is a list of instances and the time from which it holds.
type instanceList struct {
	since time.Time
	list  []platform.Instance
}

// SetFault replaces the present fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.limiter = nil
	if f.Rate > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
}

// SetInstances sets the present list of instances.
func (s *Server) SetInstances(list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceLists = append(s.instanceLists, instanceList{since: time.Now(), list: list})
}

// Counts returns the number of calls so far, by kind, failed ones included.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.counts))
	for k, n := range s.counts {
		out[k] = n
	}
	return out
}

// Handler returns the HTTP handler of the platform.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if readJSON(w, r, &f) {
			s.SetFault(f)
		}
	})
	mux.HandleFunc("PUT /standin/instances", func(w http.ResponseWriter, r *http.Request) {
		var list []platform.Instance
		if readJSON(w, r, &list) {
			s.SetInstances(list)
		}
	})
	mux.HandleFunc("GET /standin/count", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	mux.HandleFunc("GET /v1/tables/{table}/{key}", s.withFault("get", s.get))
	mux.HandleFunc("GET /v1/tables/{table}", s.withFault("scan", s.scan))
	mux.HandleFunc("POST /v1/commit", s.withFault("commit", s.commit))
	mux.HandleFunc("GET /v1/objects/{name}", s.withFault("getObject", s.getObject))
	mux.HandleFunc("PUT /v1/objects/{name}", s.withFault("putObject", s.putObject))
	mux.HandleFunc("GET /v1/instances", s.withFault("instances", s.instances))
	return mux
}

// withFault counts the calls to a handler and applies the present fault to them.
func (s *Server) withFault(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f, limiter := s.fault, s.limiter
		if s.counts == nil {
			s.counts = make(map[string]int64)
		}
		s.counts[kind]++
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		if f.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if limiter != nil && !limiter.Allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		h(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.tables[r.PathValue("table")][r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	rows := []platform.Row{}
	s.mu.Lock()
	for k, row := range s.tables[r.PathValue("table")] {
		if k > after {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, rows)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var ops []platform.Op
	if !readJSON(w, r, &ops) {
		return
	}
	s.mu.Lock()
	ok := s.apply(ops)
	lose := s.fault.LoseResponses
	s.mu.Unlock()
	if rand.Float64() < lose {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, struct{}{})
}

// apply carries out all operations, or none if the revision of a row differs from the expected one.
// The caller holds the lock.
func (s *Server) apply(ops []platform.Op) bool {
	for _, op := range ops {
		if op.Revision != platform.AnyRevision && s.tables[op.Table][op.Key].Revision != op.Revision {
			return false
		}
	}
	s.revision++
	if s.tables == nil {
		s.tables = make(map[string]map[string]platform.Row)
	}
	for _, op := range ops {
		if s.tables[op.Table] == nil {
			s.tables[op.Table] = make(map[string]platform.Row)
		}
		switch op.Kind {
		case platform.OpPut:
			s.tables[op.Table][op.Key] = platform.Row{Key: op.Key, Revision: s.revision, Value: op.Value}
		case platform.OpDelete:
			delete(s.tables[op.Table], op.Key)
		}
	}
	return true
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(b)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	s.objects[r.PathValue("name")] = b
	s.mu.Unlock()
}

// instances serves the list of instances as it was LagMs ago.
func (s *Server) instances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	servedAt := time.Now().Add(-time.Duration(s.fault.LagMs) * time.Millisecond)
	list := []platform.Instance{}
	for _, l := range s.instanceLists {
		if !l.since.After(servedAt) {
			list = l.list
		}
	}
	s.mu.Unlock()
	writeJSON(w, list)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
