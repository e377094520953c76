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
	None         Fault = iota
	Cut                // the answer ends in the middle
	Unframed           // the answer has no length and ends with its connection
	UnframedCut        // the same, but the connection is reset
	Surplus            // an answer to another request comes first
	SurplusAfter       // a second answer comes after the whole one
	Lost               // the request runs and the connection is reset
	Silent             // the request runs and no answer comes
	Early              // refused before the body is in
	NotAnswer          // bytes that are no answer
	Shed               // refused without running it
	ShedLate           // the same, after lateShed
	Broken             // it runs, and the answer is the backend server's own failure
	Moved              // another backend server has the address
)

// lateShed is how long ShedLate takes to refuse.
const lateShed = 150 * time.Millisecond

// Run is one request that ran.
type Run struct {
	ID, Method, Path, Body, Object string
	Header                         http.Header
}

// Server is one backend server. The fields up to Seed are set before Start.
type Server struct {
	Name  string
	Names request.Names
	Slots int
	Queue int           // requests that may wait for a slot
	Work  time.Duration // for an object that was seen
	First time.Duration // for one that was not
	Size  int           // bytes that are added to each answer
	// ReadPause is the pause after each byte of a body; zero: it reads at once.
	ReadPause time.Duration
	Pace      string  // the fourth figure of its load reports; "": they have none
	Software  string  // the version of the software that it runs
	Bad       Badness // of that version
	Seed      uint64  // which answers are bad
	// Crashes, if set, says which requests end the process that runs them, crashAfter
	// after it began. OnCrash, if set, is told of the end.
	Crashes func(*http.Request) bool
	OnCrash func()

	mu         sync.Mutex
	listener   net.Listener
	born       time.Time
	faults     []Fault
	runs       []Run
	seen       map[string]bool
	running    int
	waiting    int
	most       int
	cold       time.Time   // until when it counts what arrives
	arrivals   []time.Time // while it was cold
	closed     int         // connections whose client left before the answer
	opened     int
	badFrom    time.Time // from when Bad.After counts
	sent       []Arrival // what came
	noticed    []Notice  // the answers with a notice
	started    int       // how often it was started again
	leaves     bool      // each answer says so
	away       time.Time // until when it turns all away
	retryAfter time.Duration
	limit      float64 // each answer names it, in requests a second; zero: none
	bad        []BadAnswer
	open       map[net.Conn]bool
	killed     bool
}

// Start starts the backend server on loopback.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = l
	s.seen = make(map[string]bool)
	s.open = make(map[net.Conn]bool)
	s.badFrom = time.Now()
	s.born = s.badFrom
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
	s.seen = make(map[string]bool)
	s.open = make(map[net.Conn]bool)
	s.born = time.Now()
	s.started++
	s.leaves, s.away, s.limit = false, time.Time{}, 0
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
	for c := range s.open {
		_ = c.Close()
	}
}

// crashAfter is how long a request runs that ends the process.
const crashAfter = 20 * time.Millisecond

// crash ends the backend server after a moment, as the request that it runs makes it.
func (s *Server) crash() {
	time.Sleep(crashAfter)
	s.Kill()
	if s.OnCrash != nil {
		s.OnCrash()
	}
}

// Next sets the faults of the next requests, one each.
func (s *Server) Next(f ...Fault) {
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
func (s *Server) Chill(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = time.Now().Add(d)
}

// BusiestColdSecond returns the largest number of requests that arrived within a
// second while the backend server was cold.
func (s *Server) BusiestColdSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, from := 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[from]) >= time.Second {
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
func (s *Server) Left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Connections returns how many connections were opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}
