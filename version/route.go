// SPDX-License-Identifier: MIT

package version

import (
	"fmt"
	"strings"
	"time"

	"shalewick/request"
)

// Route directs the requests of one host below a path prefix to one or more
// services. It is a resource, whereas a ServiceRoute is part of a service.
type Route struct {
	// Host is the value of the Host header, without a port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The route of a host with the longest
	// prefix that matches the path is used.
	Prefix string `json:"prefix"`
	// Class determines which requests are served first under overload.
	Class request.Class `json:"class"`
	// Repeatable is set if a request may be executed more than once.
	Repeatable bool `json:"repeatable"`
	// Timeout is the maximum time from the arrival of a request to the response.
	Timeout Duration `json:"timeout"`
	// Objective is the latency objective: the time within which a response is of full
	// value. Zero means the timeout.
	Objective Duration `json:"objective,omitempty"`
	// Attempts is the maximum number of backend servers that one request is sent to.
	// Zero means 1.
	Attempts int `json:"attempts,omitempty"`
	// Priority ranks the routes of a service; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Sticky sends the requests for one object to the same backend server, which
	// serves objects that it has seen before faster.
	Sticky bool `json:"sticky,omitempty"`
	// Homes are the regions in which requests may be served. Empty means all.
	Homes []string `json:"homes,omitempty"`
	// Anonymous admits requests without a key if there are workspaces.
	Anonymous bool `json:"anonymous,omitempty"`
	// Split distributes the requests among services by weight.
	Split []WeightedService `json:"split"`
}

// WeightedService is one entry of a route's split.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is the share of the requests relative to the other entries.
	Weight float64 `json:"weight"`
}

// Limits restricts what callers may send. There is at most one resource of this kind.
type Limits struct {
	MaxHeader int64    `json:"maxHeader,omitempty"` // bytes; zero: no limit
	MaxBody   int64    `json:"maxBody,omitempty"`   // bytes; zero: no limit
	Header    Duration `json:"header,omitempty"`    // timeout for receiving the header
	Idle      Duration `json:"idle,omitempty"`      // timeout for an idle connection between requests
}

// Warming limits the load of a backend server right after its start.
type Warming struct {
	// Time is the time for which a backend server counts as cold.
	Time Duration `json:"time"`
	// Rate is the number of requests per second that a cold backend server can take,
	// over all instances. Zero means no limit.
	Rate float64 `json:"rate"`
}

// MaxRouteAttempts is the maximum of Route.Attempts.
const MaxRouteAttempts = 8

func (k *checker) route(r *Route) {
	k.require(r.Host != "", "spec.host", "must be set")
	k.require(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "spec.prefix", "must begin and end with '/'")
	k.require(r.Class.Valid(), "spec.class", "must be one of "+strings.Join(request.ClassNames(), ", "))
	k.require(r.Timeout > 0 && time.Duration(r.Timeout) <= MaxDeadline, "spec.timeout", "must be above 0 and at most 10m")
	k.require(r.Objective >= 0, "spec.objective", "must not be negative")
	k.require(r.Attempts >= 0 && r.Attempts <= MaxRouteAttempts, "spec.attempts", "must be 0 to 8")
	k.require(r.Priority >= 0, "spec.priority", "must not be negative")
	k.require(len(r.Split) > 0, "spec.split", "must have at least one part")
	total := 0.0
	for i, w := range r.Split {
		field := fmt.Sprintf("spec.split[%d]", i)
		k.requireExists(field+".service", KindService, w.Service)
		k.require(w.Weight >= 0, field+".weight", "must not be negative")
		total += w.Weight
	}
	k.require(total > 0, "spec.split", "must have a weight above 0")
	for i, h := range r.Homes {
		k.requireExists(fmt.Sprintf("spec.homes[%d]", i), KindRegion, h)
	}
}

func (k *checker) limits(l *Limits) {
	k.require(l.MaxHeader >= 0, "spec.maxHeader", "must not be negative")
	k.require(l.MaxBody >= 0, "spec.maxBody", "must not be negative")
	k.require(l.Header >= 0, "spec.header", "must not be negative")
	k.require(l.Idle >= 0, "spec.idle", "must not be negative")
}

func (k *checker) warming(w *Warming) {
	if w == nil {
		return
	}
	k.require(w.Time >= 0, "spec.warming.time", "must not be negative")
	k.require(w.Rate >= 0, "spec.warming.rate", "must not be negative")
}

// hasRoute reports whether a route resource refers to the service.
func (c *Config) hasRoute(service string) bool {
	for _, r := range c.Resources {
		if r.Route == nil {
			continue
		}
		for _, w := range r.Route.Split {
			if w.Service == service {
				return true
			}
		}
	}
	return false
}
