// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// States in a backend server's own word on itself.
const (
	StateReady   = "ready"
	StateCold    = "cold"
	StateLeaving = "leaving"
)

// Report is a backend server's load report, the answer to GET /probe.
type Report struct {
	State    string `json:"state"`
	Boot     string `json:"boot"` // identifies one start of the backend server
	InFlight int    `json:"inFlight"`
	Slots    int    `json:"slots"`
}

// maxReport bounds a load report, in bytes.
const maxReportBytes = 4 << 10

// Probe asks the backend server at address for its load report.
func Probe(ctx context.Context, c *http.Client, address string) (Report, error) {
	var rep Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/probe", nil)
	if err != nil {
		return rep, errors.Trace(err)
	}
	res, err := c.Do(req)
	if err != nil {
		return rep, errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return rep, errors.Errorf("probe of %s: status %d", address, res.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return rep, errors.Annotatef(err, "probe of %s", address)
	}
	return ParseReport(b)
}

// maxBoot bounds the id of a backend server's start, in bytes.
const maxBootIDBytes = 64

// ParseReport reads a load report. It refuses one with an unknown state, with
// numbers below zero, or with a boot id that is too long to be passed on.
func ParseReport(b []byte) (Report, error) {
	var rep Report
	if err := json.Unmarshal(b, &rep); err != nil {
		return Report{}, errors.Annotate(err, "load report")
	}
	known := rep.State == StateReady || rep.State == StateCold || rep.State == StateLeaving
	if !known || rep.InFlight < 0 || rep.Slots < 0 || len(rep.Boot) > maxBootIDBytes {
		return Report{}, errors.Errorf("load report out of range: %.100q", b)
	}
	return rep, nil
}
