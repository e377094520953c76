// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Report is a backend server's word on its load.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on its host now, relative to the usual: 2 is twice as
	// long. Zero: it did not say.
	Slowdown float64
}

const (
	// reportFields is the number of figures that a report has at least.
	reportFields = 3
	// paceUnit is what a report's fourth figure says for usual work.
	slowdownUnit = 100
	// leastPace and mostPace bound what is taken up: beyond them a figure tells no
	// more than that the host is idle, or stands still.
	minSlowdown, maxSlowdown = 0.1, 100
)

// ParseReport reads a report: the requests that run and that wait, and the slots, divided
// by commas, and the pace of the host if there is a fourth figure. An empty text is no
// report: nil. If the fourth figure alone can't be used, the report is returned without
// it, beside the error.
func ParseReport(text string) (*Report, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, ",")
	if len(fields) != reportFields && len(fields) != reportFields+1 {
		return nil, errors.Errorf("load report %.40q: %d figures", text, len(fields))
	}
	var counts [reportFields]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 {
			return nil, errors.Errorf("load report %.40q: figure %d is not a count", text, i+1)
		}
		counts[i] = n
	}
	r := &Report{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(fields) == reportFields {
		return r, nil
	}
	pace, err := strconv.ParseFloat(strings.TrimSpace(fields[reportFields]), 64)
	if err != nil || math.IsNaN(pace) || math.IsInf(pace, 0) || pace <= 0 {
		return r, errors.Errorf("load report %.40q: the fourth figure is no pace", text)
	}
	r.Slowdown = min(max(pace/slowdownUnit, minSlowdown), maxSlowdown)
	return r, nil
}

// idle reports whether it says that slots are free. Nil is no word.
func (r *Report) hasFreeSlots() bool { return r != nil && r.Running+r.Waiting < r.Slots }

// paceOr returns the pace that a report tells, or another one. Nil is no word.
func (r *Report) slowdownOr(other float64) float64 {
	if r == nil || r.Slowdown == 0 {
		return other
	}
	return r.Slowdown
}

// pace is what was last told of how long work takes on a backend server's host. The zero
// value is a host of which nothing was told.
type slowdown struct {
	last float64
	at   time.Duration
}

// note takes up a report.
func (p *slowdown) record(r Report, now time.Duration) {
	if r.Slowdown != 0 {
		*p = slowdown{last: r.Slowdown, at: now}
	}
}

// expected returns the pace to reckon with: what was told returns to the usual as it ages.
func (p slowdown) expected(now, life time.Duration) float64 {
	if p.last == 0 {
		return 1
	}
	return 1 + (p.last-1)*math.Exp(-float64(now-p.at)/float64(life))
}
