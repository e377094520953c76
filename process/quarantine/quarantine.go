// SPDX-License-Identifier: MIT

package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"shalewick/process/crash"
	"shalewick/request"
)

// Quarantine is the state of one instance about requests that crash backend servers. Create
// it with New, and set the exported fields before use.
type Quarantine struct {
	Now func() time.Duration
	// Owners returns the owner of a service, and the owner among the instances of the region.
	// It must not call the Quarantine.
	Owners func(service string) (owner, regional Owner)
	// Send sends a message to the address of an instance, and SendAll to all others. Messages
	// may be lost.
	Send    func(address string, payload []byte)
	SendAll func(payload []byte)
	Log     zerolog.Logger
	// TimeOfDay sets Entry.At.
	TimeOfDay func() time.Time

	refused   atomic.Pointer[map[request.Fingerprint]bool] // nil if empty
	synced    chan struct{}                                // closed once the instance has the entries that others had when it started
	wake      chan struct{}
	responses responseCache

	mu       sync.Mutex
	list     *list
	released map[request.Fingerprint]bool // by operators
	ledgers  map[string]*ledger           // by service
	reports  []*pendingReport
	seq      uint32
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{
		list: newList(), ledgers: make(map[string]*ledger), wake: make(chan struct{}, 1), synced: make(chan struct{}), TimeOfDay: time.Now,
	}
}

// Refuses reports whether a request is in quarantine and has not been released by operators.
func (q *Quarantine) Refuses(f request.Fingerprint) bool {
	m := q.refused.Load()
	return m != nil && (*m)[f]
}

// RecordResponse records that a backend server answered a request.
func (q *Quarantine) RecordResponse(f request.Fingerprint) { q.responses.record(f, q.Now()) }

// RecordCrash reports a crash of a backend server and the requests of this instance that
// were in flight there.
func (q *Quarantine) RecordCrash(c crash.Crash) {
	q.mu.Lock()
	now := q.Now()
	q.reports = append(q.reports, q.newReport(c, now))
	if len(q.reports) > maxReports {
		q.reports = q.reports[1:]
	}
	out := q.sendReports(now)
	q.mu.Unlock()
	q.sendMessages(out)
	q.wakeUp()
}

func (q *Quarantine) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default: // already signalled
	}
}

// Wake signals that Tick has to be called every TickInterval until it returns true.
func (q *Quarantine) Wake() <-chan struct{} { return q.wake }

// Tick sends due reports and quarantines the culprits found. It reports whether nothing is
// left to do for now.
func (q *Quarantine) Tick() (idle bool) {
	q.mu.Lock()
	now := q.Now()
	out := append(q.sendReports(now), q.quarantineCulprits(now)...)
	idle = q.idle(now)
	q.mu.Unlock()
	q.sendMessages(out)
	return idle
}

func (q *Quarantine) sendMessages(list []message) {
	for _, m := range list {
		if m.address == "" {
			q.SendAll(m.payload)
		} else {
			q.Send(m.address, m.payload)
		}
	}
}

// quarantineCulprits quarantines the culprits found, and returns the messages that announce
// them. The caller must hold q.mu.
func (q *Quarantine) quarantineCulprits(now time.Duration) (out []message) {
	for service, l := range q.ledgers {
		for _, x := range l.culprits(now) {
			if at, ok := q.responses.last(x.Request); ok && at > x.firstCrash {
				l.removeSuspect(x.Request, at)
				continue
			}
			l.attribute(x.Request)
			if q.released[x.Request] {
				continue // operators have decided already
			}
			e := q.list.entries[x.Request]
			e.Request, e.Service, e.Path, e.Crashes = x.Request, service, x.Path, x.crashes
			e.At = q.TimeOfDay().UnixMilli()
			e.Stamp += 1 + e.Stamp%2 // odd; a request in quarantine gets a new verdict only after it was released
			out = append(out, q.announce(e, now-x.firstCrash)...)
		}
	}
	return out
}

// announce adds an entry that this instance has created or changed, and returns the message
// for the other instances. The caller must hold q.mu.
func (q *Quarantine) announce(e Entry, firstAge time.Duration) []message {
	q.merge(e, "")
	payload, err := encode(kindEntry, &entryUpdate{Entry: e, FirstMs: milliseconds(firstAge)})
	if err != nil {
		q.Log.Error().Err(err).Msg("quarantine-entry-failed")
		return nil
	}
	return []message{{"", payload}}
}

// merge adds an entry that was received from an instance, "" for this one, and reports whether
// it was new. The caller must hold q.mu.
func (q *Quarantine) merge(e Entry, from string) bool {
	if !q.list.merge(e) {
		return false
	}
	event := "request-withdrawn"
	if e.Quarantined() {
		event = "request-quarantined"
		for _, l := range q.ledgers {
			l.attribute(e.Request)
		}
	}
	q.Log.Warn().Str("request", e.Request.String()).Str("service", e.Service).Str("path", e.Path).Int("crashes", e.Crashes).
		Uint32("stamp", e.Stamp).Str("from", from).Int("quarantined", len(q.list.entries)).Msg(event)
	q.updateRefused()
	return true
}

// updateRefused updates the set of refused requests. The caller must hold q.mu.
func (q *Quarantine) updateRefused() {
	refused := make(map[request.Fingerprint]bool)
	for f, e := range q.list.entries {
		if e.Quarantined() && !q.released[f] {
			refused[f] = true
		}
	}
	if len(refused) == 0 {
		q.refused.Store(nil)
		return
	}
	q.refused.Store(&refused)
}

// SetReleased sets the requests that operators have released although they are in quarantine.
func (q *Quarantine) SetReleased(released map[request.Fingerprint]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logReleased(released)
	q.released = released
	q.updateRefused()
}

// logReleased logs the changes of operators. The caller must hold q.mu.
func (q *Quarantine) logReleased(released map[request.Fingerprint]bool) {
	for f := range released {
		if !q.released[f] {
			q.Log.Warn().Str("request", f.String()).Msg("request-let-through")
		}
	}
	for f := range q.released {
		if !released[f] {
			q.Log.Warn().Str("request", f.String()).Msg("request-not-let-through")
		}
	}
}
