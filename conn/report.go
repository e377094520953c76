// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// States that a backend server reports.
const (
	StateReady   = "ready"
	StateCold    = "cold"
	StateLeaving = "leaving"
)

// Report is the load report of a backend server, which it returns from GET /probe.
type Report struct {
	State    string `json:"state"`
	Boot     string `json:"boot"` // identifies one start of the backend server
	InFlight int    `json:"inFlight"`
	Slots    int    `json:"slots"`
}

// maxReportBytes limits the size of a load report, in bytes.
const maxReportBytes = 4 << 10

// NewProbeClient returns a client for Probe that gives up after timeout, or if the head of a response exceeds MaxHeadBytes.
func NewProbeClient(timeout time.Duration) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = (&net.Dialer{Control: ReuseLocalAddress}).DialContext // timeout bounds it
	transport.MaxResponseHeaderBytes = MaxHeadBytes
	return &http.Client{Transport: Strict(transport), Timeout: timeout}
}

// Probe requests the load report of the backend server at address.
func Probe(ctx context.Context, client *http.Client, address string) (Report, error) {
	var report Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/probe", nil)
	if err != nil {
		return report, errors.Trace(err)
	}
	res, err := client.Do(req)
	if err != nil {
		return report, errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return report, errors.Errorf("probe of %s: status %d", address, res.StatusCode)
	}
	b, err := ReadBody(res, maxReportBytes)
	if err != nil {
		return report, errors.Annotatef(err, "probe of %s", address)
	}
	return ParseReport(b)
}

// maxBootIDBytes limits the length of the boot id, which identifies one start of a backend server,
// in bytes.
const maxBootIDBytes = 64

// ParseReport parses a load report. It rejects unknown states, negative numbers, and boot ids that
// are too long to be passed on to other instances.
func ParseReport(b []byte) (Report, error) {
	var report Report
	if err := json.Unmarshal(b, &report); err != nil {
		return Report{}, errors.Annotate(err, "load report")
	}
	validState := report.State == StateReady || report.State == StateCold || report.State == StateLeaving
	if !validState || report.InFlight < 0 || report.Slots < 0 || len(report.Boot) > maxBootIDBytes {
		return Report{}, errors.Errorf("load report out of range: %.100q", b)
	}
	return report, nil
}
