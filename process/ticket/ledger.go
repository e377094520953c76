// SPDX-License-Identifier: MIT

package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Reasons why a ticket cannot be begun here.
const (
	ErrOtherMember = errors.ConstError("the ticket belongs to another member")
	ErrForged      = errors.ConstError("the ticket was not issued by the member that it names")
	ErrExpired     = errors.ConstError("the ticket is too old")
	ErrStopped     = errors.ConstError("the member dispatches no more tickets")
)

// Limits on the responses that are retained for repeated calls.
const (
	// MaxRetainedBody is the maximum size of a retained response body, in bytes.
	MaxRetainedBody = 16 << 10
	// maxRetainedBytes is the maximum size of all retained responses, in bytes. The oldest ones are dropped above it.
	maxRetainedBytes = 64 << 20
	// ResponseRetention is how long a response is retained unless there are too many; the next Purge
	// after that drops it. The use of the ticket is remembered for longer.
	ResponseRetention = time.Minute
)

// Outcome is the result of a request with a ticket.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
	// Retained is false if the response was too large to retain.
	Retained bool
}

// Entry is a used ticket. Done is closed once it has an outcome, which
// Ledger.Outcome returns.
type Entry struct {
	Done     chan struct{}
	outcome  Outcome
	issued   time.Duration // the issuer's age at the time of issue
	finished time.Duration // on the ledger's clock
}

// memberTickets holds the key and the used tickets of one member.
type memberTickets struct {
	key     []byte
	started time.Duration // on this process's clock; may precede the process's start if inherited
	used    map[Nonce]*Entry
}

// Ledger records the used tickets of one member and of those that it succeeded.
type Ledger struct {
	self string
	now  func() time.Duration

	mu      sync.Mutex
	tickets map[string]*memberTickets
	stopped bool
	// retained holds the entries with a retained response, oldest first.
	retained      []*Entry
	retainedBytes int64
}

// NewLedger returns the ledger of a new member. Now returns the time since some
// fixed point.
func NewLedger(self string, now func() time.Duration) *Ledger {
	own := &memberTickets{key: newKey(), started: now(), used: make(map[Nonce]*Entry)}
	return &Ledger{self: self, now: now, tickets: map[string]*memberTickets{self: own}}
}

// Issue returns a new ticket that only this member may dispatch.
func (l *Ledger) Issue() Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.tickets[l.self]
	t := Ticket{Member: l.self, Issued: l.now() - m.started}
	_, _ = rand.Read(t.Nonce[:]) // never fails, see crypto/rand
	t.mac = t.sum(m.key)
	return t
}

// Owns reports whether this ledger is responsible for a member's tickets.
func (l *Ledger) Owns(member string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tickets[member] != nil
}

// Begin uses a ticket. The caller for which first is true must dispatch the
// request and call Finish; all others wait for Done.
func (l *Ledger) Begin(t Ticket) (e *Entry, first bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.tickets[t.Member]
	if m == nil {
		return nil, false, ErrOtherMember
	}
	want := t.sum(m.key)
	if !hmac.Equal(want[:], t.mac[:]) {
		return nil, false, ErrForged
	}
	if e := m.used[t.Nonce]; e != nil {
		return e, false, nil
	}
	if l.now()-m.started-t.Issued > Lifetime {
		return nil, false, ErrExpired
	}
	if l.stopped {
		return nil, false, ErrStopped
	}
	e = &Entry{Done: make(chan struct{}), issued: t.Issued}
	m.used[t.Nonce] = e
	return e, true, nil
}

// Finish records the outcome of an entry.
func (l *Ledger) Finish(e *Entry, outcome Outcome) {
	l.mu.Lock()
	l.retain(e, outcome)
	l.mu.Unlock()
	close(e.Done)
}

// retain records the outcome of an entry if its response is retained. The caller holds the lock.
func (l *Ledger) retain(e *Entry, outcome Outcome) {
	e.finished = l.now()
	if !outcome.Retained {
		return
	}
	e.outcome = outcome
	l.retained = append(l.retained, e)
	l.retainedBytes += outcome.size()
	for l.retainedBytes > maxRetainedBytes {
		l.dropOldest()
	}
}

// dropOldest drops the response that has been retained for longest. The caller holds the lock.
func (l *Ledger) dropOldest() {
	e := l.retained[0]
	l.retained[0] = nil
	l.retained = l.retained[1:]
	l.retainedBytes -= e.outcome.size()
	e.outcome = Outcome{}
}

// size returns the memory of a response in bytes.
func (o *Outcome) size() int64 {
	n := len(o.Body)
	for name, values := range o.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerOverhead
		}
	}
	return int64(n)
}

// headerOverhead is the memory of a header field beside its bytes.
const headerOverhead = 200

// Outcome returns the outcome of an entry whose Done is closed. The response may
// have been dropped since.
func (l *Ledger) Outcome(e *Entry) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.outcome
}

// Purge drops responses that were retained for ResponseRetention, and forgets
// tickets that are too old to be used. It should be called about once a minute.
func (l *Ledger) Purge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.tickets {
		age := l.now() - m.started
		for n, e := range m.used {
			// Twice the lifetime, because the first use can be at its end.
			if age-e.issued > 2*Lifetime {
				delete(m.used, n)
			}
		}
	}
	for len(l.retained) > 0 && l.now()-l.retained[0].finished > ResponseRetention {
		l.dropOldest()
	}
}

// Record is a used ticket in a handover. Its Outcome is zero if the outcome was not
// known or the response is no longer retained.
type Record struct {
	Nonce   Nonce
	Outcome Outcome
}

// Handover is what a successor needs to become responsible for a member's tickets.
type Handover struct {
	Member  string
	Key     []byte
	Age     time.Duration
	Records []Record
}

// Stop permanently stops the dispatch of tickets here, and returns the handovers
// for the successor. Requests that are still running are recorded without their
// response.
func (l *Ledger) Stop() []Handover {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	var out []Handover
	for member, m := range l.tickets {
		h := Handover{Member: member, Key: m.key, Age: l.now() - m.started}
		for n, e := range m.used {
			h.Records = append(h.Records, Record{Nonce: n, Outcome: e.outcome})
		}
		out = append(out, h)
	}
	return out
}

// Inherit takes over a member's tickets. It fails if this ledger is stopped or is
// already responsible for that member.
func (l *Ledger) Inherit(h Handover) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return ErrStopped
	}
	if l.tickets[h.Member] != nil {
		return errors.Errorf("the tickets of %s have been inherited already", h.Member)
	}
	m := &memberTickets{key: h.Key, started: l.now() - h.Age, used: make(map[Nonce]*Entry)}
	for _, r := range h.Records {
		e := &Entry{Done: make(chan struct{}), issued: h.Age}
		l.retain(e, r.Outcome)
		close(e.Done)
		m.used[r.Nonce] = e
	}
	l.tickets[h.Member] = m
	return nil
}
