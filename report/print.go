// SPDX-License-Identifier: MIT

package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// window holds the counts of one time window.
type window struct {
	start     time.Time
	counts    Counts
	notInTime map[string]int // number of requests not answered in time, by cause
}

// windows returns the windows that have counts, ordered by time.
func (r *Report) windows() []window {
	byNumber := make(map[int64]*window)
	for k, c := range r.counts {
		w := byNumber[k.window]
		if w == nil {
			w = &window{start: time.Unix(0, k.window*int64(r.Window)).UTC(), notInTime: make(map[string]int)}
			byNumber[k.window] = w
		}
		w.counts.add(c)
		if n := c.Total() - c[InTime]; n > 0 {
			w.notInTime[k.Cause] += n
		}
	}
	out := make([]window, 0, len(byNumber))
	for _, n := range slices.Sorted(maps.Keys(byNumber)) {
		out = append(out, *byNumber[n])
	}
	return out
}

// sumBy sums the counts of all groups by a label of the group.
func (r *Report) sumBy(label func(Group) string) map[string]Counts {
	return r.sumWhere(label, func(Group) bool { return true })
}

// sumWhere sums the counts of the included groups by a label of the group.
func (r *Report) sumWhere(label func(Group) string, include func(Group) bool) map[string]Counts {
	out := make(map[string]Counts)
	for k, c := range r.counts {
		if !include(k.Group) {
			continue
		}
		sum := out[label(k.Group)]
		sum.add(c)
		out[label(k.Group)] = sum
	}
	return out
}

// section describes a table of sums by one label.
type section struct {
	title string
	label func(Group) string
}

var sections = []section{
	{"service", func(g Group) string { return g.Service }},
	{"class", func(g Group) string { return g.Class }},
	{"hall", func(g Group) string { return g.Hall }},
	{"cause", func(g Group) string { return g.Cause }},
}

// Print writes the report as tables.
func (r *Report) Print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\n", r.summary())
	for _, s := range sections {
		fmt.Fprintf(w, "\n%s\trequests\tin time\tlate\trefused\tfailed\n", s.title)
		sums := r.sumBy(s.label)
		for _, name := range slices.Sorted(maps.Keys(sums)) {
			printCounts(w, cmp.Or(name, "-"), sums[name])
		}
	}
	r.printVersions(w)
	r.steps.print(w)
	fmt.Fprintf(w, "\nwindow\trequests\tin time\tlate\trefused\tfailed\tnot in time because\n")
	for _, x := range r.windows() {
		c := x.counts
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", formatTime(x.start), c.Total(), c[InTime], c[Late], c[Refused], c[Failed], formatCauses(x.notInTime))
	}
	return errors.Trace(w.Flush())
}

// sumByVersion sums the counts of answered requests by service and software version.
func (r *Report) sumByVersion() map[string]Counts {
	return r.sumWhere(func(g Group) string { return g.Service + " " + g.Software }, func(g Group) bool { return g.Software != "" })
}

// printVersions writes the sums by software version, if any line states one.
func (r *Report) printVersions(w io.Writer) {
	sums := r.sumByVersion()
	if len(sums) == 0 {
		return
	}
	fmt.Fprintf(w, "\nanswered by version\trequests\tin time\tlate\trefused\tfailed\n")
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		printCounts(w, name, sums[name])
	}
}

func printCounts(w io.Writer, name string, c Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", name, c.Total(), c[InTime], c[Late], c[Refused], c[Failed])
}

// summary states in one line how much was read, and what could not be parsed.
func (r *Report) summary() string {
	s := fmt.Sprintf("%d lines, windows of %s, %d requests counted by lines that were left out", r.Lines, r.Window, r.Estimated)
	if r.Malformed > 0 {
		s += fmt.Sprintf("; %d lines could not be read, first %s", r.Malformed, strings.Join(r.MalformedLines, ", "))
	}
	return s
}

// formatCauses lists causes with their counts, the most frequent first.
func formatCauses(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	out := make([]string, 0, len(names))
	for _, name := range names {
		out = append(out, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(out, ", ")
}
