// SPDX-License-Identifier: MIT

/*
Package server is a stand-in of the users' backend servers: slots and a queue, a seal
on each answer, refusals that say that nothing ran, work that is quicker for
objects seen lately, a cold start in which arrivals are counted. It misbehaves on
demand. It keeps a journal of what ran. It is for tests.
*/
package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	Name     string
	Names    request.Names
	Slots    int
	Queue    int           // requests that may wait for a slot
	Work     time.Duration // for an object that was seen
	First    time.Duration // for one that was not
	Software string        // the version of the software that it runs
	Bad      Badness       // of that version
	Seed     uint64        // which answers are bad
	// Crashes, if set, says which requests end the process that runs them, crashAfter
	// after it began. OnCrash, if set, is told of the end.
	Crashes func(*http.Request) bool
	OnCrash func()

	mu       sync.Mutex
	listener net.Listener
	born     time.Time
	faults   []Fault
	runs     []Run
	seen     map[string]bool
	running  int
	waiting  int
	most     int
	cold     time.Time   // until when it counts what arrives
	arrivals []time.Time // while it was cold
	closed   int         // connections whose client left before the answer
	opened   int
	badFrom  time.Time   // from when Bad.After counts
	sent     []time.Time // when requests came
	bad      []BadAnswer
	open     map[net.Conn]bool
	killed   bool
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

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if s.hold(c) {
			go s.serve(c)
		}
	}
}

// hold counts a connection and keeps it for Kill. It reports whether it is served.
func (s *Server) hold(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	if s.killed {
		_ = c.Close()
		return false
	}
	s.open[c] = true
	return true
}

func (s *Server) letGo(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *Server) serve(c net.Conn) {
	defer s.letGo(c)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.answer(c, r, req) {
			return
		}
	}
}

// queueStep is the time between two looks at whether a slot is free.
const queueStep = time.Millisecond

// begin takes a fault and, unless it means that nothing runs, a slot, for which
// it may wait.
func (s *Server) begin(req *http.Request) (f Fault, load string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, load, ok = s.arrive(req)
	if !ok || s.running < s.Slots {
		return f, load, ok && s.take()
	}
	if s.waiting >= s.Queue {
		return Shed, load, false
	}
	s.waiting++
	for s.running >= s.Slots {
		s.mu.Unlock()
		time.Sleep(queueStep)
		s.mu.Lock()
	}
	s.waiting--
	return f, load, s.take()
}

func (s *Server) take() bool {
	s.running++
	s.most = max(s.most, s.running)
	return true
}

// arrive takes the fault of a request, and reports whether it may run.
func (s *Server) arrive(req *http.Request) (f Fault, load string, ok bool) {
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	load = fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
	if want := req.Header.Get(s.Names.Target); want != "" && want != s.Name {
		return Moved, load, false
	}
	now := time.Now()
	s.sent = append(s.sent, now)
	if now.Before(s.cold) {
		s.arrivals = append(s.arrivals, now)
	}
	return f, load, f != Shed && f != ShedLate && f != Moved && f != Early
}

func (s *Server) work(object string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object == "" || s.seen[object] {
		return s.Work
	}
	s.seen[object] = true
	return max(s.First, s.Work)
}

// answer serves one request and reports whether the connection goes on.
func (s *Server) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get(s.Names.ID)
	f, load, ok := s.begin(req)
	if !ok {
		if f != Early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if f == ShedLate {
			time.Sleep(lateShed)
		}
		status := "503 Service Unavailable"
		if f == Moved {
			status = "421 Misdirected Request"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, s.Names.ID, id, s.Names.NotRun, s.Names.Load, load)
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		s.end()
		return false
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{
		ID: id, Method: req.Method, Path: req.RequestURI, Body: string(body),
		Object: req.Header.Get(s.Names.Affinity), Header: req.Header,
	})
	s.mu.Unlock()
	if s.Crashes != nil && s.Crashes(req) {
		s.crash()
		return false
	}
	how := s.conduct(id, req.URL.Path)
	work := time.Duration(how.slower * float64(s.work(req.Header.Get(s.Names.Affinity))))
	left := s.wait(c, r, work)
	s.end()
	if left {
		return false
	}
	if how.bad() {
		s.noteBad(id, how)
	}
	if how.fails && f == None {
		f = Broken
	}
	return s.write(c, f, id, load)
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// wait works for a time, and reports whether the client left meanwhile.
func (s *Server) wait(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if n, ok := err.(net.Error); err == nil || ok && n.Timeout() {
		return false
	}
	s.mu.Lock()
	s.closed++
	s.mu.Unlock()
	return true
}

// Body is the body of the answer to a request.
func Body(id string) string { return "answer to " + id }

func (s *Server) write(c net.Conn, f Fault, id, load string) bool {
	text := s.text(id, load)
	switch f {
	case Cut:
		_, _ = io.WriteString(c, text[:len(text)-3])
		return false
	case Unframed, UnframedCut:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n\r\n%s", s.Names.ID, id, s.Names.Seal, id, Body(id))
		if tcp, ok := c.(*net.TCPConn); ok && f == UnframedCut {
			time.Sleep(20 * time.Millisecond) // so that what was written arrives
			_ = tcp.SetLinger(0)
		}
		return false
	case Surplus:
		_, _ = io.WriteString(c, s.text("of-another", load)+text)
		return true
	case SurplusAfter:
		_, _ = io.WriteString(c, text+s.text("of-another", load))
		return true
	case Lost:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case Broken:
		text = strings.Replace(text, "200 OK", "500 Internal Server Error", 1)
	case Silent:
		_, _ = io.Copy(io.Discard, c)
		return false
	case NotAnswer:
		_, _ = io.WriteString(c, "this is no answer\r\n\r\n")
		return false
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

func (s *Server) text(id, load string) string {
	body := Body(id)
	return "HTTP/1.1 200 OK\r\n" + s.Names.ID + ": " + id + "\r\n" + s.Names.Seal + ": seal-" + id + "\r\n" +
		s.Names.Load + ": " + load + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
