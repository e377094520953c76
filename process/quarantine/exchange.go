// SPDX-License-Identifier: MIT

package quarantine

import (
	"github.com/juju/errors"

	"shalewick/request"
)

// Receive processes a message from the address of another instance, and reports whether it is
// a quarantine message.
func (q *Quarantine) Receive(from string, payload []byte) bool {
	if len(payload) == 0 || payload[0] < kindReport || payload[0] > kindObjection {
		return false
	}
	kind, body := payload[0], payload[1:]
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
	payload, err := encode(kindConfirmation, &confirmation{Seq: r.Seq})
	if err != nil {
		return err
	}
	q.mu.Lock()
	now := q.Now()
	q.addReport(&r, now-duration(r.AgeMs), now)
	q.mu.Unlock()
	q.Send(from, payload)
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

// receiveEntry merges an entry, and objects if this instance has answered the request since
// the first crash attributed to it.
func (q *Quarantine) receiveEntry(from string, body []byte) error {
	u, err := decode[entryUpdate](body)
	if err != nil {
		return err
	}
	q.mu.Lock()
	now := q.Now()
	isNew := q.merge(u.Entry, from)
	q.mu.Unlock()
	answeredAt, answered := q.responses.last(u.Entry.Request)
	if !isNew || !u.Entry.Quarantined() || !answered || answeredAt <= now-duration(u.FirstMs) {
		return nil
	}
	payload, err := encode(kindObjection, &objection{Request: u.Entry.Request, Stamp: u.Entry.Stamp})
	if err != nil {
		return err
	}
	q.Send(from, payload)
	return nil
}

// receiveObjection withdraws an entry.
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

// Digest returns a digest that is equal for two instances if they know the same entries.
func (q *Quarantine) Digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.digest
}

// Synced reports whether the instance has the entries that others had when it started.
func (q *Quarantine) Synced() bool {
	select {
	case <-q.synced:
		return true
	default:
		return false
	}
}

// SyncDone returns a channel that is closed once Synced returns true.
func (q *Quarantine) SyncDone() <-chan struct{} { return q.synced }

// LoadEntries merges entries that were stored, and marks the instance as synced.
func (q *Quarantine) LoadEntries(entries []Entry, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeAll(entries, from)
	q.markSynced()
}

// mergeAll merges a list of entries. The caller must hold q.mu.
func (q *Quarantine) mergeAll(entries []Entry, from string) {
	for _, e := range entries {
		q.merge(e, from)
	}
}

// markSynced marks the instance as synced. The caller must hold q.mu.
func (q *Quarantine) markSynced() {
	if !q.Synced() {
		close(q.synced)
	}
}

// CrashCount returns the number of crashes attributed to a request when it was quarantined.
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

// Count returns the number of refused requests.
func (q *Quarantine) Count() int {
	m := q.refused.Load()
	if m == nil {
		return 0
	}
	return len(*m)
}

// Entries returns all known entries, oldest first.
func (q *Quarantine) Entries() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.sorted()
}

// EncodeReply returns the list for another instance that requests it.
func (q *Quarantine) EncodeReply() ([]byte, error) {
	payload, err := encode(0, &reply{Learned: q.Synced(), Entries: q.Entries()})
	if err != nil {
		return nil, err
	}
	return payload[1:], nil
}

// errNotSynced is returned if the other instance is not synced itself.
const errNotSynced = errors.ConstError("the other instance has not received the quarantine entries yet")

// MergeReply merges the list of another instance. Its entries are merged even if that instance
// is not synced itself, for which the error is errNotSynced.
func (q *Quarantine) MergeReply(payload []byte, from string) error {
	r, err := decode[reply](payload)
	if err != nil {
		return err
	}
	if len(r.Entries) > MaxEntries {
		return errors.Errorf("list with %d entries exceeds the maximum", len(r.Entries))
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
