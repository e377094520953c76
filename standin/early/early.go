// SPDX-License-Identifier: MIT

/*
Package early is a test double of a backend server that responds to each request before it has read the body,
keeps the connection and reads on. It records what it has read. Upload is a body for such requests.
*/
package early

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"shalewick/request"
)

const (
	// requestTimeout limits the time in which a body is read.
	requestTimeout = 4 * time.Second
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = 500 * time.Millisecond
)

// Server is one backend server. The exported fields are set before Start.
type Server struct {
	Names request.Names
	// Rejects selects the response: status 503 that says that the request has not run, or else status 500.
	Rejects bool
	// ReadFirst is how many bytes of the body are read before the response.
	ReadFirst int64
	// ReadOn is the pause between the response and the reading of the rest.
	ReadOn time.Duration

	listener net.Listener
	conns    sync.WaitGroup
	mu       sync.Mutex
	requests []Request
}

// Request is what was read of a request.
type Request struct {
	ID    string
	Body  []byte
	Whole bool // the body came to its end
}

// Start starts the backend server on loopback.
func (s *Server) Start() (err error) {
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return nil
}

// Address returns the host and port at which the backend server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening. Open connections are still served.
func (s *Server) Close() { _ = s.listener.Close() }

// Requests waits until all connections are closed, and returns what was read on them.
func (s *Server) Requests() []Request {
	s.conns.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *Server) serve(c net.Conn) {
	defer s.conns.Done()
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		_ = c.SetDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(requestTimeout))
		id := r.Header.Get(s.Names.ID)
		body, err := s.respondEarly(c, r, id)
		s.mu.Lock()
		s.requests = append(s.requests, Request{ID: id, Body: body, Whole: err == nil})
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// respondEarly responds to a request, and returns what it has read of the body before and after. The error is nil if
// that is all.
func (s *Server) respondEarly(c net.Conn, r *http.Request, id string) ([]byte, error) {
	first, err := io.ReadAll(io.LimitReader(r.Body, s.ReadFirst))
	if err != nil {
		return first, err
	}
	head := "HTTP/1.1 500 Internal Server Error\r\n"
	if s.Rejects {
		head = "HTTP/1.1 503 Service Unavailable\r\n" + s.Names.NotRun + ": true\r\n"
	}
	if _, err := fmt.Fprintf(c, "%s%s: %s\r\nContent-Length: 0\r\n\r\n", head, s.Names.ID, id); err != nil {
		return first, err
	}
	time.Sleep(s.ReadOn)
	rest, err := io.ReadAll(r.Body)
	return append(first, rest...), err
}

// NumberedBody returns a body in which no two parts are equal.
func NumberedBody(size int) []byte {
	const wordBytes = 8
	body := make([]byte, size)
	for i := 0; i+wordBytes <= size; i += wordBytes {
		binary.BigEndian.PutUint64(body[i:], uint64(i))
	}
	return body
}
