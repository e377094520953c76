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
type Defect struct {
	// Fails is the share of answers that are the backend server's own failure.
	FailureFraction float64
	// Slower is how many times as long the work of a slowed answer takes. Zero: none
	// is slowed.
	SlowdownFactor float64
	// Share is the share of answers that are slowed. Zero: all, if Slower is set.
	SlowFraction float64
	// After is the onset, since Start or since the time that SetBadness was told.
	Onset time.Duration
	// WhenBusy is the least number of running requests, with the one that is answered.
	MinRunning int
	// Path limits it to requests below this path.
	PathPrefix string
}

// BadAnswer is one answer that was bad.
type DefectiveResponse struct {
	ID     string
	At     time.Time // of the answer
	Failed bool      // otherwise it was slowed
}

// SetBadness makes the software bad, or good again. Its onset counts from a time.
func (s *Server) SetDefect(b Defect, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Defect, s.defectFrom = b, from
}

// Arrivals returns the times at which requests came, also of those that were refused.
func (s *Server) ArrivalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]time.Time, len(s.arrivals))
	for i, a := range s.arrivals {
		out[i] = a.At
	}
	return out
}

// Between returns how many times lie from one time up to another.
func CountBetween(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// PerSecond returns how many requests came in each of n seconds from a time on.
func (s *Server) ArrivalsPerSecond(from time.Time, n int) []int {
	out := make([]int, n)
	for _, at := range s.ArrivalTimes() {
		second := int(math.Floor(at.Sub(from).Seconds()))
		if second >= 0 && second < n {
			out[second]++
		}
	}
	return out
}

// BadAnswers returns the answers that were bad, by rising time.
func (s *Server) DefectiveResponses() []DefectiveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.defective)
}

// conduct is how one answer turns out.
type outcome struct {
	fails    bool
	slowdown float64 // times the usual work
}

// conduct returns how the answer to a request that runs turns out. It depends on
// the seed and the id of the request, not on the order in which requests come.
func (s *Server) outcome(id, path string) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.Defect
	if time.Since(s.defectFrom) < b.Onset || s.running < b.MinRunning || !strings.HasPrefix(path, b.PathPrefix) {
		return outcome{slowdown: 1}
	}
	c := outcome{fails: s.hashFraction(id, "fails") < b.FailureFraction, slowdown: 1}
	slowed := b.SlowFraction == 0 || s.hashFraction(id, "slow") < b.SlowFraction
	if b.SlowdownFactor > 0 && slowed {
		c.slowdown = b.SlowdownFactor
	}
	return c
}

func (c outcome) defective() bool { return c.fails || c.slowdown > 1 }

// chance returns a number from 0 up to 1 that is always the same for a request.
func (s *Server) hashFraction(id, what string) float64 {
	h := xxhash.Sum64String(strconv.FormatUint(s.Seed, 16) + "/" + what + "/" + id)
	return float64(h>>11) / (1 << 53)
}

// noteBad notes a bad answer that was written.
func (s *Server) recordDefective(id string, c outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.defective = append(s.defective, DefectiveResponse{ID: id, At: time.Now(), Failed: c.fails})
}
