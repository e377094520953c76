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
	// maxSoftware bounds the versions of a service's software that have metrics of
	// their own. Origin: two that a roll-out compares, and those of the one before.
	maxSoftware = 4
	// softwareReservoir is the number of samples in the histogram of one.
	softwareReservoir = 256
)

// otherSoftware is the label of all others of a service.
const otherSoftware = "(others)"

// softwareKey names a version of a service's software.
type softwareKey struct{ service, software string }

// softwareMetrics are those of one version.
type softwareMetrics struct {
	requests, failures metrics.Counter
	latency            metrics.Histogram
	lastUsed           int64 // when it was last looked up
}

// softwareVersions are the versions that have metrics of their own. When a new one comes and a
// service has too many, the one that was not used for longest goes to the others. The
// zero value is empty.
type softwareVersions struct {
	mu      sync.Mutex
	metrics map[softwareKey]*softwareMetrics
	lookups int64
}

// Software counts an answer, or the lack of one, of a backend server that runs a version
// of a service's software. "" is none.
func (s *Set) Software(service, software string, failed bool, took time.Duration) {
	if software == "" {
		return
	}
	m := s.software(softwareKey{service, software})
	m.requests.Inc(1)
	if failed {
		m.failures.Inc(1)
		return
	}
	m.latency.Update(took.Microseconds())
}

// software returns the metrics of a version.
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

// addSoftware makes the metrics of a version. The caller holds the lock.
func (s *Set) addSoftware(key softwareKey) *softwareMetrics {
	v := &s.versions
	if v.metrics == nil {
		v.metrics = make(map[softwareKey]*softwareMetrics)
	}
	others := softwareKey{key.service, otherSoftware}
	oldest, known := softwareKey{}, 0
	for k, m := range v.metrics {
		if k.service != key.service || k == others {
			continue
		}
		known++
		if known == 1 || m.lastUsed < v.metrics[oldest].lastUsed {
			oldest = k
		}
	}
	if known >= maxSoftware {
		s.mergeSoftware(oldest, others)
	}
	v.metrics[key] = s.newSoftware(key)
	return v.metrics[key]
}

// mergeSoftware adds the counts of a version to those of the others of its service. The
// caller holds the lock.
func (s *Set) mergeSoftware(key, others softwareKey) {
	v := &s.versions
	sum := v.metrics[others]
	if sum == nil {
		sum = s.newSoftware(others)
		v.metrics[others] = sum
	}
	gone := v.metrics[key]
	sum.requests.Inc(gone.requests.Count())
	sum.failures.Inc(gone.failures.Count())
	for _, took := range gone.latency.Sample().Values() {
		sum.latency.Update(took)
	}
	for _, name := range softwareNames(key) {
		s.registry.Unregister(name)
	}
	delete(v.metrics, key)
}

func (s *Set) newSoftware(key softwareKey) *softwareMetrics {
	names := softwareNames(key)
	return &softwareMetrics{
		requests: s.Counter(names[0]), failures: s.Counter(names[1]), latency: s.histogram(names[2], softwareReservoir),
	}
}

// softwareNames returns the names of requests, failures and latency of a version.
func softwareNames(key softwareKey) [3]string {
	of := fmt.Sprintf("{service=%s,software=%s}", strconv.Quote(key.service), strconv.Quote(key.software))
	return [...]string{"software_requests_total" + of, "software_failures_total" + of, "software_latency_us" + of}
}
