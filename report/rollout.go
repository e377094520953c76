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

// maxSteps limits the number of distinct rollout steps in a report.
const maxSteps = 500

// stepFields are the fields by which steps of the same event are distinguished.
var stepFields = []string{"phase", "what", "result", "target", "cause"}

// step identifies a step of a rollout. All instances that log it are counted together.
type step struct {
	service, event, text string
}

// stepStats states when and how often a step was logged.
type stepStats struct {
	first, last time.Time
	lines       int
}

// steps holds the steps of all rollouts. The zero value is empty.
type steps struct {
	stats   map[step]stepStats
	dropped int // lines of steps beyond maxSteps
}

// isRolloutStep reports whether a line states a step of a rollout.
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
	stats, known := s.stats[key]
	if !known && len(s.stats) >= maxSteps {
		s.dropped++
		return
	}
	if s.stats == nil {
		s.stats = make(map[step]stepStats)
	}
	if stats.lines == 0 || l.Time.Before(stats.first) {
		stats.first = l.Time
	}
	if l.Time.After(stats.last) {
		stats.last = l.Time
	}
	stats.lines++
	s.stats[key] = stats
}

// sorted returns the steps ordered by service and by when they were first logged.
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
	for _, step := range s.sorted() {
		stats := s.stats[step]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", cmp.Or(step.service, "-"), formatTime(stats.first), formatTime(stats.last), stats.lines, step.description())
	}
	if s.dropped > 0 {
		fmt.Fprintf(w, "%d more lines\n", s.dropped)
	}
}

// description returns the text of a step in a table.
func (x step) description() string { return strings.TrimSpace(x.event + " " + x.text) }

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }
