// SPDX-License-Identifier: MIT

// Package logging provides a logger that writes one line of key=value pairs for each event,
// a rate limit for its lines, and a writer that does not block.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes one line of key=value pairs to w for each event.
func New(w io.Writer) zerolog.Logger {
	pair := func(key string) zerolog.Formatter {
		return func(v any) string {
			if v == nil {
				return ""
			}
			return fmt.Sprintf("%s=%v", key, v)
		}
	}
	out := zerolog.ConsoleWriter{
		Out: w, NoColor: true,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: pair("time"),
		FormatLevel:     pair("level"),
		FormatMessage:   pair("event"),
	}
	setTimeFormat()
	return zerolog.New(out).With().Timestamp().Logger()
}

// setTimeFormat sets zerolog's global time format once.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })
