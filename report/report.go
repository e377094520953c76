// SPDX-License-Identifier: MIT

package report

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"shalewick/explain"
	"shalewick/request"
)

// Outcome states how a request ended.
type Outcome uint8

// The outcomes.
const (
	InTime  Outcome = iota // answered within the objective
	Late                   // answered after the objective
	Refused                // no response, and the request did not run
	Failed                 // no response, and the request may have run
	numOutcomes
)

// String returns the name that the outcome has in tables.
func (o Outcome) String() string {
	return [numOutcomes]string{"in time", "late", "refused", "failed"}[o]
}

// Group holds the labels by which requests are counted.
type Group struct {
	Service, Class, Hall, Cause string
	// Software is the software version of the backend server that answered; "" if none
	// did or the line doesn't state it.
	Software string
}

// key identifies the counts of a group in one window.
type key struct {
	window int64 // number of the window, counted from the Unix epoch
	Group
}

// Counts holds the number of requests of each outcome.
type Counts [numOutcomes]int

// Total returns the number of requests of all outcomes.
func (c Counts) Total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

func (c *Counts) add(d Counts) {
	for i, n := range d {
		c[i] += n
	}
}

// Limits of a report.
const (
	// maxCounts is the number of counts above which the length of the windows is doubled.
	// Each takes some 200 bytes.
	maxCounts = 1 << 16
	// maxLineBytes limits the length of a line. Longer lines are skipped.
	maxLineBytes = 1 << 20
	// maxMalformedLines limits MalformedLines.
	maxMalformedLines = 5
)

// Report holds the counts of one or more logs. Create it with New.
type Report struct {
	// Window is the length of the time windows.
	Window time.Duration
	// Lines is the number of lines read, Malformed the number of those that could
	// not be parsed, and MalformedLines the log and line numbers of the first of them.
	Lines, Malformed int
	MalformedLines   []string
	// Estimated is the number of requests whose lines the instances left out.
	Estimated int

	counts map[key]Counts
	halls  map[string]string // by instance, from its started event
	steps  steps
}

// New returns an empty report with windows of the given length.
func New(window time.Duration) *Report {
	return &Report{Window: window, counts: make(map[key]Counts), halls: make(map[string]string)}
}

// Read adds the lines of one log. Lines that can't be parsed are counted in
// Malformed. Errors are those of the reader.
func (r *Report) Read(name string, in io.Reader) error {
	lines := bufio.NewReaderSize(in, maxLineBytes)
	for n := 1; ; n++ {
		text, err := lines.ReadSlice('\n')
		if len(text) > 0 {
			r.addText(name, n, strings.TrimSuffix(string(text), "\n"))
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			if err = skipLine(lines); err != nil {
				return ignoreEOF(errors.Annotate(err, name))
			}
		case err != nil:
			return errors.Annotate(err, name)
		}
	}
}

// skipLine discards the rest of a line that is too long.
func skipLine(lines *bufio.Reader) error {
	for {
		_, err := lines.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// addText parses and adds line n of a log.
func (r *Report) addText(name string, n int, text string) {
	r.Lines++
	l, ok := explain.ParseLine(text)
	if !ok {
		r.Malformed++
		if len(r.MalformedLines) < maxMalformedLines {
			r.MalformedLines = append(r.MalformedLines, name+":"+strconv.Itoa(n))
		}
		return
	}
	r.Add(&l)
}

// Add counts a line that states the end of a request, a step of a rollout, or the hall of
// an instance. Other lines are ignored.
func (r *Report) Add(l *explain.Line) {
	if l.Event == "started" && l.Get("hall") != "" {
		r.halls[l.Instance] = l.Get("hall")
		return
	}
	if isRolloutStep(l) {
		r.steps.add(l)
		return
	}
	outcome, ok := outcomeOf(l)
	if !ok {
		return
	}
	leftOut, _ := strconv.Atoi(l.Get("leftOut")) // zero unless lines were left out
	r.Estimated += leftOut
	hall := r.halls[l.Instance]
	if hall == "" {
		hall = l.Instance
	}
	k := key{
		window: l.Time.UnixNano() / int64(r.Window),
		Group:  Group{Service: l.Get("service"), Class: l.Get("class"), Hall: hall, Cause: explain.ShortCause(l), Software: l.Get("software")},
	}
	c := r.counts[k]
	c[outcome] += 1 + leftOut
	r.counts[k] = c
	for len(r.counts) > maxCounts {
		r.doubleWindow()
	}
}

// outcomeOf returns the outcome of the request whose end a line states. It returns false for
// other lines.
func outcomeOf(l *explain.Line) (Outcome, bool) {
	switch l.Event {
	case "answered":
		if l.Get("late") == "true" {
			return Late, true
		}
		return InTime, true
	case "refused":
		if request.Ran(l.Get("ran")) == request.RanNo {
			return Refused, true
		}
		return Failed, true
	default:
		return 0, false
	}
}

// doubleWindow doubles the length of the windows and merges their counts.
func (r *Report) doubleWindow() {
	r.Window *= 2
	old := r.counts
	r.counts = make(map[key]Counts, len(old)/2)
	for k, c := range old {
		k.window /= 2
		sum := r.counts[k]
		sum.add(c)
		r.counts[k] = sum
	}
}
