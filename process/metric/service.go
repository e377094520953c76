// SPDX-License-Identifier: MIT

package metric

import "sync"

// maxServices is the maximum number of services that have separate metrics. Each has histograms of some 20 kB.
const maxServices = 256

// otherServices is the label for all other services.
const otherServices = "(others)"

// serviceLabels holds the services that have separate metrics: the first ones that had requests. The zero value is empty.
type serviceLabels struct {
	mu    sync.RWMutex
	known map[string]struct{}
}

// label returns the label for a service; "" is none.
func (l *serviceLabels) label(service string) string {
	if service == "" {
		return ""
	}
	l.mu.RLock()
	_, known := l.known[service]
	full := len(l.known) >= maxServices
	l.mu.RUnlock()
	if known {
		return service
	}
	if full {
		return otherServices
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = make(map[string]struct{})
	}
	if len(l.known) >= maxServices {
		return otherServices
	}
	l.known[service] = struct{}{}
	return service
}
