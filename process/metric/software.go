// SPDX-License-Identifier: MIT

package metric

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxSoftware is the maximum number of software versions of a service that have
	// separate metrics: two that a rollout compares, and two of the previous rollout.
	maxSoftware = 4
	// softwareReservoir is the number of samples in the histogram of a version.
	softwareReservoir = 256
)

// otherSoftware is the label for all other versions of a service.
const otherSoftware = "(others)"

// softwareKey identifies a version of a service's software.
type softwareKey struct{ service, software string }

// softwareMetrics holds the metrics of one version.
type softwareMetrics struct {
	requests, failures metrics.Counter
	latency            metrics.Histogram
	lastUsed           int64 // value of softwareVersions.lookups at the last lookup
}

// softwareVersions holds the versions that have separate metrics. When a version is added and
// its service has too many, the least recently used one is merged into otherSoftware. The zero
// value is empty.
type softwareVersions struct {
	mu      sync.Mutex
	metrics map[softwareKey]*softwareMetrics
	lookups int64
}

// Software records the result and the latency of a request to a backend server that runs a
// version of a service's software. It does nothing if software is empty.
func (s *Set) Software(service, software string, failed bool, took time.Duration) {
	if software == "" {
		return
	}
	m := s.software(softwareKey{s.services.label(service), software})
	m.requests.Inc(1)
	if failed {
		m.failures.Inc(1)
		return
	}
	m.latency.Update(took.Microseconds())
}

// software returns the metrics of a version and marks it as used.
func (s *Set) software(key softwareKey) *softwareMetrics {
	v := &s.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lookups++
	m := v.metrics[key]
	if m == nil {
		m = s.addSoftware(key)
	}
	m.lastUsed = v.lookups
	return m
}

// addSoftware adds the metrics of a version. The caller holds the lock.
func (s *Set) addSoftware(key softwareKey) *softwareMetrics {
	v := &s.versions
	if v.metrics == nil {
		v.metrics = make(map[softwareKey]*softwareMetrics)
	}
	others := softwareKey{key.service, otherSoftware}
	oldest, count := softwareKey{}, 0
	for k, m := range v.metrics {
		if k.service != key.service || k == others {
			continue
		}
		count++
		if count == 1 || m.lastUsed < v.metrics[oldest].lastUsed {
			oldest = k
		}
	}
	if count >= maxSoftware {
		s.mergeSoftware(oldest, others)
	}
	v.metrics[key] = s.newSoftware(key)
	return v.metrics[key]
}

// mergeSoftware adds the metrics of a version to those of the other versions of its service,
// and removes it. The caller holds the lock.
func (s *Set) mergeSoftware(key, others softwareKey) {
	v := &s.versions
	sum := v.metrics[others]
	if sum == nil {
		sum = s.newSoftware(others)
		v.metrics[others] = sum
	}
	merged := v.metrics[key]
	sum.requests.Inc(merged.requests.Count())
	sum.failures.Inc(merged.failures.Count())
	for _, took := range merged.latency.Sample().Values() {
		sum.latency.Update(took)
	}
	for _, name := range softwareNames(key) {
		s.registry.Unregister(name)
	}
	delete(v.metrics, key)
}

// newSoftware registers the metrics of a version.
func (s *Set) newSoftware(key softwareKey) *softwareMetrics {
	names := softwareNames(key)
	return &softwareMetrics{
		requests: s.Counter(names[0]), failures: s.Counter(names[1]), latency: s.histogram(names[2], softwareReservoir),
	}
}

// softwareNames returns the names of the metrics of a version: requests, failures, latency.
func softwareNames(key softwareKey) [3]string {
	labels := fmt.Sprintf("{service=%s,software=%s}", strconv.Quote(key.service), strconv.Quote(key.software))
	return [...]string{"software_requests_total" + labels, "software_failures_total" + labels, "software_latency_us" + labels}
}
