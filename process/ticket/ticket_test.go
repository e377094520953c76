// SPDX-License-Identifier: MIT

package ticket

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clock is a clock that the test sets.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Duration { return time.Duration(c.at.Load()) }

func TestTicketBeginsOnce(t *testing.T) {
	var c clock
	l := NewLedger("m", c.now)
	text := l.Issue().String()
	var firsts atomic.Int64
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			tk, err := Parse(text)
			assert.Check(t, err)
			e, first, err := l.Begin(tk)
			assert.Check(t, err)
			if first {
				firsts.Add(1)
				l.Finish(e, Outcome{Status: 200, Retained: true})
			}
			<-e.Done
			assert.Check(t, l.Outcome(e).Status == 200)
		})
	}
	wg.Wait()
	assert.Equal(t, firsts.Load(), int64(1))
}

func TestForgedExpiredAndForeignTickets(t *testing.T) {
	var c clock
	l, other := NewLedger("m", c.now), NewLedger("m", c.now)
	_, _, err := l.Begin(other.Issue())
	assert.ErrorIs(t, err, ErrForged)
	expired := l.Issue()
	c.at.Store(int64(Lifetime + 1))
	_, _, err = l.Begin(expired)
	assert.ErrorIs(t, err, ErrExpired)
	_, _, err = l.Begin(NewLedger("n", c.now).Issue())
	assert.ErrorIs(t, err, ErrOtherMember)
}

// Hands over a used, a running and an unused ticket to a successor. Only the unused
// one may still run.
func TestSuccessorInheritsTickets(t *testing.T) {
	var c, nextClock clock
	nextClock.at.Store(int64(time.Hour))
	l, next := NewLedger("m", c.now), NewLedger("n", nextClock.now)
	used, running, unused := l.Issue(), l.Issue(), l.Issue()
	e, _, err := l.Begin(used)
	assert.NilError(t, err)
	l.Finish(e, Outcome{Status: 201, Retained: true})
	_, _, err = l.Begin(running)
	assert.NilError(t, err)
	for _, h := range l.Stop() {
		assert.NilError(t, next.Inherit(h))
	}
	_, _, err = l.Begin(unused)
	assert.ErrorIs(t, err, ErrStopped)
	e, first, err := next.Begin(used)
	assert.NilError(t, err)
	assert.Assert(t, !first && next.Outcome(e).Status == 201)
	e, first, err = next.Begin(running)
	assert.NilError(t, err)
	assert.Assert(t, !first && !next.Outcome(e).Retained)
	_, first, err = next.Begin(unused)
	assert.NilError(t, err)
	assert.Assert(t, first)
	nextClock.at.Add(int64(ResponseRetention + 1))
	next.Purge()
	e, first, err = next.Begin(used)
	assert.NilError(t, err)
	assert.Assert(t, !first && !next.Outcome(e).Retained) // the response is dropped, but not the use
	nextClock.at.Add(int64(2*Lifetime + time.Second))
	next.Purge()
	_, _, err = next.Begin(used)
	assert.ErrorIs(t, err, ErrExpired) // the entry is purged, and the ticket is too old to run again
}

func FuzzParse(f *testing.F) {
	var c clock
	l := NewLedger("m", c.now)
	f.Add(l.Issue().String())
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		tk, err := Parse(text)
		if err != nil {
			return
		}
		reparsed, err := Parse(tk.String())
		assert.NilError(t, err)
		assert.Equal(t, reparsed, tk)
		if _, _, err := l.Begin(tk); err == nil && tk.Member != "m" {
			t.Fatal("a foreign ticket was begun")
		}
	})
}

// TestRetainedResponsesAreBounded guards against responses that take any amount of memory, since callers use many tickets within
// ResponseRetention. The oldest are dropped, and their tickets stay used.
func TestRetainedResponsesAreBounded(t *testing.T) {
	var c clock
	l := NewLedger("m", c.now)
	const tickets = 2 * maxRetainedBytes / MaxRetainedBody
	var used []Ticket
	body := make([]byte, MaxRetainedBody)
	for range tickets {
		tk := l.Issue()
		e, first, err := l.Begin(tk)
		assert.NilError(t, err)
		assert.Assert(t, first)
		l.Finish(e, Outcome{Status: 200, Header: http.Header{"A": {"b"}}, Body: body, Retained: true})
		used = append(used, tk)
	}
	retained := 0
	for _, tk := range used {
		e, first, err := l.Begin(tk)
		assert.NilError(t, err)
		assert.Assert(t, !first)
		if l.Outcome(e).Retained {
			retained++
		} else {
			assert.Equal(t, retained, 0, "a newer response than the retained ones is dropped")
		}
	}
	assert.Assert(t, retained > tickets/3 && retained*MaxRetainedBody <= maxRetainedBytes, "%d of %d", retained, tickets)
	c.at.Store(int64(ResponseRetention + 1))
	l.Purge()
	assert.Equal(t, l.retainedBytes, int64(0))
}
