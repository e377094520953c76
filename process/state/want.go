// SPDX-License-Identifier: MIT

package state

import (
	"sync"
	"time"
)

// subscriptions remembers since when tables are subscribed. The zero value is ready to use.
type subscriptions struct {
	mu    sync.Mutex
	since map[string]time.Duration // by table; absent: not subscribed
}

// update records whether a table is subscribed, and returns since when.
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

// subscribed reports whether a table is to be kept up to date.
func (f *Follower) subscribed(name string) bool { return f.Subscribed == nil || f.Subscribed(name) }

// subscribeAtStart gives the tables subscribed at the start no grace period: the instance cannot serve
// without them.
func (f *Follower) subscribeAtStart() {
	for name := range f.Tables {
		if f.subscribed(name) {
			f.subscriptions.update(name, true, f.Now()-subscribeGrace)
		}
	}
}

// required reports whether it matters that a table is unknown or not confirmed lately: it is subscribed,
// and others had time to deliver it.
func (f *Follower) required(name string, now time.Duration) bool {
	if f.Subscribed == nil {
		return true
	}
	wanted := f.Subscribed(name)
	since := f.subscriptions.update(name, wanted, now)
	return wanted && now-since >= subscribeGrace
}
