// SPDX-License-Identifier: MIT

package auth

import (
	"slices"
	"sync"
	"time"

	"shalewick/process/filestate"
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
	states    []filestate.State // of the files when value was read
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
	states := w.currentStates()
	if w.loaded && slices.Equal(states, w.states) {
		return w.value, nil
	}
	v, err := w.read(w.paths)
	if err != nil {
		return w.value, err
	}
	w.value, w.loaded, w.states = v, true, states
	return v, nil
}

// currentStates returns the states of the files.
func (w *watchedFiles[T]) currentStates() []filestate.State {
	states := make([]filestate.State, len(w.paths))
	for i, p := range w.paths {
		states[i] = filestate.Of(p)
	}
	return states
}
