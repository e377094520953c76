// SPDX-License-Identifier: MIT

package auth

import (
	"os"
	"sync"
	"time"
)

// lookEvery is how often files are looked at for a change.
const lookEvery = time.Second

// watched is a value read from files, which is read again when one changes.
type watched[T any] struct {
	paths []string
	read  func(paths []string) (T, error)

	mu     sync.Mutex
	value  T
	set    bool
	looked time.Time
	times  []time.Time // of the files' last change, as read
}

// get returns the value. After a failed reading it is the one read before,
// with the error.
func (w *watched[T]) get() (T, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.set && time.Since(w.looked) < lookEvery {
		return w.value, nil
	}
	w.looked = time.Now()
	times, changed := w.changes()
	if w.set && !changed {
		return w.value, nil
	}
	v, err := w.read(w.paths)
	if err != nil {
		return w.value, err
	}
	w.value, w.set, w.times = v, true, times
	return v, nil
}

func (w *watched[T]) changes() (times []time.Time, changed bool) {
	times = make([]time.Time, len(w.paths))
	for i, p := range w.paths {
		if info, err := os.Stat(p); err == nil {
			times[i] = info.ModTime()
		}
		changed = changed || i >= len(w.times) || !times[i].Equal(w.times[i])
	}
	return times, changed
}
