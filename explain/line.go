// SPDX-License-Identifier: MIT

package explain

import (
	"strconv"
	"strings"
	"time"
)

// Line is a parsed line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Text     string // the unparsed line, from its time field on
	fields   map[string]string
}

// Get returns the value of a field, or "" if the line doesn't have it.
func (l *Line) Get(field string) string { return l.fields[field] }

// ParseLine parses a line of key=value pairs, in which values with spaces are
// quoted. Anything before the time field is skipped. Ok is false if the line has
// no valid time or no event.
func ParseLine(text string) (l Line, ok bool) {
	i := strings.Index(text, "time=")
	if i < 0 {
		return Line{}, false
	}
	l = Line{Text: text[i:], fields: make(map[string]string)}
	for rest := l.Text; rest != ""; {
		var key, value string
		key, value, rest = cutField(rest)
		l.fields[key] = value
	}
	timestamp, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Instance, l.Event = timestamp, l.fields["instance"], l.fields["event"]
	return l, l.Event != ""
}

// cutField splits the first field off a line.
func cutField(s string) (key, value, rest string) {
	key, rest, _ = strings.Cut(s, "=")
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, _ = strconv.Unquote(quoted) // QuotedPrefix returns only valid literals
		return key, value, strings.TrimLeft(rest[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(rest, " ")
	return key, value, rest
}
