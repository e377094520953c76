// SPDX-License-Identifier: MIT

package auth

import (
	"os"
	"sync"
	"time"
)

// checkInterval is how often files are checked for changes.
const checkInterval = time.Second

// watchedFiles holds a value that is read from files, and read again when one of
// them changes.
type watchedFiles[T any] struct {
	paths []string
	read  func(paths []string) (T, error)

	mu        sync.Mutex
	value     T
	loaded    bool
	checkedAt time.Time
	modTimes  []time.Time // of the files when value was read
}

// get returns the current value. If reading fails, it returns the previous
// value and the error.
func (w *watchedFiles[T]) get() (T, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loaded && time.Since(w.checkedAt) < checkInterval {
		return w.value, nil
	}
	w.checkedAt = time.Now()
	times, changed := w.checkModTimes()
	if w.loaded && !changed {
		return w.value, nil
	}
	v, err := w.read(w.paths)
	if err != nil {
		return w.value, err
	}
	w.value, w.loaded, w.modTimes = v, true, times
	return v, nil
}

// checkModTimes returns the modification times of the files, and whether one
// differs from that of the last read.
func (w *watchedFiles[T]) checkModTimes() (times []time.Time, changed bool) {
	times = make([]time.Time, len(w.paths))
	for i, p := range w.paths {
		if info, err := os.Stat(p); err == nil {
			times[i] = info.ModTime()
		}
		changed = changed || i >= len(w.modTimes) || !times[i].Equal(w.modTimes[i])
	}
	return times, changed
}
