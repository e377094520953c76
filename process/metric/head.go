// SPDX-License-Identifier: MIT

package metric

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/conn"
)

// BadHead says why a response was given up for its head or trailer. The zero value is that of other responses.
type BadHead struct {
	TooLarge  bool // it exceeds the limits of package conn
	Malformed bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (b BadHead) MarshalZerologObject(e *zerolog.Event) {
	e.Bool("headTooLarge", b.TooLarge).Bool("malformed", b.Malformed)
}

// BadHead counts a response of a backend server or another instance that ended with err if it was given up for its head or
// trailer, and says why.
func (s *Set) BadHead(service string, err error) BadHead {
	b := BadHead{TooLarge: errors.Is(err, conn.ErrHeadTooLarge), Malformed: errors.Is(err, conn.ErrMalformed)}
	label := "{service=" + strconv.Quote(s.services.label(service)) + "}"
	if b.TooLarge {
		s.Counter("answers_head_too_large_total" + label).Inc(1)
	}
	if b.Malformed {
		s.Counter("answers_malformed_total" + label).Inc(1)
	}
	return b
}
