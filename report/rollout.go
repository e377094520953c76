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
type stepStats struct {
	first, last time.Time
	lines       int
}

// steps are the steps of all roll-outs. The same one is told of by many instances. The
// zero value is empty.
type steps struct {
	stats   map[step]stepStats
	dropped int // lines of steps beyond the bound
}

// isStep reports whether a line tells of a roll-out.
func isRolloutStep(l *explain.Line) bool {
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
	t, known := s.stats[key]
	if !known && len(s.stats) >= maxSteps {
		s.dropped++
		return
	}
	if s.stats == nil {
		s.stats = make(map[step]stepStats)
	}
	if t.lines == 0 || l.Time.Before(t.first) {
		t.first = l.Time
	}
	if l.Time.After(t.last) {
		t.last = l.Time
	}
	t.lines++
	s.stats[key] = t
}

// order returns the steps by service and by when they were told of first.
func (s *steps) sorted() []step {
	return slices.SortedFunc(maps.Keys(s.stats), func(a, b step) int {
		return cmp.Or(
			cmp.Compare(a.service, b.service), s.stats[a].first.Compare(s.stats[b].first),
			cmp.Compare(a.event, b.event), cmp.Compare(a.text, b.text),
		)
	})
}

// print writes the steps as a table, if there are any.
func (s *steps) print(w io.Writer) {
	if len(s.stats) == 0 {
		return
	}
	fmt.Fprintf(w, "\nroll-out of\tfirst\tlast\tlines\twhat\n")
	for _, x := range s.sorted() {
		t := s.stats[x]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", cmp.Or(x.service, "-"), formatTime(t.first), formatTime(t.last), t.lines, x.description())
	}
	if s.dropped > 0 {
		fmt.Fprintf(w, "%d more lines\n", s.dropped)
	}
}

// what tells of a step in one cell.
func (x step) description() string { return strings.TrimSpace(x.event + " " + x.text) }

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
