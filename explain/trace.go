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

// ErrNotFound is returned for an id that occurs in none of the logs.
const ErrNotFound = errors.ConstError("no line has the id; it may have been left out (see leftOut), or the request came to an instance whose log is not here")

// Log is the log of one process. It is opened more than once.
type Log struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Trace holds the log lines that concern one request.
type Trace struct {
	ID string
	// Lines are the lines with the id, ordered by time.
	Lines []Line
	// Context are the lines that show the state of the same instances, ordered by time.
	Context []Line
}

// contextWindow is how long before the request's first line and after its last
// one context events are included.
const contextWindow = 5 * time.Second

// contextEvents are the events included in the context if they are logged within
// contextWindow of the request.
var contextEvents = map[string]bool{
	"backends-changed": true, "backend-suspended": true, "backend-answers": true, "backends-lapsed": true,
	"backend-leaving": true, "backend-backoff": true, "backend-avoided": true,
	"links": true, "instances-lost": true, "instances-found": true, "settings-reloaded": true, "stopping": true, "stop-step": true, "stop-late": true, "stopped": true,
	"rollout-withdrawn": true, "rollout-step": true, "rollout-event": true,
}

// stateEvents are the events that hold until the next one of their kind. The last one
// before the end of the request is included in the context, however old.
var stateEvents = map[string]bool{
	"version-in-force": true, "store": true, "started": true,
	"rollout-ordered": true, "rollout-record": true, "backends-held-back": true,
}

// Find searches the logs for a request.
func Find(id string, logs []Log) (*Trace, error) {
	t := &Trace{ID: id}
	if err := forEachLine(logs, func(l Line) { t.addRequestLine(l) }); err != nil {
		return nil, err
	}
	if len(t.Lines) == 0 {
		return nil, ErrNotFound
	}
	sortByTime(t.Lines)
	latest := make(map[string]Line) // of stateEvents, by instance, event, table and service
	if err := forEachLine(logs, func(l Line) { t.addContextLine(l, latest) }); err != nil {
		return nil, err
	}
	for _, l := range latest {
		t.Context = append(t.Context, l)
	}
	sortByTime(t.Context)
	return t, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// maxLineBytes limits the length of a line.
const maxLineBytes = 1 << 20

// forEachLine calls f for every parsed line of the logs.
func forEachLine(logs []Log, f func(Line)) error {
	for _, log := range logs {
		r, err := log.Open()
		if err != nil {
			return errors.Annotate(err, log.Name)
		}
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, ok := ParseLine(scanner.Text()); ok {
				f(l)
			}
		}
		_ = r.Close() // opened for reading only
		if err := scanner.Err(); err != nil {
			return errors.Annotate(err, log.Name)
		}
	}
	return nil
}

// addRequestLine adds a line that carries the request's id.
func (t *Trace) addRequestLine(l Line) {
	if l.Get("id") == t.ID {
		t.Lines = append(t.Lines, l)
	}
}

// addContextLine adds a line that shows the state of an instance which handled the
// request. Lines of stateEvents go to latest, which keeps the last one of each kind.
func (t *Trace) addContextLine(l Line, latest map[string]Line) {
	if !slices.ContainsFunc(t.Lines, func(own Line) bool { return own.Instance == l.Instance }) {
		return
	}
	first, end := t.Lines[0].Time, t.Lines[len(t.Lines)-1].Time
	if stateEvents[l.Event] && !l.Time.After(end) && t.isRelevant(l) {
		key := l.Instance + "\x00" + l.Event + "\x00" + l.Get("table") + "\x00" + l.Get("service")
		if old, ok := latest[key]; !ok || !old.Time.After(l.Time) {
			latest[key] = l
		}
		return
	}
	inWindow := l.Time.After(first.Add(-contextWindow)) && l.Time.Before(end.Add(contextWindow))
	if inWindow && contextEvents[l.Event] && t.isRelevant(l) {
		t.Context = append(t.Context, l)
	}
}

// isRelevant reports whether a line is about the instance as a whole, the request's
// service, or a backend server that the request's lines name.
func (t *Trace) isRelevant(l Line) bool {
	if service := l.Get("service"); service != "" && !t.mayConcernService(service) {
		return false
	}
	name := l.Get("backend")
	if name == "" {
		return true
	}
	return slices.ContainsFunc(t.Lines, func(own Line) bool {
		return own.Get("backend") == name || own.Get("best") == name || strings.Contains(own.Get("tried"), name)
	})
}

// mayConcernService reports whether the request may be one to the service: one of its
// lines names the service, or none names any.
func (t *Trace) mayConcernService(service string) bool {
	named := false
	for _, own := range t.Lines {
		name := own.Get("service")
		if name == service {
			return true
		}
		named = named || name != ""
	}
	return !named
}

// Write prints the trace.
func (t *Trace) Write(w io.Writer) error {
	var b strings.Builder
	first := t.Lines[0].Time
	fmt.Fprintf(&b, "request %s, first logged at %s\n\nstate of its instances:\n", t.ID, first.Format(time.RFC3339Nano))
	writeLines(&b, t.Context, first)
	b.WriteString("\nwhat happened to it:\n")
	writeLines(&b, t.Lines, first)
	fmt.Fprintf(&b, "\ncause: %s\n", t.Cause())
	_, err := io.WriteString(w, b.String())
	return errors.Trace(err)
}

// writeLines prints each line after its time in seconds since the request's first line.
func writeLines(b *strings.Builder, lines []Line, first time.Time) {
	for _, l := range lines {
		_, rest, _ := strings.Cut(l.Text, "event=")
		fmt.Fprintf(b, "  %+9.3f s  %s\n", l.Time.Sub(first).Seconds(), rest)
	}
}
