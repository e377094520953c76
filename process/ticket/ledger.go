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

// The reasons why a ticket can not be begun here.
const (
	NotHere = errors.ConstError("the ticket belongs to another member")
	Forged  = errors.ConstError("the ticket was not issued by the member it names")
	Expired = errors.ConstError("the ticket is too old")
	Stopped = errors.ConstError("the member dispatches no more tickets")
)

// Bounds of what is kept of an answer for further calls.
const (
	// MaxKeptBody bounds its size, in bytes.
	MaxKeptBody = 16 << 10
	// KeepTime is how long it is kept at least, and no more than a purge
	// longer. That the ticket was used is known for longer.
	KeepTime = time.Minute
)

// Outcome is the end of a ticketed request.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
	// Kept is false when the answer was too large to keep.
	Kept bool
}

// Entry is one used ticket. Done is closed once it has an outcome, which
// Ledger.Outcome tells.
type Entry struct {
	Done     chan struct{}
	outcome  Outcome
	issued   time.Duration // age of the issuer
	finished time.Duration // on the ledger's clock
}

// book is what is known of one member's tickets.
type book struct {
	key     []byte
	started time.Duration // on this process's clock; before it for inherited books
	used    map[Nonce]*Entry
}

// Ledger keeps the tickets of one member and of those it succeeded.
type Ledger struct {
	self string
	now  func() time.Duration

	mu      sync.Mutex
	books   map[string]*book
	stopped bool
}

// NewLedger returns the ledger of a new member. Now is the time since some
// fixed point.
func NewLedger(self string, now func() time.Duration) *Ledger {
	own := &book{key: newKey(), started: now(), used: make(map[Nonce]*Entry)}
	return &Ledger{self: self, now: now, books: map[string]*book{self: own}}
}

// Issue returns a new ticket that only this member may dispatch.
func (l *Ledger) Issue() Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.books[l.self]
	t := Ticket{Member: l.self, Issued: l.now() - b.started}
	_, _ = rand.Read(t.Nonce[:]) // never fails, see crypto/rand
	t.mac = t.sum(b.key)
	return t
}

// Holds reports whether this ledger answers for a member's tickets.
func (l *Ledger) Holds(member string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.books[member] != nil
}

// Begin uses a ticket. The caller for which first is true must dispatch the
// request and call Finish; any other waits for Done.
func (l *Ledger) Begin(t Ticket) (e *Entry, first bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.books[t.Member]
	if b == nil {
		return nil, false, NotHere
	}
	want := t.sum(b.key)
	if !hmac.Equal(want[:], t.mac[:]) {
		return nil, false, Forged
	}
	if e := b.used[t.Nonce]; e != nil {
		return e, false, nil
	}
	if l.now()-b.started-t.Issued > Life {
		return nil, false, Expired
	}
	if l.stopped {
		return nil, false, Stopped
	}
	e = &Entry{Done: make(chan struct{}), issued: t.Issued}
	b.used[t.Nonce] = e
	return e, true, nil
}

// Finish records the outcome of an entry.
func (l *Ledger) Finish(e *Entry, o Outcome) {
	l.mu.Lock()
	e.outcome = o
	e.finished = l.now()
	l.mu.Unlock()
	close(e.Done)
}

// Outcome returns the outcome of an entry whose Done is closed. Its answer may
// no longer be kept.
func (l *Ledger) Outcome(e *Entry) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.outcome
}

// Purge drops answers that were kept for long enough, and forgets tickets that
// are too old to be used. It is called every minute or so.
func (l *Ledger) Purge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.books {
		age := l.now() - b.started
		for n, e := range b.used {
			// Twice the life: the first use can be at the end of the first.
			if age-e.issued > 2*Life {
				delete(b.used, n)
			}
			if e.outcome.Kept && l.now()-e.finished > KeepTime {
				e.outcome = Outcome{}
			}
		}
	}
}

// Record is a used ticket in a handed over book. Done is false for one whose
// outcome was not known.
type Record struct {
	Nonce   Nonce
	Outcome Outcome
}

// Book is what a successor needs to answer for a member's tickets.
type Book struct {
	Member  string
	Key     []byte
	Age     time.Duration
	Records []Record
}

// Stop ends the dispatching of tickets here, for good, and returns the books
// to hand over. Requests that still run are recorded without their answer.
func (l *Ledger) Stop() []Book {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	var out []Book
	for member, b := range l.books {
		bk := Book{Member: member, Key: b.key, Age: l.now() - b.started}
		for n, e := range b.used {
			bk.Records = append(bk.Records, Record{Nonce: n, Outcome: e.outcome})
		}
		out = append(out, bk)
	}
	return out
}

// Inherit takes over a book. It refuses once this ledger is stopped, or when
// it has a book of that member.
func (l *Ledger) Inherit(bk Book) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return Stopped
	}
	if l.books[bk.Member] != nil {
		return errors.Errorf("the book of %s is here already", bk.Member)
	}
	b := &book{key: bk.Key, started: l.now() - bk.Age, used: make(map[Nonce]*Entry)}
	for _, r := range bk.Records {
		e := &Entry{Done: make(chan struct{}), outcome: r.Outcome, issued: bk.Age, finished: l.now()}
		close(e.Done)
		b.used[r.Nonce] = e
	}
	l.books[bk.Member] = b
	return nil
}
