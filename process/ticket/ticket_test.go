// SPDX-License-Identifier: MIT

package ticket

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clock is a clock that the test moves.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Duration { return time.Duration(c.at.Load()) }

func TestFirstUseOnlyOnce(t *testing.T) {
	var c clock
	l := NewLedger("m", c.now)
	text := l.Issue().String()
	var firsts atomic.Int64
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			tk, err := Parse(text)
			assert.Check(t, err)
			e, first, err := l.Begin(tk)
			assert.Check(t, err)
			if first {
				firsts.Add(1)
				l.Finish(e, Outcome{Status: 200, Kept: true})
			}
			<-e.Done
			assert.Check(t, l.Outcome(e).Status == 200)
		})
	}
	all.Wait()
	assert.Equal(t, firsts.Load(), int64(1))
}

func TestForgedExpiredAndForeignTickets(t *testing.T) {
	var c clock
	l, other := NewLedger("m", c.now), NewLedger("m", c.now)
	_, _, err := l.Begin(other.Issue())
	assert.ErrorIs(t, err, Forged)
	old := l.Issue()
	c.at.Store(int64(Life + 1))
	_, _, err = l.Begin(old)
	assert.ErrorIs(t, err, Expired)
	_, _, err = l.Begin(NewLedger("n", c.now).Issue())
	assert.ErrorIs(t, err, NotHere)
}

// TestSuccessorAnswers hands over a book with a used, a running and an unused
// ticket.
func TestSuccessorAnswers(t *testing.T) {
	var c, d clock
	d.at.Store(int64(time.Hour))
	l, next := NewLedger("m", c.now), NewLedger("n", d.now)
	used, running, unused := l.Issue(), l.Issue(), l.Issue()
	e, _, err := l.Begin(used)
	assert.NilError(t, err)
	l.Finish(e, Outcome{Status: 201, Kept: true})
	_, _, err = l.Begin(running)
	assert.NilError(t, err)
	for _, bk := range l.Stop() {
		assert.NilError(t, next.Inherit(bk))
	}
	_, _, err = l.Begin(unused)
	assert.ErrorIs(t, err, Stopped)
	e, first, err := next.Begin(used)
	assert.NilError(t, err)
	assert.Assert(t, !first && next.Outcome(e).Status == 201)
	e, first, err = next.Begin(running)
	assert.NilError(t, err)
	assert.Assert(t, !first && !next.Outcome(e).Kept)
	_, first, err = next.Begin(unused)
	assert.NilError(t, err)
	assert.Assert(t, first)
	d.at.Add(int64(KeepTime + 1))
	next.Purge()
	e, first, err = next.Begin(used)
	assert.NilError(t, err)
	assert.Assert(t, !first && !next.Outcome(e).Kept) // the answer is dropped, the use is not
	d.at.Add(int64(2*Life + time.Second))
	next.Purge()
	_, _, err = next.Begin(used)
	assert.ErrorIs(t, err, Expired) // forgotten, and too old to run again
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
		back, err := Parse(tk.String())
		assert.NilError(t, err)
		assert.Equal(t, back, tk)
		if _, _, err := l.Begin(tk); err == nil && tk.Member != "m" {
			t.Fatal("a foreign ticket was begun")
		}
	})
}
