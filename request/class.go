// SPDX-License-Identifier: MIT

package request

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Class is the priority class of a request when there is not enough capacity for all. Lower values
// are served first.
type Class uint8

// The classes, in order of priority.
const (
	ClassInvalid Class = iota
	// ClassCommit is for bids, deposits, assignments and swaps.
	ClassCommit
	// ClassRead is for pages, catalogues and rosters.
	ClassRead
	// ClassUpload is for videos and monthly records.
	ClassUpload
	// NumClasses is one more than the highest class.
	NumClasses
)

var classNames = [NumClasses]string{"invalid", "commit", "read", "upload"}

// String returns the name of the class in documents.
func (c Class) String() string {
	if c >= NumClasses {
		return classNames[ClassInvalid]
	}
	return classNames[c]
}

// Valid reports whether c is a defined class other than ClassInvalid.
func (c Class) Valid() bool {
	return c > ClassInvalid && c < NumClasses
}

// ClassNames returns the names of the valid classes.
func ClassNames() []string {
	return classNames[ClassCommit:]
}

// ParseClass returns the class with the given name, or ClassInvalid.
func ParseClass(name string) Class {
	for c := ClassCommit; c < NumClasses; c++ {
		if classNames[c] == name {
			return c
		}
	}
	return ClassInvalid
}

// MarshalJSON encodes the class as its name.
func (c Class) MarshalJSON() ([]byte, error) {
	return json.Marshal(c.String())
}

// UnmarshalJSON decodes the name of a valid class.
func (c *Class) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Trace(err)
	}
	*c = ParseClass(s)
	if *c == ClassInvalid {
		return errors.Errorf("class %q is not one of %v", s, ClassNames())
	}
	return nil
}
