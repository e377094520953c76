// SPDX-License-Identifier: MIT

package quarantine

import (
	"github.com/juju/errors"

	"shalewick/request"
)

// Hear takes up a message of another instance from its address, and reports whether it is
// one of a quarantine.
func (q *Quarantine) Receive(from string, text []byte) bool {
	if len(text) == 0 || text[0] < kindReport || text[0] > kindObjection {
		return false
	}
	kind, body := text[0], text[1:]
	var err error
	switch kind {
	case kindReport:
		err = q.receiveReport(from, body)
	case kindConfirmation:
		err = q.receiveConfirmation(from, body)
	case kindEntry:
		err = q.receiveEntry(from, body)
	case kindObjection:
		err = q.receiveObjection(from, body)
	}
	if err != nil {
		q.Log.Info().Err(err).Str("from", from).Msg("quarantine-message-skipped")
	}
	return true
}

func (q *Quarantine) receiveReport(from string, body []byte) error {
	r, err := decodeReport(body)
	if err != nil {
		return err
	}
	text, err := encode(kindConfirmation, &confirmation{Seq: r.Seq})
	if err != nil {
		return err
	}
	q.mu.Lock()
	now := q.Now()
	q.addReport(&r, now-duration(r.AgeMs), now)
	q.mu.Unlock()
	q.Send(from, text)
	q.wakeUp()
	return nil
}

func (q *Quarantine) receiveConfirmation(from string, body []byte) error {
	c, err := decode[confirmation](body)
	if err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.reports {
		if p.report.Seq != c.Seq {
			continue
		}
		owner, regional := q.Owners(p.report.Service)
		if owner.Address == from {
			p.confirmedBy = owner.Name
		}
		if regional.Address == from {
			p.regionalBy = regional.Name
		}
	}
	return nil
}

// hearEntry takes up an entry, and objects if this instance has answered the request since
// the first crash that it is blamed for.
func (q *Quarantine) receiveEntry(from string, body []byte) error {
	t, err := decode[entryUpdate](body)
	if err != nil {
		return err
	}
	q.mu.Lock()
	now := q.Now()
	news := q.merge(t.Entry, from)
	q.mu.Unlock()
	at, answered := q.answers.last(t.Entry.Request)
	if !news || !t.Entry.Quarantined() || !answered || at <= now-duration(t.FirstMs) {
		return nil
	}
	text, err := encode(kindObjection, &objection{Request: t.Entry.Request, Stamp: t.Entry.Stamp})
	if err != nil {
		return err
	}
	q.Send(from, text)
	return nil
}

// hearObjection withdraws an entry.
func (q *Quarantine) receiveObjection(_ string, body []byte) error {
	o, err := decode[objection](body)
	if err != nil {
		return err
	}
	q.mu.Lock()
	e := q.list.entries[o.Request]
	var out []message
	if e.Stamp == o.Stamp && e.Quarantined() {
		e.Stamp++
		out = q.announce(e, 0)
	}
	q.mu.Unlock()
	q.sendMessages(out)
	return nil
}

// Digest tells whether two instances know the same entries: then theirs are equal.
func (q *Quarantine) Digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.digest
}

// Learned reports whether the instance knows what others knew when it started.
func (q *Quarantine) Synced() bool {
	select {
	case <-q.synced:
		return true
	default:
		return false
	}
}

// LearnedAll returns a channel that is closed once Learned.
func (q *Quarantine) SyncDone() <-chan struct{} { return q.synced }

// Learn takes up entries that were kept somewhere, and notes that what was known at the
// start is known now.
func (q *Quarantine) LoadEntries(entries []Entry, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeAll(entries, from)
	q.markSynced()
}

// takeUp merges a list. The caller holds the lock.
func (q *Quarantine) mergeAll(entries []Entry, from string) {
	for _, e := range entries {
		q.merge(e, from)
	}
}

// noteLearned says that what was known at the start is known now. The caller holds the lock.
func (q *Quarantine) markSynced() {
	if !q.Synced() {
		close(q.synced)
	}
}

// Crashes returns how many backend servers had ended under a request when it went into
// quarantine.
func (q *Quarantine) CrashCount(f request.Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.entries[f].Crashes
}

// Service returns the service whose backend servers a request crashed.
func (q *Quarantine) Service(f request.Fingerprint) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.entries[f].Service
}

// Count returns the number of requests that are refused.
func (q *Quarantine) Count() int {
	m := q.refused.Load()
	if m == nil {
		return 0
	}
	return len(*m)
}

// Entries returns what the instance knows, the oldest first.
func (q *Quarantine) Entries() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.sorted()
}

// Reply returns the list for another instance that asks for it.
func (q *Quarantine) EncodeReply() ([]byte, error) {
	text, err := encode(0, &reply{Learned: q.Synced(), Entries: q.Entries()})
	if err != nil {
		return nil, err
	}
	return text[1:], nil
}

// errNotLearned says that the instance that was asked waits for others itself.
const errNotSynced = errors.ConstError("the other instance has not learned the quarantine yet")

// TakeReply takes up the list of another instance. The entries count even if it has not
// learned all itself, which the error says.
func (q *Quarantine) MergeReply(text []byte, from string) error {
	r, err := decode[reply](text)
	if err != nil {
		return err
	}
	if len(r.Entries) > MaxEntries {
		return errors.Errorf("list of %d entries", len(r.Entries))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeAll(r.Entries, from)
	if !r.Learned {
		return errNotSynced
	}
	q.markSynced()
	return nil
}
