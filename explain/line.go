// SPDX-License-Identifier: MIT

package explain

import (
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Text     string // as it stands in the log
	fields   map[string]string
}

// Get returns the value of a field, or "".
func (l *Line) Get(field string) string { return l.fields[field] }

// ParseLine reads a line of key=value pairs, in which a value with blanks is
// quoted. Whatever stands before the field time is skipped. Ok is false for a
// line of another kind.
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
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Instance, l.Event = at, l.fields["instance"], l.fields["event"]
	return l, l.Event != ""
}

// cutField takes the first field off a line.
func cutField(s string) (key, value, rest string) {
	key, rest, _ = strings.Cut(s, "=")
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, _ = strconv.Unquote(quoted) // a quoted prefix can be unquoted
		return key, value, strings.TrimLeft(rest[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(rest, " ")
	return key, value, rest
}
