// SPDX-License-Identifier: MIT

package request

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Class orders requests when there is not room for all. A lower value goes first.
type Class uint8

// The classes, most urgent first.
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

// String returns the class's name in documents.
func (c Class) String() string {
	if c >= NumClasses {
		return classNames[ClassInvalid]
	}
	return classNames[c]
}

// Valid reports whether the class is one of the named ones.
func (c Class) Valid() bool {
	return c > ClassInvalid && c < NumClasses
}

// ClassNames lists the names of the valid classes.
func ClassNames() []string {
	return classNames[ClassCommit:]
}

// ParseClass returns the class of a name, or ClassInvalid.
func ParseClass(name string) Class {
	for c := ClassCommit; c < NumClasses; c++ {
		if classNames[c] == name {
			return c
		}
	}
	return ClassInvalid
}

// MarshalJSON writes the name.
func (c Class) MarshalJSON() ([]byte, error) {
	return json.Marshal(c.String())
}

// UnmarshalJSON reads the name.
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
