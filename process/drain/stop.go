// SPDX-License-Identifier: MIT

package drain

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"shalewick/process/metric"
)

// maxStepDelay is how late a step of a stop may begin without a log line. Later steps show a process that was
// suspended, or got too little processor time.
const maxStepDelay = 100 * time.Millisecond

// Stop logs the steps of a planned stop. Begin, Step and Cut are called by one goroutine. A nil Stop is one that
// never begins.
type Stop struct {
	Log      zerolog.Logger
	Metrics  *metric.Set
	InFlight func() int64 // number of requests in flight
	Callers  *Conns       // connections of callers
	Others   *Conns       // of other instances; nil: they have none
	Queries  *Conns       // of clients whose requests are not tracked; nil: they have none

	start    time.Time
	step     atomic.Pointer[string] // nil: the stop has not begun
	rejected atomic.Int64
	ended    int
	cut      int
}

// Begin begins the stop with its first step, and logs it. Start is when the process was told to stop.
func (s *Stop) Begin(step string, start time.Time) {
	s.start = start
	s.step.Store(&step)
	s.addCounts(s.Log.Info().Str("step", step)).Msg("stopping")
	s.logLate(step, time.Since(start))
}

// Start returns when the stop began.
func (s *Stop) Start() time.Time { return s.start }

// Step begins a step that was due at a time at the latest. The zero time means that it had none.
func (s *Stop) Step(step string, due time.Time) {
	now := time.Now()
	s.step.Store(&step)
	s.addCounts(s.Log.Info().Str("step", step).Dur("after", now.Sub(s.start))).Msg("stop-step")
	if !due.IsZero() {
		s.logLate(step, now.Sub(due))
	}
}

// logLate logs a step that began late by more than maxStepDelay.
func (s *Stop) logLate(step string, by time.Duration) {
	if by > maxStepDelay {
		s.Log.Warn().Str("step", step).Dur("by", by).Msg("stop-late")
	}
}

// Current returns the current step, or "" before the stop.
func (s *Stop) Current() string {
	if s == nil {
		return ""
	}
	if step := s.step.Load(); step != nil {
		return *step
	}
	return ""
}

// CountRejected counts a request that was rejected since the process stops.
func (s *Stop) CountRejected() {
	if s != nil {
		s.rejected.Add(1)
		s.Metrics.Counter("requests_rejected_leaving_total").Inc(1)
	}
}

// Limits of the waits for responses, in polls of pollInterval. They are not limits of time: a process that was suspended or
// gets little processor time must still write its responses before it closes their connections.
const (
	pollInterval = 10 * time.Millisecond
	// maxArrivedPolls is for responses of backend servers that have arrived.
	maxArrivedPolls = 3
	// maxWritePolls is for the responses to requests that have been ended.
	maxWritePolls = 25
)

// EndRequests waits until no request is in flight, at least until a time if there are any. It then ends those that are left, and waits until
// their responses have been written. Requests that are read from now on must be rejected.
func (s *Stop) EndRequests(from time.Time) {
	for s.pending() > 0 && time.Now().Before(from) {
		s.Callers.EndIdle(0)
		time.Sleep(pollInterval)
	}
	s.awaitResponses(maxArrivedPolls)
	var ended []*Request
	for _, r := range s.inFlight() {
		if r.end() {
			ended = append(ended, r)
		}
	}
	s.ended = len(ended)
	for _, r := range ended {
		r.logEnd(&s.Log, s.Current(), "request-ended")
	}
	s.awaitResponses(maxWritePolls)
}

// awaitResponses waits until no response is left to be written.
func (s *Stop) awaitResponses(maxPolls int) {
	for range maxPolls {
		s.Callers.EndIdle(0)
		if s.pending() == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// pending returns the number of responses that are left to be written.
func (s *Stop) pending() int {
	return len(s.inFlight()) + s.Callers.untracked() + s.Queries.Serving()
}

// inFlight returns the requests whose responses have not been written.
func (s *Stop) inFlight() (out []*Request) {
	for _, conns := range []*Conns{s.Callers, s.Others} {
		for _, t := range conns.list() {
			if r := t.request.Load(); r != nil && state(t.state.Load()).serving() && phase(r.phase.Load()) != phaseWritten {
				out = append(out, r)
			}
		}
	}
	return out
}

// untracked returns the number of connections of which the handler has just got a request.
func (s *Conns) untracked() (count int) {
	for _, t := range s.list() {
		if t.request.Load() == nil && state(t.state.Load()) == stateServing {
			count++
		}
	}
	return count
}

// Cut logs the requests in flight, whose connections are about to be closed.
func (s *Stop) Cut() {
	for _, r := range s.inFlight() {
		r.logEnd(&s.Log, s.Current(), "request-cut")
		s.cut++
	}
	s.Metrics.Counter("requests_cut_total").Inc(int64(s.cut))
}

// End begins the line that logs the end of the stop.
func (s *Stop) End() *zerolog.Event {
	return s.addCounts(s.Log.Info()).Int("requestsEnded", s.ended).Int("requestsCut", s.cut).Int64("requestsRejected", s.rejected.Load()).Dur("took", time.Since(s.start))
}

// addCounts adds the number of requests in flight and that of callers' connections in each state.
func (s *Stop) addCounts(e *zerolog.Event) *zerolog.Event {
	var counts [stateEnded + 1]int
	for _, t := range s.Callers.list() {
		counts[t.state.Load()]++
	}
	return e.Int64("running", s.InFlight()).Int("connsNew", counts[stateNew]).Int("connsIdle", counts[stateIdle]).
		Int("connsReading", counts[stateReading]).Int("connsServing", counts[stateServing]+counts[stateServingNext]+counts[stateAnswered])
}
