// SPDX-License-Identifier: MIT

// Package metric records an instance's metrics with go-metrics, among them a latency
// histogram for each service and class, and counters of results. Write prints them in
// the text format of metric scrapers, one sample per line:
//
//	shalewick_requests_total{service="bids",class="commit",result="OK"} 512
//	shalewick_latency_us{service="bids",class="commit",quantile="0.99"} 20310
package metric

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"shalewick/process/logging"
	"shalewick/process/ratelimit"
	"shalewick/request"
)

// prefix is the prefix of all metric names.
const prefix = "shalewick_"

// Set holds the metrics of one process.
type Set struct {
	registry   metrics.Registry
	services   serviceLabels
	workspaces topWorkspaces
	versions   softwareVersions
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Parameters of the exponentially decaying samples of histograms; see
// metrics.NewExpDecaySample.
const (
	reservoir = 1028
	alpha     = 0.015
)

// Request records the result and the latency of a caller's request.
func (s *Set) Request(service string, class request.Class, code request.Code, took time.Duration) {
	service = s.services.label(service)
	if service == "" {
		service = "none"
	}
	labels := fmt.Sprintf("service=%s,class=%s", strconv.Quote(service), strconv.Quote(class.String()))
	s.Counter("requests_total{" + labels + ",result=" + strconv.Quote(code.Info().Name) + "}").Inc(1)
	s.histogram("latency_us{"+labels+"}", reservoir).Update(took.Microseconds())
}

// Stages of a request at an instance, the values of the label stage.
const (
	StageFirstByte = "first-byte" // from accepting a connection to the first byte of its first request
	StagePlacement = "placement"  // waiting for a slot of a backend server
	StageRejection = "rejection"  // waiting for a slot in vain
	StageDispatch  = "dispatch"   // from the connection to the header of the response
	StageResponse  = "response"   // reading the body of the response
)

// Stage records the duration of one stage of a request.
func (s *Set) Stage(stage string, took time.Duration) {
	s.histogram("stage_us{stage="+strconv.Quote(stage)+"}", reservoir).Update(took.Microseconds())
}

// SchedulingDelay records by how much a timer of the process fired late.
func (s *Set) SchedulingDelay(delay time.Duration) {
	s.histogram(`scheduling_delay_us{source="timer"}`, reservoir).Update(delay.Microseconds())
}

// Retry counts a retry of a request.
func (s *Set) Retry(service string) {
	service = s.services.label(service)
	s.Counter("retries_total{service=" + strconv.Quote(service) + "}").Inc(1)
}

// Ends of a request that was forwarded to another instance, the values of the label end.
const (
	ForwardedServed   = "served"
	ForwardedRejected = "refused" // it was not executed
	ForwardedFailed   = "failed"
)

// Forwarded records a request that was forwarded to another instance, and the time until its end.
func (s *Set) Forwarded(service, reason, end string, took time.Duration) {
	service = s.services.label(service)
	s.Counter(fmt.Sprintf("requests_forwarded_total{service=%q,reason=%q,end=%q}", service, reason, end)).Inc(1)
	s.histogram(fmt.Sprintf("forwarded_us{service=%q}", service), reservoir).Update(took.Microseconds())
}

// ServedForOther counts a request that another instance forwarded to this one, by its result.
func (s *Set) ServedForOther(service string, code request.Code) {
	service = s.services.label(service)
	s.Counter(fmt.Sprintf("requests_for_others_total{service=%q,result=%q}", service, code.Info().Name)).Inc(1)
}

// InvalidLoadReport counts a response of a backend server whose load report is invalid, entirely
// or in part.
func (s *Set) InvalidLoadReport(service string) {
	service = s.services.label(service)
	s.Counter("load_reports_bad_total{service=" + strconv.Quote(service) + "}").Inc(1)
}

// RateLimit counts a response in which a backend server announces a rate limit.
func (s *Set) RateLimit(service string) {
	service = s.services.label(service)
	s.Counter("answers_rate_limit_total{service=" + strconv.Quote(service) + "}").Inc(1)
}

// RateLimits sets the gauges of rate limits: how many backend servers are limited, and this
// instance's permit requests by result.
func (s *Set) RateLimits(limited int, n ratelimit.Counts) {
	s.Gauge("backends_limited").Update(int64(limited))
	s.Gauge(`permits{result="granted"}`).Update(n.Granted)
	s.Gauge(`permits{result="denied"}`).Update(n.Denied)
	s.Gauge(`permits{result="unanswered"}`).Update(n.Unanswered)
}

// LogWriter adds the number of dropped lines of the log, if its writer counts them.
func (s *Set) LogWriter(w io.Writer) {
	if a, ok := w.(*logging.AsyncWriter); ok {
		_ = s.registry.Register("log_lines_dropped", metrics.NewFunctionalGauge(a.Dropped)) // fails only the second time
	}
}

// InvalidRateLimit counts a response of a backend server whose rate limit is invalid.
func (s *Set) InvalidRateLimit(service string) {
	service = s.services.label(service)
	s.Counter("rate_limits_bad_total{service=" + strconv.Quote(service) + "}").Inc(1)
}

// CutOff counts a request that was aborted since one side did not send or read in time. The
// kind names that side.
func (s *Set) CutOff(kind string) {
	s.Counter("requests_cut_off_total{waited_for=" + strconv.Quote(kind) + "}").Inc(1)
}

// UnreadBody counts a response that was sent before the end of the request's body. Kept is set if the caller sent the
// rest, so that its connection was kept.
func (s *Set) UnreadBody(service string, kept bool) {
	service = s.services.label(service)
	connection := "closed"
	if kept {
		connection = "kept"
	}
	s.Counter(fmt.Sprintf("bodies_unread_total{service=%q,connection=%q}", service, connection)).Inc(1)
}

// Notice counts a response in which a backend server announces that it is leaving, or
// requests a backoff.
func (s *Set) Notice(service string, n request.Notice) {
	service = s.services.label(service)
	labels := "{service=" + strconv.Quote(service) + "}"
	if n.Leaving {
		s.Counter("answers_leaving_total" + labels).Inc(1)
	}
	if n.RetryAfter > 0 {
		s.Counter("answers_retry_after_total" + labels).Inc(1)
	}
}

// Outcomes of a request, the values of the label end.
const (
	OutcomeInTime   = "in-time"
	OutcomeLate     = "late"
	OutcomeRejected = "refused" // it was not executed
	OutcomeFailed   = "failed"
)

// RequestWithNotice counts the outcome of a request that received a notice from a backend server.
// It shows how leaving servers and rejections affect callers.
func (s *Set) RequestWithNotice(service string, n request.Notice, outcome string) {
	service = s.services.label(service)
	count := func(notice string) {
		s.Counter(fmt.Sprintf("requests_noticed_total{service=%q,notice=%q,end=%q}", service, notice, outcome)).Inc(1)
	}
	if n.Leaving {
		count("leaving")
	}
	if n.RetryAfter > 0 {
		count("retry-after")
	}
}

// Counter returns the counter with the name, which may contain labels in braces.
func (s *Set) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, s.registry)
}

// Gauge returns the gauge with the name, which may contain labels in braces.
func (s *Set) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, s.registry)
}

// histogram returns the histogram with the name, which may contain labels in braces.
func (s *Set) histogram(name string, reservoir int) metrics.Histogram {
	return s.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, alpha))
	}).(metrics.Histogram)
}

var quantiles = []float64{0.5, 0.99, 0.999}

// Write prints all metrics in sorted order.
func (s *Set) Write(w io.Writer) error {
	var lines []string
	s.registry.Each(func(name string, m any) { lines = append(lines, formatSamples(name, m)...) })
	slices.Sort(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	return nil
}

// formatSamples returns the lines for one metric.
func formatSamples(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s%s %d", prefix, name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s%s %d", prefix, name, m.Value())}
	case metrics.Histogram:
		h := m.Snapshot()
		base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
		lines := []string{
			fmt.Sprintf("%s%s_count{%s} %d", prefix, base, labels, h.Count()),
			fmt.Sprintf("%s%s_sum{%s} %d", prefix, base, labels, h.Sum()),
		}
		for i, v := range h.Percentiles(quantiles) {
			lines = append(lines, fmt.Sprintf("%s%s{%s,quantile=\"%g\"} %.0f", prefix, base, labels, quantiles[i], v))
		}
		return lines
	}
	return nil
}
