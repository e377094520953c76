// SPDX-License-Identifier: MIT

/*
Package server is a test double of the users' backend servers. It has slots and a queue, puts a seal
on each response, marks rejections of requests that did not run, works faster on objects that it has
served before, and counts arrivals during a cold start. It injects faults on demand and records the
requests that ran.
*/
package server

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"shalewick/request"
)

// Fault is a fault of one response.
type Fault int

// The faults.
const (
	NoFault             Fault = iota
	Truncated                 // the response ends before its last bytes
	CloseDelimited            // the response has no length and ends with its connection
	CloseDelimitedReset       // the same, but with a reset
	ExtraBefore               // a response to another request precedes the right one
	ExtraAfter                // a response to another request follows the right one
	ResetAfterRun             // the request runs and the connection is reset
	NoResponse                // the request runs and gets no response
	RejectEarly               // rejected before the body is read
	FailEarly                 // status 500 before the body is read
	NotHTTP                   // the response is not HTTP
	Shed                      // rejected without running
	ShedSlowly                // the same, after shedDelay
	InternalError             // the request runs and gets status 500
	Misdirected               // rejected as sent to the wrong backend server
	EndlessHeaderLine         // the request runs, and a header line of its response never ends
	EndlessHeader             // the same with header lines of some hundred bytes
	EndlessShortLines         // the same with header lines of a few bytes
	EndlessInterim            // the same with interim (1xx) responses
	EndlessTrailer            // the same with the trailer of a chunked body
	EndlessBody               // the same with a chunked body
	CutHead                   // the request runs, and the response ends within its header
)

// shedDelay is the delay of a rejection with ShedSlowly.
const shedDelay = 150 * time.Millisecond

// Run describes a request that ran.
type Run struct {
	ID, Method, Path, Body, Object string
	Header                         http.Header
	At                             time.Time // when its work began
}

// EarlyResponse describes a request that was responded to before its body was read.
type EarlyResponse struct {
	ID   string
	Ran  bool // it was not rejected
	Body []byte
	// Whole reports whether the body came to its end.
	Whole bool
}

// Server is one backend server. The fields up to Seed are set before Start, CrashOn and
// OnCrash before the first request.
type Server struct {
	Name         string
	Names        request.Names
	Slots        int
	Queue        int           // maximum number of requests that wait for a slot
	Work         time.Duration // time of work for an object that was served before
	UncachedWork time.Duration // time of work for other objects, if longer than Work
	PaddingBytes int           // added to the body of each complete response
	// ReadPause is the pause after each byte of a body that is read; zero: none.
	ReadPause time.Duration
	Slowdown  string // fourth field of load reports: slowdown of the host; "": omitted
	Software  string // version that it runs
	Defect    Defect // of Software
	Seed      uint64 // selects the responses that are defective
	// CrashOn, if set, selects the requests that crash the process, crashDelay after they begin.
	CrashOn func(*http.Request) bool
	// OnCrash, if set, is called after the crash.
	OnCrash func()
	// FaultOf, if set, selects the fault of a request for which none is injected.
	FaultOf func(*http.Request) Fault
	// OnEarly, if set, is called for each response that was sent before the body was read, with what was read then.
	OnEarly func(EarlyResponse)

	mu           sync.Mutex
	listener     net.Listener
	startedAt    time.Time
	faults       []Fault
	runs         []Run
	seenObjects  map[string]bool
	running      int
	waiting      int
	maxRunning   int
	coldUntil    time.Time   // arrivals are counted until then
	coldArrivals []time.Time // before coldUntil
	disconnects  int         // clients that disconnected before the response
	opened       int         // connections
	defectFrom   time.Time   // when Defect.Onset begins to count
	arrivals     []Arrival
	notices      []Notice
	restarts     int
	leaving      bool      // set by SetLeaving
	rejectUntil  time.Time // set by RejectAll
	retryAfter   time.Duration
	limit        float64 // in requests a second, in each response; zero: none
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

// Restart starts the backend server after Kill with the same address and name. It loses its state,
// except for the records of requests, connections and responses.
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

// Address returns the host and port at which the backend server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Close stops listening. Open connections are still served.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

// Kill stops listening and closes all connections, with the requests in flight.
func (s *Server) Kill() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// ResetConnections resets the connections from an IP address.
func (s *Server) ResetConnections(from netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok && remoteIP(c) == from {
			_ = tcp.SetLinger(0)
			_ = c.Close()
		}
	}
}

// crashDelay is how long a request runs before it crashes the process.
const crashDelay = 20 * time.Millisecond

// crash kills the backend server after crashDelay.
func (s *Server) crash() {
	time.Sleep(crashDelay)
	s.Kill()
	if s.OnCrash != nil {
		s.OnCrash()
	}
}

// InjectFaults sets the faults of the next requests, one for each request.
func (s *Server) InjectFaults(f ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetWork sets Work.
func (s *Server) SetWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Work = d
}

// SetReadPause sets ReadPause.
func (s *Server) SetReadPause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ReadPause = d
}

// SetQueue sets Queue.
func (s *Server) SetQueue(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Queue = n
}

// SetCold makes the backend server cold for a time: its arrivals are counted.
func (s *Server) SetCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// MaxColdArrivalsPerSecond returns the largest number of requests that arrived within a second while
// the backend server was cold.
func (s *Server) MaxColdArrivalsPerSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxCount, first := 0, 0
	for i, at := range s.coldArrivals {
		for at.Sub(s.coldArrivals[first]) >= time.Second {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// Runs returns the requests that ran, also those before a restart.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Disconnects returns the number of clients that disconnected before their response.
func (s *Server) Disconnects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnects
}

// Connections returns the number of connections that were opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}
