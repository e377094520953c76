// SPDX-License-Identifier: MIT

package crash

import (
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"shalewick/request"
)

const (
	// gatherTime is how long after the first lost request a connection is opened: a
	// process that ends closes its connections and its listener one after the other,
	// and what it had in flight is lost at about the same time.
	gatherDelay = 25 * time.Millisecond
	// sameCrash is how long after a crash lost requests belong to it. A backend server
	// that starts again takes longer; what was sent into the end of a connection, or
	// waited for its own deadline, comes within it.
	crashWindow = 2 * time.Second
	// MostSuspects bounds the suspects of a crash at one instance. Origin: an
	// instance seldom has more in flight at one backend server than that has slots.
	MaxSuspects = 24
	// mostWatched bounds the backend servers that are watched at a time.
	maxCandidates = 64
)

// Suspect is a request that was in flight at a backend server that crashed.
type Suspect struct {
	Request request.Fingerprint
	// Path is host and path, for operators. It may be cut short.
	Path string
}

// Crash is the end of a backend server with requests in flight.
type Crash struct {
	Backend string
	// Incarnation tells the starts of a backend server apart that has the same name again.
	Incarnation int64
	Service     string
	// Suspects are those that were not told before; the same crash may be told more
	// than once.
	Suspects []Suspect
}

// Loss is a request that was sent to a backend server and got no whole answer.
type Loss struct {
	Backend     string
	Incarnation int64
	Service     string
	Suspect     Suspect
	// Open opens a connection to the backend server.
	Open func() error
}

// Watch finds the crashes of backend servers. The fields are set before use.
type Detector struct {
	Now func() time.Duration
	// OnCrash is told of each crash. It is called without locks.
	OnCrash func(Crash)

	mu         sync.Mutex
	candidates map[string]*candidate // by name of the backend server
}

// watched is a backend server that lost a request lately.
type candidate struct {
	crash     Crash
	crashed   bool          // it has ended; else it is being asked
	windowEnd time.Duration // for how long lost requests belong to the crash
	suspects  int           // suspects that were told, or left out
}

// Lost takes up a lost request.
func (w *Detector) RecordLoss(l Loss) {
	w.mu.Lock()
	now := w.Now()
	x := w.candidates[l.Backend]
	if x != nil && x.crashed && (now >= x.windowEnd || x.crash.Incarnation != l.Incarnation) {
		delete(w.candidates, l.Backend)
		x = nil
	}
	if x == nil {
		x = w.startProbe(l, now)
	}
	if x == nil || x.suspects >= MaxSuspects {
		w.mu.Unlock()
		return
	}
	x.suspects++
	if !x.crashed {
		x.crash.Suspects = append(x.crash.Suspects, l.Suspect)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.OnCrash(Crash{Backend: l.Backend, Incarnation: l.Incarnation, Service: l.Service, Suspects: []Suspect{l.Suspect}})
}

// begin watches a backend server, unless too many are watched. The caller holds the lock.
func (w *Detector) startProbe(l Loss, now time.Duration) *candidate {
	if w.candidates == nil {
		w.candidates = make(map[string]*candidate)
	}
	if len(w.candidates) >= maxCandidates {
		w.expire(now)
	}
	if len(w.candidates) >= maxCandidates {
		return nil
	}
	x := &candidate{crash: Crash{Backend: l.Backend, Incarnation: l.Incarnation, Service: l.Service}}
	w.candidates[l.Backend] = x
	go w.probe(l, x)
	return x
}

// forget drops the crashes that are over. The caller holds the lock.
func (w *Detector) expire(now time.Duration) {
	for name, x := range w.candidates {
		if x.crashed && now >= x.windowEnd {
			delete(w.candidates, name)
		}
	}
}

// ask finds out whether a backend server has ended.
func (w *Detector) probe(l Loss, x *candidate) {
	time.Sleep(gatherDelay)
	ended := errors.Is(l.Open(), syscall.ECONNREFUSED)
	w.mu.Lock()
	if !ended {
		delete(w.candidates, l.Backend) // it lives
		w.mu.Unlock()
		return
	}
	x.crashed = true
	x.windowEnd = w.Now() + crashWindow
	c := x.crash
	w.mu.Unlock()
	w.OnCrash(c)
}
