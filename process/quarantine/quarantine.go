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

// Quarantine is what one instance knows of requests that crash backend servers. The fields
// are set before use. Use New.
type Quarantine struct {
	Now func() time.Duration
	// Owners returns the owner of a service, and the one among the instances of the
	// region. It must not call the quarantine.
	Owners func(service string) (owner, regional Owner)
	// Send sends a message to the address of an instance, and SendAll to all others. It
	// may be lost.
	Send    func(address string, text []byte)
	SendAll func(text []byte)
	Log     zerolog.Logger
	// TimeOfDay is for Entry.At.
	TimeOfDay func() time.Time

	refused atomic.Pointer[map[request.Fingerprint]bool] // nil: none
	synced  chan struct{}                                // closed once the instance knows what others knew at its start
	wake    chan struct{}
	answers answerCache

	mu         sync.Mutex
	list       *list
	letThrough map[request.Fingerprint]bool // operators let them through
	ledgers    map[string]*ledger           // by service
	reports    []*pendingReport
	seq        uint32
}

// New returns a quarantine that knows of nothing.
func New() *Quarantine {
	return &Quarantine{
		list: newList(), ledgers: make(map[string]*ledger), wake: make(chan struct{}, 1), synced: make(chan struct{}), TimeOfDay: time.Now,
	}
}

// Refuses reports whether a request is in quarantine and not let through.
func (q *Quarantine) Refuses(f request.Fingerprint) bool {
	m := q.refused.Load()
	return m != nil && (*m)[f]
}

// Answered notes that a backend server answered a request.
func (q *Quarantine) RecordAnswer(f request.Fingerprint) { q.answers.record(f, q.Now()) }

// Crashed takes up the end of a backend server with what was in flight there from this
// instance.
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
	default: // it is awake
	}
}

// Wake is told when Tick has to be called, each TickTime until it returns true.
func (q *Quarantine) Wake() <-chan struct{} { return q.wake }

// Tick sends what is due and decides what can be decided. It reports whether there is
// nothing more to do for now.
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

// judge finds the culprits, and returns what to tell of them. The caller holds the lock.
func (q *Quarantine) quarantineCulprits(now time.Duration) (out []message) {
	for service, l := range q.ledgers {
		for _, x := range l.culprits(now) {
			if at, ok := q.answers.last(x.Request); ok && at > x.firstCrash {
				l.removeSuspect(x.Request, at)
				continue
			}
			l.attribute(x.Request)
			if q.letThrough[x.Request] {
				continue // an operator has decided
			}
			e := q.list.entries[x.Request]
			e.Request, e.Service, e.Path, e.Crashes = x.Request, service, x.Path, x.crashes
			e.At = q.TimeOfDay().UnixMilli()
			e.Stamp += 1 + e.Stamp%2 // odd; one that is in quarantine is blamed anew only after it was let through
			out = append(out, q.announce(e, now-x.firstCrash)...)
		}
	}
	return out
}

// change takes up an entry that this instance has made, and returns the message that tells
// the others. The caller holds the lock.
func (q *Quarantine) announce(e Entry, first time.Duration) []message {
	q.merge(e, "")
	text, err := encode(kindEntry, &entryUpdate{Entry: e, FirstMs: milliseconds(first)})
	if err != nil {
		q.Log.Error().Err(err).Msg("quarantine-entry-failed")
		return nil
	}
	return []message{{"", text}}
}

// merge takes up an entry from an instance, "" for this one, and reports whether it was
// news. The caller holds the lock.
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

// publish sets what is refused. The caller holds the lock.
func (q *Quarantine) updateRefused() {
	refused := make(map[request.Fingerprint]bool)
	for f, e := range q.list.entries {
		if e.Quarantined() && !q.letThrough[f] {
			refused[f] = true
		}
	}
	if len(refused) == 0 {
		q.refused.Store(nil)
		return
	}
	q.refused.Store(&refused)
}

// LetThrough sets which requests operators let through though they are in quarantine.
func (q *Quarantine) LetThrough(let map[request.Fingerprint]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logLetThrough(let)
	q.letThrough = let
	q.updateRefused()
}

// logLet writes what operators have changed. The caller holds the lock.
func (q *Quarantine) logLetThrough(let map[request.Fingerprint]bool) {
	for f := range let {
		if !q.letThrough[f] {
			q.Log.Warn().Str("request", f.String()).Msg("request-let-through")
		}
	}
	for f := range q.letThrough {
		if !let[f] {
			q.Log.Warn().Str("request", f.String()).Msg("request-not-let-through")
		}
	}
}
