// SPDX-License-Identifier: MIT

package crash

import (
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"shalewick/request"
)

const (
	// gatherDelay is the delay between the first lost request and the probe: a process that
	// ends closes its connections and its listener one after the other, and the requests in
	// flight are lost at about the same time.
	gatherDelay = 25 * time.Millisecond
	// crashWindow is the time after a crash within which lost requests belong to it. A backend
	// server takes longer to restart. Requests that were sent on a closing connection, or that
	// waited for their own deadline, are reported within it.
	crashWindow = 2 * time.Second
	// MaxSuspects limits the suspects of a crash at one instance, which seldom has more
	// requests in flight at a backend server than that has slots.
	MaxSuspects = 24
	// maxCandidates limits the number of backend servers that are tracked at a time.
	maxCandidates = 64
	// maxPathBytes limits the length of the path of a suspect.
	maxPathBytes = 256
)

// Suspect is a request that was in flight at a backend server that crashed.
type Suspect struct {
	Request request.Fingerprint
	// Path is host and path, for operators. It may be truncated.
	Path string
}

// Crash is the end of a backend server with requests in flight.
type Crash struct {
	Backend string
	// Incarnation distinguishes the starts of a backend server under the same name.
	Incarnation int64
	Service     string
	// Suspects are those that were not reported before. A crash may be reported more than
	// once.
	Suspects []Suspect
}

// Loss is a request that was sent to a backend server and not answered completely.
type Loss struct {
	Backend     string
	Incarnation int64
	Service     string
	Suspect     Suspect
	SentAt      time.Duration // when the request was sent, by the detector's clock
	// Open opens a connection to the backend server.
	Open func() error
}

// Detector detects crashes of backend servers. The exported fields must be set before use.
type Detector struct {
	Now func() time.Duration
	// OnCrash is called for each crash, without locks held.
	OnCrash func(Crash)
	// LostToLinks, if set, reports whether this instance's links, and not the backend server, are the
	// cause of a lost request that was sent at a time. It may wait for a response of another one.
	LostToLinks func(backend string, sentAt time.Duration) bool

	mu         sync.Mutex
	candidates map[string]*candidate // by name of the backend server
}

// candidate is a backend server that lost a request recently.
type candidate struct {
	crash     Crash
	crashed   bool          // the crash is confirmed; otherwise the probe is running
	windowEnd time.Duration // lost requests belong to the crash until then
	suspects  int           // number of suspects reported, or waiting for the probe
}

// RecordLoss processes a lost request.
func (d *Detector) RecordLoss(l Loss) {
	if len(l.Suspect.Path) > maxPathBytes {
		l.Suspect.Path = strings.Clone(l.Suspect.Path[:maxPathBytes]) // a part of a string holds all of it
	}
	d.mu.Lock()
	now := d.Now()
	x := d.candidates[l.Backend]
	if x != nil && x.crashed && (now >= x.windowEnd || x.crash.Incarnation != l.Incarnation) {
		delete(d.candidates, l.Backend)
		x = nil
	}
	if x == nil {
		x = d.startProbe(l, now)
	}
	if x == nil || x.suspects >= MaxSuspects {
		d.mu.Unlock()
		return
	}
	x.suspects++
	if !x.crashed {
		x.crash.Suspects = append(x.crash.Suspects, l.Suspect)
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	d.OnCrash(Crash{Backend: l.Backend, Incarnation: l.Incarnation, Service: l.Service, Suspects: []Suspect{l.Suspect}})
}

// startProbe starts to track and probe a backend server, unless too many are tracked. The
// caller must hold d.mu.
func (d *Detector) startProbe(l Loss, now time.Duration) *candidate {
	if d.candidates == nil {
		d.candidates = make(map[string]*candidate)
	}
	if len(d.candidates) >= maxCandidates {
		d.expire(now)
	}
	if len(d.candidates) >= maxCandidates {
		return nil
	}
	x := &candidate{crash: Crash{Backend: l.Backend, Incarnation: l.Incarnation, Service: l.Service}}
	d.candidates[l.Backend] = x
	go d.probe(l, x)
	return x
}

// expire drops the crashes whose window has ended. The caller must hold d.mu.
func (d *Detector) expire(now time.Duration) {
	for name, x := range d.candidates {
		if x.crashed && now >= x.windowEnd {
			delete(d.candidates, name)
		}
	}
}

// probe finds out whether the process of a backend server has ended.
func (d *Detector) probe(l Loss, x *candidate) {
	time.Sleep(gatherDelay)
	ended := errors.Is(l.Open(), syscall.ECONNREFUSED) && (d.LostToLinks == nil || !d.LostToLinks(l.Backend, l.SentAt))
	d.mu.Lock()
	if !ended {
		delete(d.candidates, l.Backend) // it is live, or unreachable
		d.mu.Unlock()
		return
	}
	x.crashed = true
	x.windowEnd = d.Now() + crashWindow
	c := x.crash
	d.mu.Unlock()
	d.OnCrash(c)
}
