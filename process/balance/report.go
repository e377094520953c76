// SPDX-License-Identifier: MIT

package balance

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Report is the load report of a backend server.
type Report struct {
	Running, Waiting, Slots int
	// Slowdown is how long processing takes on its host now, relative to usual: 2 is twice as
	// long. Zero: not reported.
	Slowdown float64
}

const (
	// reportFields is the number of mandatory fields.
	reportFields = 3
	// slowdownUnit is the value of the fourth field at usual speed.
	slowdownUnit = 100
	// minSlowdown and maxSlowdown bound the slowdown. Values beyond them say only that the host is
	// idle or stalled.
	minSlowdown, maxSlowdown = 0.1, 100
)

// ParseReport parses a load report: the number of running requests, of queued requests and of
// slots, separated by commas, optionally followed by the slowdown of the host in percent. An empty
// text is no report: nil. If only the fourth field is invalid, the report is returned without it,
// together with the error.
func ParseReport(text string) (*Report, error) {
	if text == "" {
		return nil, nil
	}
	fields := strings.Split(text, ",")
	if len(fields) != reportFields && len(fields) != reportFields+1 {
		return nil, errors.Errorf("load report %.40q: %d fields, not 3 or 4", text, len(fields))
	}
	var counts [reportFields]int
	for i := range counts {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 {
			return nil, errors.Errorf("load report %.40q: field %d is not a count", text, i+1)
		}
		counts[i] = n
	}
	r := &Report{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(fields) == reportFields {
		return r, nil
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(fields[reportFields]), 64)
	if err != nil || math.IsNaN(percent) || math.IsInf(percent, 0) || percent <= 0 {
		return r, errors.Errorf("load report %.40q: field 4 is not a positive number", text)
	}
	r.Slowdown = min(max(percent/slowdownUnit, minSlowdown), maxSlowdown)
	return r, nil
}

// hasFreeSlots reports whether the report shows free slots. It is false for nil.
func (r *Report) hasFreeSlots() bool { return r != nil && r.Running+r.Waiting < r.Slots }

// slowdownOr returns the reported slowdown, or other if there is none. r may be nil.
func (r *Report) slowdownOr(other float64) float64 {
	if r == nil || r.Slowdown == 0 {
		return other
	}
	return r.Slowdown
}

// slowdown is the last reported slowdown of a backend server's host. The zero value means that
// none was reported.
type slowdown struct {
	last float64
	at   time.Duration
}

// record records the slowdown of a report, if it has one.
func (s *slowdown) record(r Report, now time.Duration) {
	if r.Slowdown != 0 {
		*s = slowdown{last: r.Slowdown, at: now}
	}
}

// expected returns the slowdown to assume: the reported one decays to 1 with age.
func (s slowdown) expected(now, decay time.Duration) float64 {
	if s.last == 0 {
		return 1
	}
	return 1 + (s.last-1)*math.Exp(-float64(now-s.at)/float64(decay))
}
