// SPDX-License-Identifier: MIT

package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"shalewick/explain"
)

// maxSteps bounds the different steps of roll-outs that are told of.
const maxSteps = 500

// stepFields are the fields that tell steps of an event apart.
var stepFields = []string{"phase", "what", "result", "target", "cause"}

// step is what some instances wrote of a roll-out.
type step struct {
	service, event, text string
}

// told is when and how often a step was told of.
type told struct {
	first, last time.Time
	lines       int
}

// steps are the steps of all roll-outs. The same one is told of by many instances. The
// zero value is empty.
type steps struct {
	told map[step]told
	more int // lines of steps beyond the bound
}

// isStep reports whether a line tells of a roll-out.
func isStep(l *explain.Line) bool {
	return strings.HasPrefix(l.Event, "rollout-") || l.Event == "backends-held-back"
}

func (s *steps) add(l *explain.Line) {
	var fields []string
	for _, name := range stepFields {
		if value := l.Get(name); value != "" {
			fields = append(fields, name+"="+value)
		}
	}
	key := step{service: l.Get("service"), event: l.Event, text: strings.Join(fields, " ")}
	t, known := s.told[key]
	if !known && len(s.told) >= maxSteps {
		s.more++
		return
	}
	if s.told == nil {
		s.told = make(map[step]told)
	}
	if t.lines == 0 || l.Time.Before(t.first) {
		t.first = l.Time
	}
	if l.Time.After(t.last) {
		t.last = l.Time
	}
	t.lines++
	s.told[key] = t
}

// order returns the steps by service and by when they were told of first.
func (s *steps) order() []step {
	return slices.SortedFunc(maps.Keys(s.told), func(a, b step) int {
		return cmp.Or(
			cmp.Compare(a.service, b.service), s.told[a].first.Compare(s.told[b].first),
			cmp.Compare(a.event, b.event), cmp.Compare(a.text, b.text),
		)
	})
}

// print writes the steps as a table, if there are any.
func (s *steps) print(w io.Writer) {
	if len(s.told) == 0 {
		return
	}
	fmt.Fprintf(w, "\nroll-out of\tfirst\tlast\tlines\twhat\n")
	for _, x := range s.order() {
		t := s.told[x]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", cmp.Or(x.service, "-"), clock(t.first), clock(t.last), t.lines, x.what())
	}
	if s.more > 0 {
		fmt.Fprintf(w, "%d more lines\n", s.more)
	}
}

// what tells of a step in one cell.
func (x step) what() string { return strings.TrimSpace(x.event + " " + x.text) }

func clock(t time.Time) string { return t.Format("15:04:05.000") }
