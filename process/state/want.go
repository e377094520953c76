// SPDX-License-Identifier: MIT

package state

import (
	"sync"
	"time"
)

// wants remembers since when tables are wanted. The zero value is ready.
type wants struct {
	mu    sync.Mutex
	since map[string]time.Duration // by name of the table; not there: it is not wanted
}

// note takes up whether a table is wanted, and returns since when it is.
func (w *wants) note(name string, wanted bool, now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !wanted {
		delete(w.since, name)
		return 0
	}
	since, known := w.since[name]
	if !known {
		if w.since == nil {
			w.since = make(map[string]time.Duration)
		}
		w.since[name] = now
		since = now
	}
	return since
}

// wanted reports whether a table is to be kept new.
func (f *Follower) wanted(name string) bool { return f.Wanted == nil || f.Wanted(name) }

// wantAtStart notes that what is wanted at the start has no grace: there is nothing to
// serve by without it.
func (f *Follower) wantAtStart() {
	for name := range f.Tables {
		if f.wanted(name) {
			f.wants.note(name, true, f.Now()-wantedGrace)
		}
	}
}

// counts reports whether a table that is not known, or not confirmed lately, matters:
// it is wanted, and there was time for others to tell it.
func (f *Follower) counts(name string, now time.Duration) bool {
	if f.Wanted == nil {
		return true
	}
	wanted := f.Wanted(name)
	since := f.wants.note(name, wanted, now)
	return wanted && now-since >= wantedGrace
}
