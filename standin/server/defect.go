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

// Defect describes how a defective version of the software misbehaves. A response is defective if
// all conditions that are set hold. The zero value is a correct version.
type Defect struct {
	// FailureFraction is the fraction of responses that have status 500.
	FailureFraction float64
	// SlowdownFactor is how many times as long the work of a slow response takes. Zero: none is
	// slow.
	SlowdownFactor float64
	// SlowFraction is the fraction of responses that are slow. Zero: all, if SlowdownFactor is set.
	SlowFraction float64
	// Onset is the time from Start, or from the time given to SetDefect, until responses are
	// defective.
	Onset time.Duration
	// MinRunning is the smallest number of running requests, including the one that is handled, at
	// which responses are defective.
	MinRunning int
	// PathPrefix limits the defect to requests whose path begins with it.
	PathPrefix string
}

// DefectiveResponse describes a response that was failed or slow.
type DefectiveResponse struct {
	ID     string
	At     time.Time // of the response
	Failed bool      // status 500; otherwise it was slow
}

// SetDefect replaces the defect, whose onset counts from a time. The zero value ends it.
func (s *Server) SetDefect(d Defect, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Defect, s.defectFrom = d, from
}

// ArrivalTimes returns the times at which requests arrived, rejected ones included.
func (s *Server) ArrivalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]time.Time, len(s.arrivals))
	for i, a := range s.arrivals {
		out[i] = a.At
	}
	return out
}

// CountBetween returns how many of the times lie in [from, to).
func CountBetween(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// ArrivalsPerSecond returns how many requests arrived in each of the n seconds that follow a time.
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

// DefectiveResponses returns the responses that were failed or slow, in order of time.
func (s *Server) DefectiveResponses() []DefectiveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.defective)
}

// outcome says whether one response fails, and how long its work takes.
type outcome struct {
	fails    bool
	slowdown float64 // factor on the time of work
}

// outcome returns the outcome of a request that runs. It depends on the seed and the id of the
// request, not on the order in which requests arrive.
func (s *Server) outcome(id, path string) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &s.Defect
	if time.Since(s.defectFrom) < d.Onset || s.running < d.MinRunning || !strings.HasPrefix(path, d.PathPrefix) {
		return outcome{slowdown: 1}
	}
	o := outcome{fails: s.hashFraction(id, "fails") < d.FailureFraction, slowdown: 1}
	slow := d.SlowFraction == 0 || s.hashFraction(id, "slow") < d.SlowFraction
	if d.SlowdownFactor > 0 && slow {
		o.slowdown = d.SlowdownFactor
	}
	return o
}

func (o outcome) defective() bool { return o.fails || o.slowdown > 1 }

// hashFraction returns a number in [0, 1) that is always the same for a request, seed and purpose.
func (s *Server) hashFraction(id, purpose string) float64 {
	h := xxhash.Sum64String(strconv.FormatUint(s.Seed, 16) + "/" + purpose + "/" + id)
	return float64(h>>11) / (1 << 53)
}

// recordDefective records a defective response.
func (s *Server) recordDefective(id string, o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.defective = append(s.defective, DefectiveResponse{ID: id, At: time.Now(), Failed: o.fails})
}
