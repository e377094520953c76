// SPDX-License-Identifier: MIT

package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/conn"
	"shalewick/request"
)

// Headers between the load generator and the simulated backend server.
const (
	HeaderTag = "Load-Tag"
	HeaderSum = "Load-Sum"
	// HeaderWork carries the duration of the work.
	HeaderWork = "Load-Work"
)

// Fault describes how the backend server misbehaves. Shares are fractions from 0 to 1. The zero
// value injects no fault.
type Fault struct {
	SlowMs          int     `json:"slowMs"`       // added to the work of each request
	Shed            float64 `json:"shed"`         // requests rejected without running
	RetryAfterS     int     `json:"retryAfterS"`  // Retry-After of each rejection; 0: none
	Limit           float64 `json:"limit"`        // rate limit that each response names, in requests a second; 0: none
	Leaving         bool    `json:"leaving"`      // reports the state leaving
	ReportIdle      bool    `json:"lieIdle"`      // reports no requests in flight
	ResponseDelayMs int     `json:"lateMs"`       // delay of each response after the work
	Truncate        float64 `json:"cut"`          // responses truncated to half their length
	WrongID         float64 `json:"wrongId"`      // responses with a wrong request id
	Drop            float64 `json:"drop"`         // connections closed without a response
	ColdRequests    int     `json:"coldRequests"` // number of requests still to come that are cold
	ColdMs          int     `json:"coldMs"`       // added to the work of a cold request
}

// Record describes a request that was run.
type Record struct {
	Seq        int       `json:"seq"` // index among the records of the backend server
	Backend    string    `json:"backend"`
	Tag        string    `json:"tag"`
	Method     string    `json:"method"`
	Region     string    `json:"region"` // of the instance that sent it
	Start      time.Time `json:"start"`
	End        time.Time `json:"end"`
	Concurrent int       `json:"atOnce"`  // requests in flight at the start, including this one
	Leaving    bool      `json:"leaving"` // whether the backend server was leaving at the start
	Completed  bool      `json:"done"`    // the work was finished, and not cancelled
}

// Server is one simulated backend server. Name, Slots, MeanWork, Queue and Journal are set before
// use.
type Server struct {
	Name     string
	Slots    int
	MeanWork time.Duration // mean duration of the work of a request
	// Queue makes requests beyond the slots wait, as a real backend server does, up to
	// maxWaitingPerSlot for each slot; further ones are shed. Without it they run at once.
	Queue bool
	// Journal, if set, gets each record as a JSON line when the request begins and again when it
	// ends, so that records survive a kill of the process.
	Journal io.Writer

	slots    chan struct{} // one element for each occupied slot; used with Queue
	mu       sync.Mutex
	bootID   string
	fault    Fault
	inFlight int
	peak     int
	records  []Record
	refused  atomic.Int64
}

// SetFault replaces the present fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}

// Peak returns the maximum number of requests that ran at once.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Refused returns the number of requests that were rejected without running.
func (s *Server) Refused() int { return int(s.refused.Load()) }

// Records returns a copy of the records.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// Handler returns the HTTP handler of the backend server.
func (s *Server) Handler() http.Handler {
	s.bootID = strconv.FormatUint(rand.Uint64(), 36)
	s.slots = make(chan struct{}, s.Slots)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(f)
	})
	mux.HandleFunc("GET /standin/records", func(w http.ResponseWriter, _ *http.Request) {
		b := bufio.NewWriter(w)
		defer b.Flush()
		for _, rec := range s.Records() {
			_ = json.NewEncoder(b).Encode(rec)
		}
	})
	mux.HandleFunc("GET /standin/peak", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Peak())
	})
	mux.HandleFunc("GET /probe", s.probe)
	mux.HandleFunc("/", s.serveWork)
	return mux
}

// state returns the state that the backend server reports.
func (f *Fault) state() string {
	if f.Leaving {
		return conn.StateLeaving
	}
	if f.ColdRequests > 0 {
		return conn.StateCold
	}
	return conn.StateReady
}

func (s *Server) probe(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := conn.Report{State: s.fault.state(), Boot: s.bootID, InFlight: s.inFlight, Slots: s.Slots}
	if s.fault.ReportIdle {
		report.InFlight = 0
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	h := w.Header()
	h.Set(request.HeaderState, f.state())
	h.Set(request.HeaderBoot, s.bootID)
	h.Set(request.HeaderID, r.Header.Get(request.HeaderID))
	if f.Limit > 0 {
		h.Set(request.OwnNames.Limit, strconv.FormatFloat(f.Limit, 'g', -1, 64))
	}
	if rand.Float64() < f.Shed || s.queueFull() {
		h.Set(request.HeaderNotRun, "true")
		if f.RetryAfterS > 0 {
			h.Set("Retry-After", strconv.Itoa(f.RetryAfterS))
		}
		s.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	index, cold := s.openRecord(r)
	start := time.Now()
	sum, done := s.execute(r, cold)
	s.closeRecord(index, done)
	h.Set(HeaderWork, time.Since(start).String())
	time.Sleep(time.Duration(f.ResponseDelayMs) * time.Millisecond)
	if !done || rand.Float64() < f.Drop {
		panic(http.ErrAbortHandler)
	}
	tag := r.Header.Get(HeaderTag)
	if rand.Float64() < f.WrongID {
		h.Set(request.HeaderID, "not-"+r.Header.Get(request.HeaderID))
		tag = strings.Repeat("?", len(tag)) // as in the response to another request
	}
	h.Set(HeaderSum, strconv.FormatUint(sum, 16))
	s.respond(w, r, tag, rand.Float64() < f.Truncate)
}

// maxWaitingPerSlot is the maximum number of queued requests for each slot.
const maxWaitingPerSlot = 8

func (s *Server) queueFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Queue && s.inFlight >= s.Slots*(1+maxWaitingPerSlot)
}

// openRecord counts a request in flight and opens its record. It returns the index of the record,
// and whether the request is cold.
func (s *Server) openRecord(r *http.Request) (index int, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	if s.fault.ColdRequests > 0 {
		s.fault.ColdRequests--
		cold = true
	}
	s.records = append(s.records, Record{
		Seq: len(s.records), Backend: s.Name, Tag: r.Header.Get(HeaderTag), Method: r.Method,
		Region: r.Header.Get(request.HeaderRegion), Start: time.Now(), Concurrent: s.inFlight, Leaving: s.fault.Leaving,
	})
	index = len(s.records) - 1
	s.writeJournal(&s.records[index])
	return index, cold
}

// writeJournal writes a record to the journal. The caller holds the lock.
func (s *Server) writeJournal(r *Record) {
	if s.Journal != nil {
		_ = json.NewEncoder(s.Journal).Encode(r) // the report shows a lost line as a fault
	}
}

// closeRecord ends a request in flight and completes its record.
func (s *Server) closeRecord(index int, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.records[index].End = time.Now()
	s.records[index].Completed = done
	s.writeJournal(&s.records[index])
}

// execute reads the body and simulates the work. It reports whether the work was finished before the
// request was cancelled or its deadline passed.
func (s *Server) execute(r *http.Request, cold bool) (sum uint64, done bool) {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(request.HeaderDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	d := xxhash.New()
	if _, err := io.Copy(d, r.Body); err != nil {
		return 0, false
	}
	if s.Queue {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-ctx.Done():
			return 0, false
		}
	}
	s.mu.Lock()
	work := time.Duration(float64(s.MeanWork)*(0.5+rand.Float64())) + time.Duration(s.fault.SlowMs)*time.Millisecond
	if cold {
		work += time.Duration(s.fault.ColdMs) * time.Millisecond
	}
	s.mu.Unlock()
	t := time.NewTimer(work)
	defer t.Stop()
	select {
	case <-t.C:
		return d.Sum64(), true
	case <-ctx.Done():
		return 0, false
	}
}

// maxBodyBytes is the maximum size of a response's body.
const maxBodyBytes = 64 << 20

// maxLengthDeclaredBytes is the size up to which a response has a Content-Length; larger ones are
// chunked.
const maxLengthDeclaredBytes = 128 << 10

func (s *Server) respond(w http.ResponseWriter, r *http.Request, tag string, truncate bool) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	size = min(max(size, len(tag)), maxBodyBytes)
	if size <= maxLengthDeclaredBytes {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.WriteHeader(http.StatusOK)
	body := io.MultiReader(strings.NewReader(tag), filler{})
	if truncate {
		_, _ = io.CopyN(w, body, int64(size/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.CopyN(w, body, int64(size))
}

// filler is an endless reader of dots.
type filler struct{}

func (filler) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '.'
	}
	return len(p), nil
}
