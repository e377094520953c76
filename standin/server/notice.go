// SPDX-License-Identifier: MIT

package server

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Arrival is a request that arrived, whether it ran or was rejected.
type Arrival struct {
	ID       string
	From     netip.Addr // of the sender
	At       time.Time
	Restarts int // restarts of the backend server before it
}

// Notice is a response in which the backend server announced that it is leaving, asked for a
// backoff, or named a rate limit.
type Notice struct {
	ID         string // of the request
	To         netip.Addr
	At         time.Time
	Restarts   int // restarts of the backend server before it
	Leaving    bool
	RetryAfter time.Duration
	Limit      float64 // requests a second; zero: none named
}

// SetLeaving makes each response from now on announce that the backend server is leaving. It still
// accepts requests.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// RejectAll makes the backend server reject all requests for a time, and to ask for a backoff of
// retryAfter in each response, if it isn't zero. Its load reports show it idle, as nothing runs.
func (s *Server) RejectAll(d, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectUntil = time.Now().Add(d)
	s.retryAfter = retryAfter
}

// HeaderServerName carries the name of the backend server in responses that name a rate limit.
const HeaderServerName = "Standin-Name"

// SetLimit makes each response from now on name a rate limit in requests a second; zero: none.
func (s *Server) SetLimit(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// noticeHeaders returns the header lines of the notices that apply to the response to a request, and
// records them.
func (s *Server) noticeHeaders(c net.Conn, id string, f Fault) (lines string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := Notice{ID: id, To: remoteIP(c), At: time.Now(), Restarts: s.restarts, Leaving: s.leaving, Limit: s.limit}
	if f == Shed && n.At.Before(s.rejectUntil) {
		n.RetryAfter = s.retryAfter
	}
	if n.Leaving {
		lines += s.Names.Leaving + ": 1\r\n"
	}
	if n.RetryAfter > 0 {
		lines += fmt.Sprintf("Retry-After: %g\r\n", n.RetryAfter.Seconds())
	}
	if n.Limit > 0 {
		lines += fmt.Sprintf("%s: %g\r\n%s: %s\r\n", s.Names.Limit, n.Limit, HeaderServerName, s.Name)
	}
	if lines != "" {
		s.notices = append(s.notices, n)
	}
	return lines
}

// Arrivals returns the requests that arrived, in order of time, rejected ones included.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Notices returns the responses with a notice, in order of time.
func (s *Server) Notices() []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.notices)
}

// remoteIP returns the IP address of the peer of a connection.
func remoteIP(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
