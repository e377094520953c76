// SPDX-License-Identifier: MIT

package server

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Badness says how a bad version of the software misbehaves. All conditions that are
// set must hold for an answer to be bad. The zero value is a good version.
type Badness struct {
	// Fails is the share of answers that are the backend server's own failure.
	Fails float64
	// Slower is how many times as long the work of a slowed answer takes. Zero: none
	// is slowed.
	Slower float64
	// Share is the share of answers that are slowed. Zero: all, if Slower is set.
	Share float64
	// After is the onset, since Start or since the time that SetBadness was told.
	After time.Duration
	// WhenBusy is the least number of running requests, with the one that is answered.
	WhenBusy int
	// Path limits it to requests below this path.
	Path string
}

// BadAnswer is one answer that was bad.
type BadAnswer struct {
	ID     string
	At     time.Time // of the answer
	Failed bool      // otherwise it was slowed
}

// SetBadness makes the software bad, or good again. Its onset counts from a time.
func (s *Server) SetBadness(b Badness, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Bad, s.badFrom = b, from
}

// Arrivals returns the times at which requests came, also of those that were refused.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]time.Time, len(s.sent))
	for i, a := range s.sent {
		out[i] = a.At
	}
	return out
}

// Between returns how many times lie from one time up to another.
func Between(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// PerSecond returns how many requests came in each of n seconds from a time on.
func (s *Server) PerSecond(from time.Time, n int) []int {
	out := make([]int, n)
	for _, at := range s.Arrivals() {
		second := int(math.Floor(at.Sub(from).Seconds()))
		if second >= 0 && second < n {
			out[second]++
		}
	}
	return out
}

// BadAnswers returns the answers that were bad, by rising time.
func (s *Server) BadAnswers() []BadAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bad)
}

// conduct is how one answer turns out.
type conduct struct {
	fails  bool
	slower float64 // times the usual work
}

// conduct returns how the answer to a request that runs turns out. It depends on
// the seed and the id of the request, not on the order in which requests come.
func (s *Server) conduct(id, path string) conduct {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.Bad
	if time.Since(s.badFrom) < b.After || s.running < b.WhenBusy || !strings.HasPrefix(path, b.Path) {
		return conduct{slower: 1}
	}
	c := conduct{fails: s.chance(id, "fails") < b.Fails, slower: 1}
	slowed := b.Share == 0 || s.chance(id, "slow") < b.Share
	if b.Slower > 0 && slowed {
		c.slower = b.Slower
	}
	return c
}

func (c conduct) bad() bool { return c.fails || c.slower > 1 }

// chance returns a number from 0 up to 1 that is always the same for a request.
func (s *Server) chance(id, what string) float64 {
	h := xxhash.Sum64String(strconv.FormatUint(s.Seed, 16) + "/" + what + "/" + id)
	return float64(h>>11) / (1 << 53)
}

// noteBad notes a bad answer that was written.
func (s *Server) noteBad(id string, c conduct) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad = append(s.bad, BadAnswer{ID: id, At: time.Now(), Failed: c.fails})
}
