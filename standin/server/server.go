// SPDX-License-Identifier: MIT

/*
Package server is a stand-in of the users' backend servers: slots and a queue, a seal
on each answer, refusals that say that nothing ran, work that is quicker for
objects seen lately, a cold start in which arrivals are counted. It misbehaves on
demand. It keeps a journal of what ran. It is for tests.
*/
package server

import (
	"net"
	"net/http"
	"sync"
	"time"

	"shalewick/request"
)

// Fault says how the next answers misbehave.
type Fault int

// The faults.
const (
	NoFault             Fault = iota
	Truncated                 // the answer ends in the middle
	CloseDelimited            // the answer has no length and ends with its connection
	CloseDelimitedReset       // the same, but the connection is reset
	ExtraBefore               // an answer to another request comes first
	ExtraAfter                // a second answer comes after the whole one
	ResetAfterRun             // the request runs and the connection is reset
	NoResponse                // the request runs and no answer comes
	RejectEarly               // refused before the body is in
	NotHTTP                   // bytes that are no answer
	Shed                      // refused without running it
	ShedSlowly                // the same, after lateShed
	InternalError             // it runs, and the answer is the backend server's own failure
	Misdirected               // another backend server has the address
)

// lateShed is how long ShedLate takes to refuse.
const shedDelay = 150 * time.Millisecond

// Run is one request that ran.
type Run struct {
	ID, Method, Path, Body, Object string
	Header                         http.Header
}

// Server is one backend server. The fields up to Seed are set before Start.
type Server struct {
	Name         string
	Names        request.Names
	Slots        int
	Queue        int           // requests that may wait for a slot
	Work         time.Duration // for an object that was seen
	UncachedWork time.Duration // for one that was not
	PaddingBytes int           // bytes that are added to each answer
	// ReadPause is the pause after each byte of a body; zero: it reads at once.
	ReadPause time.Duration
	Slowdown  string // the fourth figure of its load reports; "": they have none
	Software  string // the version of the software that it runs
	Defect    Defect // of that version
	Seed      uint64 // which answers are bad
	// Crashes, if set, says which requests end the process that runs them, crashAfter
	// after it began. OnCrash, if set, is told of the end.
	CrashOn func(*http.Request) bool
	OnCrash func()

	mu           sync.Mutex
	listener     net.Listener
	startedAt    time.Time
	faults       []Fault
	runs         []Run
	seenObjects  map[string]bool
	running      int
	waiting      int
	maxRunning   int
	coldUntil    time.Time   // until when it counts what arrives
	coldArrivals []time.Time // while it was cold
	disconnects  int         // connections whose client left before the answer
	opened       int
	defectFrom   time.Time // from when Bad.After counts
	arrivals     []Arrival // what came
	notices      []Notice  // the answers with a notice
	restarts     int       // how often it was started again
	leaving      bool      // each answer says so
	rejectUntil  time.Time // until when it turns all away
	retryAfter   time.Duration
	limit        float64 // each answer names it, in requests a second; zero: none
	defective    []DefectiveResponse
	conns        map[net.Conn]bool
	killed       bool
}

// Start starts the backend server on loopback.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = l
	s.seenObjects = make(map[string]bool)
	s.conns = make(map[net.Conn]bool)
	s.defectFrom = time.Now()
	s.startedAt = s.defectFrom
	go s.accept(l)
	return nil
}

// Restart starts the backend server again after Kill, at its address and under its name,
// knowing nothing of before. What it ran stays in Runs.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		return err
	}
	s.listener = l
	s.killed = false
	s.seenObjects = make(map[string]bool)
	s.conns = make(map[net.Conn]bool)
	s.startedAt = time.Now()
	s.restarts++
	s.leaving, s.rejectUntil, s.limit = false, time.Time{}, 0
	go s.accept(l)
	return nil
}

// Address is where the backend server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Close ends the backend server. Connections that are open are served on.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

// Kill ends the backend server at once, with all that is in flight.
func (s *Server) Kill() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// crashAfter is how long a request runs that ends the process.
const crashDelay = 20 * time.Millisecond

// crash ends the backend server after a moment, as the request that it runs makes it.
func (s *Server) crash() {
	time.Sleep(crashDelay)
	s.Kill()
	if s.OnCrash != nil {
		s.OnCrash()
	}
}

// Next sets the faults of the next requests, one each.
func (s *Server) InjectFaults(f ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetWork sets the time of work from now on.
func (s *Server) SetWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Work = d
}

// SetReadPause sets the pause after each byte of a body from now on.
func (s *Server) SetReadPause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ReadPause = d
}

// SetQueue sets how many requests may wait for a slot from now on.
func (s *Server) SetQueue(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Queue = n
}

// Chill makes the backend server cold for a time.
func (s *Server) SetCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// BusiestColdSecond returns the largest number of requests that arrived within a
// second while the backend server was cold.
func (s *Server) MaxColdArrivalsPerSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, from := 0, 0
	for i, at := range s.coldArrivals {
		for at.Sub(s.coldArrivals[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Runs returns what ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Left returns how many clients left before their answer.
func (s *Server) Disconnects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnects
}

// Connections returns how many connections were opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}
