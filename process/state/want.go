// SPDX-License-Identifier: MIT

package state

import (
	"sync"
	"time"
)

// wants remembers since when tables are wanted. The zero value is ready.
type subscriptions struct {
	mu    sync.Mutex
	since map[string]time.Duration // by name of the table; not there: it is not wanted
}

// note takes up whether a table is wanted, and returns since when it is.
func (w *subscriptions) update(name string, wanted bool, now time.Duration) time.Duration {
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
func (f *Follower) subscribed(name string) bool { return f.Subscribed == nil || f.Subscribed(name) }

// wantAtStart notes that what is wanted at the start has no grace: there is nothing to
// serve by without it.
func (f *Follower) subscribeAtStart() {
	for name := range f.Tables {
		if f.subscribed(name) {
			f.subscriptions.update(name, true, f.Now()-subscribeGrace)
		}
	}
}

// counts reports whether a table that is not known, or not confirmed lately, matters:
// it is wanted, and there was time for others to tell it.
func (f *Follower) required(name string, now time.Duration) bool {
	if f.Subscribed == nil {
		return true
	}
	wanted := f.Subscribed(name)
	since := f.subscriptions.update(name, wanted, now)
	return wanted && now-since >= subscribeGrace
}
