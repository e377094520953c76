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

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	InTime  Outcome = iota // answered within the objective
	Late                   // answered after it
	Refused                // not run
	Failed                 // no answer, and it may have run
	numOutcomes
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [numOutcomes]string{"in time", "late", "refused", "failed"}[o]
}

// Group is what requests are counted by.
type Group struct {
	Service, Class, Hall, Cause string
	// Software is the version that answered; "": none did, or it is not known.
	Software string
}

// key is a group in one window.
type key struct {
	window int64 // number of windows since the Unix epoch
	Group
}

// Counts are numbers of requests by outcome.
type Counts [numOutcomes]int

// Total returns the number of all requests.
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

// Bounds of a report.
const (
	// maxCounts is the number of counts from which windows become longer; each
	// takes some 200 bytes.
	maxCounts = 1 << 16
	// maxLine bounds a line, in bytes.
	maxLineBytes = 1 << 20
	// maxBad bounds the lines that are named as unreadable.
	maxMalformedLines = 5
)

// Report is the counts of one or more logs. Use New.
type Report struct {
	// Window is the length of the windows.
	Window time.Duration
	// Lines is the number of lines read, Bad that of those that are no log
	// lines, and BadLines names the first of them.
	Lines, Malformed int
	MalformedLines   []string
	// Estimated is the number of requests whose lines were left out.
	Estimated int

	counts map[key]Counts
	halls  map[string]string // by instance, as the line of its start tells
	steps  steps
}

// New returns an empty report with windows of a length.
func New(window time.Duration) *Report {
	return &Report{Window: window, counts: make(map[key]Counts), halls: make(map[string]string)}
}

// Read counts the lines of one log. Lines that can't be read are counted and the
// first ones named; the error is that of the reader.
func (r *Report) Read(name string, from io.Reader) error {
	lines := bufio.NewReaderSize(from, maxLineBytes)
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

// skipLine reads to the end of a line that is too long.
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

// Add counts one line, if it tells of a request's end.
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
	left, _ := strconv.Atoi(l.Get("leftOut")) // zero unless lines were left out
	r.Estimated += left
	hall := r.halls[l.Instance]
	if hall == "" {
		hall = l.Instance
	}
	k := key{
		window: l.Time.UnixNano() / int64(r.Window),
		Group:  Group{Service: l.Get("service"), Class: l.Get("class"), Hall: hall, Cause: explain.ShortCause(l), Software: l.Get("software")},
	}
	c := r.counts[k]
	c[outcome] += 1 + left
	r.counts[k] = c
	for len(r.counts) > maxCounts {
		r.doubleWindow()
	}
}

// outcomeOf returns how the request ended of which a line tells the end.
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

// widen makes the windows twice as long.
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
