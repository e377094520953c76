// SPDX-License-Identifier: MIT

package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// NotFound is the error for an id of which no log tells.
const ErrNotFound = errors.ConstError("no line has the id; it may have been left out (see leftOut), or the request came to an instance whose log is not here")

// Log is one process's log. It is opened more than once.
type Log struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Story is what the logs tell of one request.
type Trace struct {
	ID string
	// Lines carry the id.
	Lines []Line
	// Before are lines of the same instances that tell what they believed.
	Context []Line
}

// contextTime is how long before the request's first line and after its last
// one lines are taken as its context.
const contextWindow = 5 * time.Second

// beliefs are the events that tell what an instance believes. Of those that
// stand alone the last one before the request matters, however old.
var contextEvents = map[string]bool{
	"backends-changed": true, "backend-suspended": true, "backend-answers": true, "backends-lapsed": true,
	"backend-leaving": true, "backend-backoff": true, "backend-avoided": true,
	"instances-lost": true, "instances-found": true, "settings-reloaded": true, "stopping": true,
	"rollout-withdrawn": true, "rollout-step": true, "rollout-event": true,
}

var stateEvents = map[string]bool{
	"version-in-force": true, "store": true, "started": true,
	"rollout-ordered": true, "rollout-record": true, "backends-held-back": true,
}

// Find reads the logs for a request.
func Find(id string, logs []Log) (*Trace, error) {
	s := &Trace{ID: id}
	if err := forEachLine(logs, func(l Line) { s.addRequestLine(l) }); err != nil {
		return nil, err
	}
	if len(s.Lines) == 0 {
		return nil, ErrNotFound
	}
	sortByTime(s.Lines)
	last := make(map[string]Line) // by instance and event
	if err := forEachLine(logs, func(l Line) { s.addContextLine(l, last) }); err != nil {
		return nil, err
	}
	for _, l := range last {
		s.Context = append(s.Context, l)
	}
	sortByTime(s.Context)
	return s, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// maxLine bounds a line, in bytes.
const maxLineBytes = 1 << 20

// each calls f for every line of the logs.
func forEachLine(logs []Log, f func(Line)) error {
	for _, log := range logs {
		r, err := log.Open()
		if err != nil {
			return errors.Annotate(err, log.Name)
		}
		scan := bufio.NewScanner(r)
		scan.Buffer(nil, maxLineBytes)
		for scan.Scan() {
			if l, ok := ParseLine(scan.Text()); ok {
				f(l)
			}
		}
		_ = r.Close() // it was read
		if err := scan.Err(); err != nil {
			return errors.Annotate(err, log.Name)
		}
	}
	return nil
}

func (s *Trace) addRequestLine(l Line) {
	if l.Get("id") == s.ID {
		s.Lines = append(s.Lines, l)
	}
}

// takeContext keeps a line that tells what an instance of the story believed.
func (s *Trace) addContextLine(l Line, last map[string]Line) {
	if !slices.ContainsFunc(s.Lines, func(own Line) bool { return own.Instance == l.Instance }) {
		return
	}
	first, end := s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	if stateEvents[l.Event] && !l.Time.After(end) && s.isRelevant(l) {
		key := l.Instance + "\x00" + l.Event + "\x00" + l.Get("table") + "\x00" + l.Get("service")
		if old, ok := last[key]; !ok || !old.Time.After(l.Time) {
			last[key] = l
		}
		return
	}
	near := l.Time.After(first.Add(-contextWindow)) && l.Time.Before(end.Add(contextWindow))
	if near && contextEvents[l.Event] && s.isRelevant(l) {
		s.Context = append(s.Context, l)
	}
}

// concerns reports whether a line is about the instance as a whole, or about the
// request's service or a backend server that it met.
func (s *Trace) isRelevant(l Line) bool {
	if service := l.Get("service"); service != "" && !s.mayConcernService(service) {
		return false
	}
	name := l.Get("backend")
	if name == "" {
		return true
	}
	return slices.ContainsFunc(s.Lines, func(own Line) bool {
		return own.Get("backend") == name || own.Get("best") == name || strings.Contains(own.Get("tried"), name)
	})
}

// isFor reports whether the request may have been for a service: a line says so, or none
// names one.
func (s *Trace) mayConcernService(service string) bool {
	named := false
	for _, own := range s.Lines {
		name := own.Get("service")
		if name == service {
			return true
		}
		named = named || name != ""
	}
	return !named
}

// Write prints the story.
func (s *Trace) Write(w io.Writer) error {
	var b strings.Builder
	first := s.Lines[0].Time
	fmt.Fprintf(&b, "request %s, first told of at %s\n\nwhat its instances believed:\n", s.ID, first.Format(time.RFC3339Nano))
	writeLines(&b, s.Context, first)
	b.WriteString("\nwhat became of it:\n")
	writeLines(&b, s.Lines, first)
	fmt.Fprintf(&b, "\ncause: %s\n", s.Cause())
	_, err := io.WriteString(w, b.String())
	return errors.Trace(err)
}

func writeLines(b *strings.Builder, lines []Line, first time.Time) {
	for _, l := range lines {
		_, rest, _ := strings.Cut(l.Text, "event=")
		fmt.Fprintf(b, "  %+9.3f s  %s\n", l.Time.Sub(first).Seconds(), rest)
	}
}
