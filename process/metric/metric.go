// SPDX-License-Identifier: MIT

// Package metric holds an instance's metrics: a histogram of latencies for
// each service and class, and counters of results, kept with go-metrics. Write
// prints them as one "name value" line each.
package metric

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"shalewick/request"
)

// Set is the metrics of one process.
type Set struct {
	registry metrics.Registry
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Sample sizes of histograms; see go-metrics.
const (
	reservoir = 1028
	alpha     = 0.015
)

// Request counts the end of a caller's request.
func (s *Set) Request(service string, class request.Class, code request.Code, took time.Duration) {
	if service == "" {
		service = "none"
	}
	base := "service." + service + "." + class.String()
	s.Counter(base + ".result." + code.Info().Name).Inc(1)
	s.histogram(base + ".latency_us").Update(took.Microseconds())
}

// Retry counts a further attempt at a request.
func (s *Set) Retry(service string) {
	s.Counter("service." + service + ".retries").Inc(1)
}

// Counter returns the counter of a name.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// Gauge returns the gauge of a name.
func (s *Set) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, s.registry)
}

func (s *Set) histogram(name string) metrics.Histogram {
	return s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, alpha))
	}).(metrics.Histogram)
}

var quantiles = []float64{0.5, 0.99, 0.999}

// Write prints all metrics, ordered by name.
func (s *Set) Write(w io.Writer) error {
	var lines []string
	s.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			h := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.count %d", name, h.Count()))
			for i, v := range h.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s.p%g %.0f", name, quantiles[i]*100, v))
			}
		}
	})
	slices.Sort(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}
