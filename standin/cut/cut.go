// SPDX-License-Identifier: MIT

// Package cut is a test double of a server that breaks off in the middle of its responses, or does not end them.
package cut

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pieceDelay is the pause between two pieces of a response, so that they arrive apart.
const pieceDelay = 2 * time.Millisecond

// resetDelay is the pause before a reset, in which the client receives what was sent.
const resetDelay = 2 * time.Millisecond

// Response is a response that may be incomplete.
type Response struct {
	// Text is what is sent, at the byte Split in two pieces unless that is zero.
	Text  string
	Split int
	// Reset resets the connection after the text instead of closing it, and KeepOpen waits for the next
	// request.
	Reset, KeepOpen bool
	// Endless, if not empty, is sent again and again after the text, until the client closes the connection.
	Endless string
}

// Server is a server on loopback. Respond, which must be set before use, returns the response to a request
// whose body has been read. If Early is set, the response is sent at once and the body read meanwhile, until the connection
// ends.
type Server struct {
	Respond func(*http.Request) Response
	Early   bool

	listener net.Listener
	mu       sync.Mutex
	requests int
	conns    map[net.Conn]bool
}

// Start starts the server.
func (s *Server) Start() (err error) {
	s.conns = make(map[net.Conn]bool)
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return err
	}
	go s.accept()
	return nil
}

// Address returns the host and port at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were received whole.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // the server is closed
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.Early {
			go func() { _, _ = io.Copy(io.Discard, req.Body) }() // until the connection ends
		} else if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		if !send(c, s.Respond(req)) {
			return
		}
	}
}

// send sends a response, and reports whether the connection stays open.
func send(c net.Conn, r Response) bool {
	first := r.Text[:r.Split]
	if first != "" {
		if _, err := io.WriteString(c, first); err != nil {
			return false
		}
		time.Sleep(pieceDelay)
	}
	if _, err := io.WriteString(c, r.Text[r.Split:]); err != nil {
		return false
	}
	if r.Endless != "" {
		sendEndlessly(c, r.Endless)
		return false
	}
	if tcp, ok := c.(*net.TCPConn); ok && r.Reset {
		time.Sleep(resetDelay)
		_ = tcp.SetLinger(0)
	}
	return r.KeepOpen
}

// endlessWriteBytes is the number of bytes of an endless response that are sent at a time, about.
const endlessWriteBytes = 64 << 10

func sendEndlessly(c net.Conn, unit string) {
	units := strings.Repeat(unit, endlessWriteBytes/len(unit))
	for {
		if _, err := io.WriteString(c, units); err != nil {
			return // the client has closed the connection
		}
	}
}

// Each calls f with a response that ends at each byte of a whole one, or at each step-th, in one or two
// pieces, closed or reset. Only the whole one, in two pieces, is complete; it keeps the connection open.
// Step should be odd, so that all ways to end occur.
func Each(whole string, step int, f func(r Response, complete bool)) {
	for n := 0; n < len(whole); n += step {
		r := Response{Text: whole[:n], Reset: n%2 == 1}
		if n%4 >= 2 {
			r.Split = n / 2
		}
		f(r, false)
	}
	for n := 1; n < len(whole); n += 7 * step {
		f(Response{Text: whole, Split: n, KeepOpen: true}, true)
	}
}
