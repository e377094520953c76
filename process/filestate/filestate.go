// SPDX-License-Identifier: MIT

// Package filestate tells whether a file was written.
package filestate

import (
	"os"
	"time"
)

// State tells versions of a file apart. The time alone doesn't: a file that is truncated and written within a few milliseconds
// may get the same one twice.
type State struct {
	modTime time.Time
	size    int64 // bytes
}

// Of returns the state of a file, or the zero value if it can't be read.
func Of(path string) State {
	info, err := os.Stat(path)
	if err != nil {
		return State{}
	}
	return State{modTime: info.ModTime(), size: info.Size()}
}
