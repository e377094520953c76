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
	gatherTime = 25 * time.Millisecond
	// sameCrash is how long after a crash lost requests belong to it. A backend server
	// that starts again takes longer; what was sent into the end of a connection, or
	// waited for its own deadline, comes within it.
	sameCrash = 2 * time.Second
	// MostSuspects bounds the suspects of a crash at one instance. Origin: an
	// instance seldom has more in flight at one backend server than that has slots.
	MostSuspects = 24
	// mostWatched bounds the backend servers that are watched at a time.
	mostWatched = 64
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
type Watch struct {
	Now func() time.Duration
	// OnCrash is told of each crash. It is called without locks.
	OnCrash func(Crash)

	mu      sync.Mutex
	watched map[string]*watched // by name of the backend server
}

// watched is a backend server that lost a request lately.
type watched struct {
	crash   Crash
	crashed bool          // it has ended; else it is being asked
	until   time.Duration // for how long lost requests belong to the crash
	told    int           // suspects that were told, or left out
}

// Lost takes up a lost request.
func (w *Watch) Lost(l Loss) {
	w.mu.Lock()
	now := w.Now()
	x := w.watched[l.Backend]
	if x != nil && x.crashed && (now >= x.until || x.crash.Incarnation != l.Incarnation) {
		delete(w.watched, l.Backend)
		x = nil
	}
	if x == nil {
		x = w.begin(l, now)
	}
	if x == nil || x.told >= MostSuspects {
		w.mu.Unlock()
		return
	}
	x.told++
	if !x.crashed {
		x.crash.Suspects = append(x.crash.Suspects, l.Suspect)
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.OnCrash(Crash{Backend: l.Backend, Incarnation: l.Incarnation, Service: l.Service, Suspects: []Suspect{l.Suspect}})
}

// begin watches a backend server, unless too many are watched. The caller holds the lock.
func (w *Watch) begin(l Loss, now time.Duration) *watched {
	if w.watched == nil {
		w.watched = make(map[string]*watched)
	}
	if len(w.watched) >= mostWatched {
		w.forget(now)
	}
	if len(w.watched) >= mostWatched {
		return nil
	}
	x := &watched{crash: Crash{Backend: l.Backend, Incarnation: l.Incarnation, Service: l.Service}}
	w.watched[l.Backend] = x
	go w.ask(l, x)
	return x
}

// forget drops the crashes that are over. The caller holds the lock.
func (w *Watch) forget(now time.Duration) {
	for name, x := range w.watched {
		if x.crashed && now >= x.until {
			delete(w.watched, name)
		}
	}
}

// ask finds out whether a backend server has ended.
func (w *Watch) ask(l Loss, x *watched) {
	time.Sleep(gatherTime)
	ended := errors.Is(l.Open(), syscall.ECONNREFUSED)
	w.mu.Lock()
	if !ended {
		delete(w.watched, l.Backend) // it lives
		w.mu.Unlock()
		return
	}
	x.crashed = true
	x.until = w.Now() + sameCrash
	c := x.crash
	w.mu.Unlock()
	w.OnCrash(c)
}
