// SPDX-License-Identifier: MIT

package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/process/crash"
)

// Owner is the instance that keeps the ledger of a service.
type Owner struct {
	Name    string
	Address string // "" is this instance
}

// self reports whether the owner is this instance.
func (o Owner) self() bool { return o.Address == "" }

// pendingReport is a report that is kept in case it gets lost, or another instance becomes the
// owner.
type pendingReport struct {
	report    report
	createdAt time.Duration
	sentAt    time.Duration // when it was last sent; 0 if not yet
	// confirmedBy is the name of the owner that has confirmed the report, and regionalBy that
	// of the owner within the region; "" if not confirmed.
	confirmedBy, regionalBy string
	addedHere               bool // added to the ledger of this instance
}

// crashIDOf returns an id for a crash that is the same at all instances.
func crashIDOf(c crash.Crash) crashID {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(c.Incarnation))
	return crashID(xxhash.Sum64(append(b[:], c.Backend...)))
}

// newReport returns the report of a crash. The caller must hold q.mu.
func (q *Quarantine) newReport(c crash.Crash, now time.Duration) *pendingReport {
	q.seq++
	p := &pendingReport{createdAt: now, report: report{Seq: q.seq, Crash: crashIDOf(c), Service: c.Service}}
	for _, s := range c.Suspects {
		p.report.Suspects = append(p.report.Suspects, reportedSuspect{Request: s.Request, Path: s.Path[:min(len(s.Path), maxPathBytes)]})
	}
	return p
}

// message is a datagram to send once q.mu is released.
type message struct {
	address string // "" sends it to all instances
	payload []byte
}

// sendReports returns the reports to send, and adds those that this instance has to count to
// its own ledgers. The caller must hold q.mu.
func (q *Quarantine) sendReports(now time.Duration) (out []message) {
	q.reports = slices.DeleteFunc(q.reports, func(p *pendingReport) bool { return now-p.createdAt > reportLifetime })
	for _, p := range q.reports {
		owner, regional := q.Owners(p.report.Service)
		age := now - p.createdAt
		switch {
		case owner.self():
			q.addOwnReport(p, now)
		case p.confirmedBy == owner.Name:
		case age > selfAfter && p.regionalBy == "":
			q.addOwnReport(p, now)
		case age > regionalAfter && regional.self():
			q.addOwnReport(p, now)
		}
		if p.sentAt != 0 && now-p.sentAt < resendInterval {
			continue
		}
		if !owner.self() && p.confirmedBy != owner.Name {
			out = append(out, q.sendReport(p, owner, now)...)
		}
		if age > regionalAfter && p.confirmedBy == "" && p.regionalBy == "" && !regional.self() {
			out = append(out, q.sendReport(p, regional, now)...)
		}
	}
	return out
}

func (q *Quarantine) sendReport(p *pendingReport, to Owner, now time.Duration) []message {
	p.sentAt = now
	r := p.report
	r.AgeMs = milliseconds(now - p.createdAt)
	payload, err := encode(kindReport, &r)
	if err != nil {
		q.Log.Error().Err(err).Msg("quarantine-report-failed")
		return nil
	}
	return []message{{to.Address, payload}}
}

// addOwnReport adds a report of this instance to its own ledger, once. The caller must hold q.mu.
func (q *Quarantine) addOwnReport(p *pendingReport, now time.Duration) {
	if p.addedHere {
		return
	}
	p.addedHere = true
	q.addReport(&p.report, p.createdAt, now)
}

// addReport adds a report to the ledger of its service. The caller must hold q.mu.
func (q *Quarantine) addReport(r *report, at, now time.Duration) {
	l := q.ledgers[r.Service]
	if l == nil {
		if len(q.ledgers) >= maxServices {
			q.Log.Warn().Str("service", r.Service).Msg("quarantine-full")
			return
		}
		l = new(ledger)
		q.ledgers[r.Service] = l
	}
	suspects := make([]crash.Suspect, 0, len(r.Suspects))
	for _, s := range r.Suspects {
		if q.list.entries[s.Request].Quarantined() {
			l.attributeCrash(r.Crash)
			return
		}
		suspects = append(suspects, crash.Suspect{Request: s.Request, Path: s.Path})
	}
	l.add(r.Crash, at, suspects, now)
}

// idle reports whether there is nothing to send or decide: all reports were added or confirmed,
// and no crash has changed recently. The caller must hold q.mu.
func (q *Quarantine) idle(now time.Duration) bool {
	for _, p := range q.reports {
		if !p.addedHere && p.confirmedBy == "" {
			return false
		}
	}
	for _, l := range q.ledgers {
		if n := len(l.crashes); n > 0 && slices.ContainsFunc(l.crashes, func(c *crashRecord) bool { return now-c.updatedAt <= 2*settleTime }) {
			return false
		}
	}
	return true
}
