// SPDX-License-Identifier: MIT

package balance

import "time"

// reach opens a connection to a backend server that was suspended, if that is due, so
// that no request has to wait for one that can't be reached. The caller holds
// the lock.
func (t *Table) reach(name string, u *backend, now time.Duration) {
	if u.failures == 0 || now < u.suspended || u.reached || u.reaching {
		return
	}
	if t.Reach == nil {
		u.reached = true
		return
	}
	u.reaching = true
	t.reaching++
	go func() {
		err := t.Reach(u.pool)
		t.mu.Lock()
		defer t.mu.Unlock()
		u.reaching = false
		t.reaching--
		if err != nil {
			pause := u.failed(t.Now())
			t.tell(name, u.failures, pause)
			return
		}
		u.reached = true
	}()
}
