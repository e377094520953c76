// SPDX-License-Identifier: MIT

package server

import (
	"fmt"
	"slices"
	"time"
)

// Arrival is a request that came, whatever became of it.
type Arrival struct {
	ID       string
	At       time.Time
	Restarts int // how often the backend server had been started again
}

// Notice is an answer in which the backend server said that it leaves, asked for a backoff, or named
// a rate limit.
type Notice struct {
	ID         string // of the request
	At         time.Time
	Restarts   int // how often the backend server had been started again
	Leaving    bool
	RetryAfter time.Duration
	Limit      float64 // requests a second; zero: it named none
}

// Leave makes each answer from now on say that the backend server leaves. It serves on.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// TurnAway makes the backend server refuse everything for a time, asking for a backoff in each
// refusal. Its load reports say that it is idle, as it is.
func (s *Server) RejectAll(d, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectUntil = time.Now().Add(d)
	s.retryAfter = retryAfter
}

// HeaderName is a header of the stand-in's own: answers that name a rate limit say whose it is.
const HeaderServerName = "Standin-Name"

// SetLimit makes each answer from now on name a rate limit in requests a second; zero: none.
func (s *Server) SetLimit(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// notice returns the header lines that tell of the backend server's notices, for the answer
// to a request, and notes them.
func (s *Server) noticeHeaders(id string, f Fault) (lines string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := Notice{ID: id, At: time.Now(), Restarts: s.restarts, Leaving: s.leaving, Limit: s.limit}
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

// Came returns the requests that came, by rising time, also those that were refused.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// Notices returns the answers with a notice, by rising time.
func (s *Server) Notices() []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.notices)
}
