// SPDX-License-Identifier: MIT

package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"shalewick/standin/backend"
)

// Print writes the report as a table with latencies in milliseconds.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%-12s %8s %8s %8s %8s %8s %8s  %s\n", "kind", "sent", "answered", "unknown", "p50", "p99", "p99.9", "refused")
	for _, l := range r.Lines {
		ms := func(q float64) float64 { return float64(l.Latencies.ValueAtQuantile(q)) / 1000 }
		var refused []string
		for _, c := range slices.Sorted(maps.Keys(l.Refused)) {
			refused = append(refused, fmt.Sprintf("%s=%d", c.Info().Name, l.Refused[c]))
		}
		fmt.Fprintf(w, "%-12s %8d %8d %8d %8.2f %8.2f %8.2f  %s\n", l.Name, l.Sent, l.Answered, l.Unknown,
			ms(50), ms(99), ms(99.9), strings.Join(refused, " "))
	}
	for _, l := range r.Lines {
		ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "%-12s timed_out=%d send_delay_p50=%.2f send_delay_p99=%.2f overrun_p99=%.2f\n", l.Name, l.TimedOut,
			ms(l.SendDelays, 50), ms(l.SendDelays, 99), ms(l.Overruns, 99))
	}
	fmt.Fprintf(w, "lost=%d doubled=%d mixed=%d false_not_run=%d\n", r.Lost, r.Doubled, r.Mixed, r.FalseNotRun)
	for _, e := range r.Examples {
		fmt.Fprintln(w, "  fault:", e)
	}
}

// fetchTimeout limits the time for fetching the records of one stand-in.
const fetchTimeout = 30 * time.Second

// FetchRecords fetches the records of the backend server stand-ins at the addresses.
func FetchRecords(addresses []string) ([]backend.Record, error) {
	var out []backend.Record
	c := http.Client{Timeout: fetchTimeout}
	for _, a := range addresses {
		res, err := c.Get("http://" + a + "/standin/records")
		if err != nil {
			return nil, errors.Annotatef(err, "records of %s", a)
		}
		dec := json.NewDecoder(res.Body)
		for {
			var rec backend.Record
			if err = dec.Decode(&rec); err != nil {
				break
			}
			out = append(out, rec)
		}
		_ = res.Body.Close() // the body was read to its end
		if !errors.Is(err, io.EOF) {
			return nil, errors.Annotatef(err, "records of %s", a)
		}
	}
	return out, nil
}
