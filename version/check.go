// SPDX-License-Identifier: MIT

package version

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"shalewick/request"
)

// FieldError reports a field of a resource that violates a rule.
type FieldError struct {
	Key   Key
	Field string
	Rule  string
}

// Error returns "kind/name: field: rule".
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Key, e.Field, e.Rule)
}

var namePattern = regexp.MustCompile("^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$")

// Check validates the whole configuration and returns the first violation as a
// *FieldError.
func (c *Config) Check() error {
	for _, r := range c.List("") {
		k := checker{c: c, key: r.Key}
		k.require(len(r.Name) <= MaxName && namePattern.MatchString(r.Name), "name",
			"must be 1 to 63 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit")
		k.resource(&r)
		if k.err != nil {
			return k.err
		}
	}
	return c.checkUnique()
}

// checker validates one resource and keeps the first violation.
type checker struct {
	c   *Config
	key Key
	err error
}

// require records a violation unless ok is set.
func (k *checker) require(ok bool, field, rule string) {
	if !ok && k.err == nil {
		k.err = &FieldError{Key: k.key, Field: field, Rule: rule}
	}
}

// requireExists checks that the resource that a field refers to exists.
func (k *checker) requireExists(field string, kind Kind, name string) {
	if _, ok := k.c.Resources[Key{kind, name}]; !ok {
		k.require(false, field, fmt.Sprintf("names %s %q, which does not exist", kind, name))
	}
}

func (k *checker) resource(r *Resource) {
	switch r.Kind {
	case KindService:
		k.service(r.Service)
	case KindHall:
		k.requireExists("spec.region", KindRegion, r.Hall.Region)
	case KindBackend:
		k.backend(r.Backend)
	case KindLink:
		k.link(r.Link)
	case KindShift:
		k.shift(r.Shift)
	case KindDrain:
		k.drain(r.Drain)
	case KindRoute:
		k.route(r.Route)
	case KindLimits:
		k.limits(r.Limits)
	case KindWorkspace:
		k.workspace(r.Workspace)
	case KindRollout:
		k.rollout(r.Rollout)
	}
}

func (k *checker) service(s *Service) {
	k.require(len(s.Routes) > 0 || k.c.hasRoute(k.key.Name), "spec.routes", "must have at least one route, unless a route resource names the service")
	k.warming(s.Warming)
	k.require(s.MaxConnections >= 0, "spec.maxConnections", "must not be negative")
	k.require(s.Queue >= 0 && s.Queue <= 1<<16, "spec.queue", "must be 0 to 65536")
	for i, rt := range s.Routes {
		f := fmt.Sprintf("spec.routes[%d].", i)
		k.require(strings.HasPrefix(rt.Prefix, "/"), f+"prefix", "must begin with '/'")
		k.require(rt.Class.Valid(), f+"class", "must be one of "+strings.Join(request.ClassNames(), ", "))
		k.require(rt.Deadline > 0 && time.Duration(rt.Deadline) <= MaxDeadline, f+"deadline", "must be above 0 and at most 10m")
		k.require(rt.MaxBody >= 0, f+"maxBody", "must not be negative")
	}
}

func (k *checker) backend(b *Backend) {
	k.requireExists("spec.service", KindService, b.Service)
	k.requireExists("spec.hall", KindHall, b.Hall)
	k.require(b.Address.IsValid() && b.Address.Port() != 0, "spec.address", "must be an IP address and a port")
	k.require(b.Cold >= 0, "spec.cold", "must not be negative")
	k.require(b.Slots >= 1 && b.Slots <= MaxSlots, "spec.slots", "must be 1 to 4096")
}

func (k *checker) link(l *Link) {
	k.requireExists("spec.from", KindRegion, l.From)
	k.requireExists("spec.to", KindRegion, l.To)
	k.require(l.From != l.To, "spec.to", "must differ from spec.from")
	k.require(l.Cap >= 0 && l.Cap <= MaxSlots, "spec.cap", "must be 0 to 4096")
	k.require(l.Latency >= 0, "spec.latency", "must not be negative")
}

func (k *checker) shift(s *Shift) {
	k.requireExists("spec.service", KindService, s.Service)
	k.requireExists("spec.from", KindRegion, s.From)
	k.requireExists("spec.to", KindRegion, s.To)
	k.require(s.From != s.To, "spec.to", "must differ from spec.from")
	k.require(s.Share >= 0 && s.Share <= 1, "spec.share", "must be 0 to 1")
	k.require(s.Cap >= 0 && s.Cap <= MaxSlots, "spec.cap", "must be 0 to 4096")
	k.require(s.Rate >= 0 && s.Rate <= MaxSlots, "spec.rate", "must be 0 to 4096")
	k.require(s.Ramp >= 0, "spec.ramp", "must not be negative")
	k.require(k.c.hasLink(s.From, s.To), "spec.to", "has no link from spec.from")
}

func (c *Config) hasLink(from, to string) bool {
	for _, r := range c.Resources {
		if r.Link != nil && r.Link.From == from && r.Link.To == to {
			return true
		}
	}
	return false
}

func (k *checker) drain(d *Drain) {
	targets := 0
	for _, t := range []struct {
		field string
		kind  Kind
		name  string
	}{
		{"spec.backend", KindBackend, d.Backend},
		{"spec.hall", KindHall, d.Hall},
		{"spec.region", KindRegion, d.Region},
	} {
		if t.name == "" {
			continue
		}
		targets++
		k.requireExists(t.field, t.kind, t.name)
	}
	k.require(targets == 1, "spec", "must name exactly one backend server, hall or region")
}

// checkUnique checks that no two resources have the same value in a field that
// must be unique.
func (c *Config) checkUnique() error {
	seen := make(map[string]Key)
	addValue := func(r Resource, field, what string) error {
		if other, ok := seen[field+what]; ok {
			return &FieldError{Key: r.Key, Field: field, Rule: fmt.Sprintf("%s is already used by %s", what, other)}
		}
		seen[field+what] = r.Key
		return nil
	}
	for _, r := range c.List("") {
		if err := r.eachUniqueValue(addValue); err != nil {
			return err
		}
	}
	return c.checkUniqueKeys()
}

// eachUniqueValue calls f for each value that no other resource may have.
func (r Resource) eachUniqueValue(f func(r Resource, field, what string) error) error {
	switch r.Kind {
	case KindBackend:
		return f(r, "spec.address", r.Backend.Address.String())
	case KindLink:
		return f(r, "spec.to", "link from "+r.Link.From+" to "+r.Link.To)
	case KindShift:
		return f(r, "spec.to", "shift of "+r.Shift.Service+" from "+r.Shift.From)
	case KindRoute:
		return f(r, "spec.prefix", r.Route.Host+r.Route.Prefix)
	case KindLimits:
		return f(r, "kind", "the kind limits")
	case KindRollout:
		return f(r, "spec.service", "roll-out of "+r.Rollout.Service)
	case KindService:
		for _, h := range r.Service.Hosts {
			if err := f(r, "spec.hosts", h); err != nil {
				return err
			}
		}
	case KindHall:
		for _, p := range r.Hall.Clients {
			if err := f(r, "spec.clients", p.Masked().String()); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckRoutes validates routes, limits, workspaces, the warming of services and the
// uniqueness of values. Unlike Check, it accepts services without a route.
func (c *Config) CheckRoutes() error {
	for _, kind := range []Kind{KindRoute, KindLimits, KindWorkspace} {
		for _, r := range c.List(kind) {
			if err := c.CheckSpec(r.Key); err != nil {
				return err
			}
		}
	}
	for _, r := range c.List(KindService) {
		k := checker{c: c, key: r.Key}
		k.warming(r.Service.Warming)
		if k.err != nil {
			return k.err
		}
	}
	return c.checkUnique()
}

// CheckSpec validates one resource except its name.
func (c *Config) CheckSpec(key Key) error {
	r := c.Resources[key]
	k := checker{c: c, key: key}
	k.resource(&r)
	return k.err
}
