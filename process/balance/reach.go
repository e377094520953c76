// SPDX-License-Identifier: MIT

package balance

import "time"

// probe opens a connection to a suspended backend server, if that is due, so that no request has
// to wait for a server that can't be reached. The caller holds the lock.
func (t *Table) probe(name string, u *backend, now time.Duration) {
	if u.failures == 0 || now < u.suspendedUntil || u.probed || u.probing {
		return
	}
	if t.Probe == nil {
		u.probed = true
		return
	}
	u.probing = true
	t.probing++
	begunAt := now
	go func() {
		err := t.Probe(u.pool)
		t.mu.Lock()
		defer t.mu.Unlock()
		u.probing = false
		t.probing--
		if err != nil {
			t.suspectLinks(begunAt, t.Now())
			pause := u.recordFailure(t.Now())
			t.reportSuspension(name, u.failures, pause)
			return
		}
		t.recordContact(t.Now())
		u.probed = true
	}()
}
