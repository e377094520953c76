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

// Headers between the load tool and the stand-in.
const (
	HeaderTag = "Load-Tag"
	HeaderSum = "Load-Sum"
	// HeaderWork tells how long the work took.
	HeaderWork = "Load-Work"
)

// Fault is how the stand-in is told to misbehave. Shares are 0 to 1. The zero
// value is none.
type Fault struct {
	SlowMs          int     `json:"slowMs"`       // added to each request's work
	Shed            float64 `json:"shed"`         // refused without running
	RetryAfterS     int     `json:"retryAfterS"`  // rest that each refusal asks for
	Limit           float64 `json:"limit"`        // names it in each answer, in requests a second; 0: none
	Leaving         bool    `json:"leaving"`      // says that it is leaving
	ReportIdle      bool    `json:"lieIdle"`      // reports no load
	ResponseDelayMs int     `json:"lateMs"`       // answer held back after the work
	Truncate        float64 `json:"cut"`          // answers cut short
	WrongID         float64 `json:"wrongId"`      // answers with another request's id
	Drop            float64 `json:"drop"`         // connections closed in place of an answer
	ColdRequests    int     `json:"coldRequests"` // how many next requests are cold
	ColdMs          int     `json:"coldMs"`       // added to the work of a cold request
}

// Record is one request that was run.
type Record struct {
	Seq        int       `json:"seq"` // its place among the backend server's records
	Backend    string    `json:"backend"`
	Tag        string    `json:"tag"`
	Method     string    `json:"method"`
	Region     string    `json:"region"` // of the instance that sent it
	Start      time.Time `json:"start"`
	End        time.Time `json:"end"`
	Concurrent int       `json:"atOnce"`  // requests that ran at the start, this one included
	Leaving    bool      `json:"leaving"` // had said that it was leaving, at the start
	Completed  bool      `json:"done"`    // the work was finished, not cancelled
}

// Server is one stand-in. Name, Slots and Work are set before use.
type Server struct {
	Name     string
	Slots    int
	MeanWork time.Duration // mean time of work for one request
	// Queue makes requests beyond the slots wait, as a real backend server does,
	// up to maxWaiting for each slot; more are shed. Without it they run.
	Queue bool
	// Journal, if set, gets each record as a JSON line when the request
	// begins and again when it ends, so that records outlive a kill.
	Journal io.Writer

	slots    chan struct{} // taken slots, with Queue
	mu       sync.Mutex
	boot     string
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

// Peak returns the most requests that ran at once.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Refused returns how many requests were refused without running.
func (s *Server) Refused() int { return int(s.refused.Load()) }

// Records returns a copy of what was run.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.records...)
}

// Handler returns the HTTP form.
func (s *Server) Handler() http.Handler {
	s.boot = strconv.FormatUint(rand.Uint64(), 36)
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

// state is the stand-in's own word on itself.
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
	rep := conn.Report{State: s.fault.state(), Boot: s.boot, InFlight: s.inFlight, Slots: s.Slots}
	if s.fault.ReportIdle {
		rep.InFlight = 0
	}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(rep)
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	h := w.Header()
	h.Set(request.HeaderState, f.state())
	h.Set(request.HeaderBoot, s.boot)
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
	at, cold := s.openRecord(r)
	start := time.Now()
	sum, done := s.execute(r, cold)
	s.closeRecord(at, done)
	h.Set(HeaderWork, time.Since(start).String())
	time.Sleep(time.Duration(f.ResponseDelayMs) * time.Millisecond)
	if !done || rand.Float64() < f.Drop {
		panic(http.ErrAbortHandler)
	}
	tag := r.Header.Get(HeaderTag)
	if rand.Float64() < f.WrongID {
		h.Set(request.HeaderID, "not-"+r.Header.Get(request.HeaderID))
		tag = strings.Repeat("?", len(tag)) // the answer to another request
	}
	h.Set(HeaderSum, strconv.FormatUint(sum, 16))
	s.respond(w, r, tag, rand.Float64() < f.Truncate)
}

// maxWaiting is how many requests wait for each slot at most.
const maxWaitingPerSlot = 8

func (s *Server) queueFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Queue && s.inFlight >= s.Slots*(1+maxWaitingPerSlot)
}

// begin takes a slot and opens a record; it returns the record's place.
func (s *Server) openRecord(r *http.Request) (at int, cold bool) {
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
	at = len(s.records) - 1
	s.writeJournal(&s.records[at])
	return at, cold
}

// journal writes a record. The caller holds the lock.
func (s *Server) writeJournal(r *Record) {
	if s.Journal != nil {
		_ = json.NewEncoder(s.Journal).Encode(r) // a lost line shows as a fault in the report
	}
}

// end gives the slot back and closes the record.
func (s *Server) closeRecord(at int, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.records[at].End = time.Now()
	s.records[at].Completed = done
	s.writeJournal(&s.records[at])
}

// run reads the body and works, until done, cancelled or past the deadline.
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

// maxSize bounds an answer's body, in bytes.
const maxBodyBytes = 64 << 20

// maxLength is the size up to which an answer says its length, in bytes; larger
// ones are sent in chunks.
const maxLengthDeclaredBytes = 128 << 10

func (s *Server) respond(w http.ResponseWriter, r *http.Request, tag string, cut bool) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	size = min(max(size, len(tag)), maxBodyBytes)
	if size <= maxLengthDeclaredBytes {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.WriteHeader(http.StatusOK)
	body := io.MultiReader(strings.NewReader(tag), filler{})
	if cut {
		_, _ = io.CopyN(w, body, int64(size/2))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.CopyN(w, body, int64(size))
}

// filler is an endless source of dots.
type filler struct{}

func (filler) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '.'
	}
	return len(p), nil
}
