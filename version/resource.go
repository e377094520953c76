// SPDX-License-Identifier: MIT

package version

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"shalewick/request"
)

// Kind names a kind of resource.
type Kind string

// The kinds of resource.
const (
	KindService   Kind = "service"
	KindRegion    Kind = "region"
	KindHall      Kind = "hall"
	KindBackend   Kind = "backend"
	KindLink      Kind = "link"
	KindShift     Kind = "shift"
	KindDrain     Kind = "drain"
	KindRoute     Kind = "route"
	KindLimits    Kind = "limits"
	KindWorkspace Kind = "workspace"
	KindRollout   Kind = "rollout"
)

// deprecatedBackend is what an earlier release called KindBackend. It is read, never
// written, so that operators' documents and stored versions of that release hold.
const deprecatedKindBackend = "upstream"

// ParseKind returns the kind of a word, which may be one of an earlier release.
func ParseKind(word string) Kind {
	if word == deprecatedKindBackend {
		return KindBackend
	}
	return Kind(word)
}

// UnmarshalText reads a kind as ParseKind does.
func (k *Kind) UnmarshalText(b []byte) error {
	*k = ParseKind(string(b))
	return nil
}

// Kinds lists every kind in the order in which they refer to each other.
var Kinds = [...]Kind{KindRegion, KindHall, KindService, KindBackend, KindLink, KindShift, KindDrain, KindRoute, KindLimits, KindWorkspace, KindRollout}

// Key identifies a resource.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Resource is one document of the configuration. Exactly one of the spec
// fields is set, the one that Kind names.
type Resource struct {
	Key
	// Version is the sequence number of the change that last wrote the
	// resource. In a change it is the version that the change was made
	// against; zero means that the resource must not exist yet.
	Version int64
	// Deprecated names the words of an earlier release that the document was read
	// with, so that whoever wrote it can be warned.
	Deprecated []string

	Service   *Service
	Region    *Region
	Hall      *Hall
	Backend   *Backend
	Link      *Link
	Shift     *Shift
	Drain     *Drain
	Route     *Route
	Limits    *Limits
	Workspace *Workspace
	Rollout   *Rollout
}

// Service is a named set of routes served by one group of backend servers.
type Service struct {
	// Workspace is the workspace that may change the service; "": only an admin workspace.
	Workspace string `json:"workspace,omitempty"`
	// Hosts are the values of the Host header that select the service.
	Hosts []string `json:"hosts,omitempty"`
	// Routes are tried in order; the first match holds.
	Routes []ServiceRoute `json:"routes,omitempty"`
	// Queue bounds the requests that wait for a slot at one instance.
	// Zero means DefaultQueue.
	Queue int `json:"queue,omitempty"`
	// Warming bounds what a backend server is given after its start.
	Warming *Warming `json:"warming,omitempty"`
	// MaxConnections bounds the connections to one backend server over all
	// instances. Zero means no bound.
	MaxConnections int `json:"maxConnections,omitempty"`
}

// ServiceRoute says how the requests below a path are to be treated.
type ServiceRoute struct {
	Prefix     string        `json:"prefix"`
	Methods    []string      `json:"methods,omitempty"` // empty: all
	Class      request.Class `json:"class"`
	Repeatable bool          `json:"repeatable"`
	Deadline   Duration      `json:"deadline"`
	// MaxBody bounds the request body in bytes. Zero means DefaultMaxBody.
	MaxBody int64 `json:"maxBody,omitempty"`
}

// Region is a group of halls with links to other regions.
type Region struct {
	Description string `json:"description,omitempty"`
}

// Hall is one place with instances and backend servers.
type Hall struct {
	Region string `json:"region"`
	// Clients are the blocks of client addresses nearest to this hall.
	Clients []netip.Prefix `json:"clients,omitempty"`
}

// Backend is one server of a service.
type Backend struct {
	Service string `json:"service"`
	Hall    string `json:"hall"`
	// Address is host:port, host an IP number.
	Address netip.AddrPort `json:"address"`
	// Slots is the number of requests that it can serve at once.
	Slots int `json:"slots"`
	// Leaving says that it gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Software is the version of the software that it runs. "": it does not say.
	Software string `json:"software,omitempty"`
	// Incarnation tells its starts apart. Zero: it does not say.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Cold is how long it stays cold, counted from when it was declared.
	Cold Duration `json:"cold,omitempty"`
}

// Link allows requests to cross from one region to another.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Cap is the number of requests that may be on the link at once.
	Cap int `json:"cap"`
	// Latency is the round trip between the regions.
	Latency Duration `json:"latency"`
}

// Shift moves a share of one region's requests to another region.
type Shift struct {
	Service string  `json:"service"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Share   float64 `json:"share"` // 0 to 1
	// Cap bounds the shifted requests that run at once, Rate those that
	// start in any one second. Zero Rate means no bound by the second.
	Cap  int `json:"cap"`
	Rate int `json:"rate,omitempty"`
	// Ramp is the time over which the share rises from zero.
	Ramp Duration `json:"ramp,omitempty"`
}

// Drain takes a backend server, a hall or a region out of use. Exactly one is set.
type Drain struct {
	Backend string `json:"backend,omitempty"`
	Hall    string `json:"hall,omitempty"`
	Region  string `json:"region,omitempty"`
	// Upstream is what an earlier release called Backend. It is read, never written.
	Upstream string `json:"upstream,omitempty"`
}

// Defaults and bounds of resource fields.
const (
	DefaultQueue   = 64
	DefaultMaxBody = 1 << 20
	MaxDeadline    = 10 * time.Minute
	MaxSlots       = 4096
	MaxName        = 63
)

// Duration is a time.Duration that is written as text, like "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads text such as "250ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Errorf("a duration is text like \"250ms\", not %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("%q is not a duration like \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// document is the written form of a Resource.
type document struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// spec returns the spec field that the kind names, made when make is set; nil
// for an unknown kind or an unset field.
func (r *Resource) spec(create bool) any {
	switch r.Kind {
	case KindService:
		return specOf(&r.Service, create)
	case KindRegion:
		return specOf(&r.Region, create)
	case KindHall:
		return specOf(&r.Hall, create)
	case KindBackend:
		return specOf(&r.Backend, create)
	case KindLink:
		return specOf(&r.Link, create)
	case KindShift:
		return specOf(&r.Shift, create)
	case KindDrain:
		return specOf(&r.Drain, create)
	case KindRoute:
		return specOf(&r.Route, create)
	case KindLimits:
		return specOf(&r.Limits, create)
	case KindWorkspace:
		return specOf(&r.Workspace, create)
	case KindRollout:
		return specOf(&r.Rollout, create)
	}
	return nil
}

func specOf[T any](field **T, create bool) any {
	if create && *field == nil {
		*field = new(T)
	}
	if *field == nil {
		return nil
	}
	return *field
}

// MarshalJSON writes the document form.
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.spec(false))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(document{Kind: string(r.Kind), Name: r.Name, Version: r.Version, Spec: spec})
}

// UnmarshalJSON reads the document form and refuses unknown fields.
func (r *Resource) UnmarshalJSON(b []byte) error {
	var d document
	if err := strictJSON(b, &d); err != nil {
		return err
	}
	*r = Resource{Key: Key{Kind: ParseKind(d.Kind), Name: d.Name}, Version: d.Version}
	if d.Kind != string(r.Kind) {
		r.Deprecated = append(r.Deprecated, "kind: "+d.Kind)
	}
	spec := r.spec(true)
	if spec == nil {
		return &FieldError{Key: r.Key, Field: "kind", Rule: "must be one of region, hall, service, backend, link, shift, drain, route, limits, workspace, rollout"}
	}
	if len(d.Spec) == 0 {
		return &FieldError{Key: r.Key, Field: "spec", Rule: "must be present"}
	}
	if err := strictJSON(d.Spec, spec); err != nil {
		return &FieldError{Key: r.Key, Field: "spec", Rule: err.Error()}
	}
	if x := r.Drain; x != nil && x.Upstream != "" {
		r.Deprecated = append(r.Deprecated, "spec.upstream")
		x.Backend, x.Upstream = x.Upstream, ""
	}
	return nil
}

func strictJSON(b []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// MaxDocuments bounds the documents in one change.
const MaxDocuments = 2000

// Parse reads resources from YAML documents divided by "---" lines, or from
// JSON, which is YAML too.
func Parse(b []byte) ([]Resource, error) {
	var rs []Resource
	for i, part := range splitDocuments(b) {
		if len(bytes.TrimSpace(part)) == 0 {
			continue
		}
		if len(rs) == MaxDocuments {
			return nil, errors.Errorf("more than %d documents", MaxDocuments)
		}
		j, err := yaml.YAMLToJSONStrict(part)
		if err != nil {
			return nil, errors.Annotatef(err, "document %d", i+1)
		}
		if string(j) == "null" {
			continue
		}
		var r Resource
		if err := json.Unmarshal(j, &r); err != nil {
			return nil, errors.Annotatef(err, "document %d", i+1)
		}
		rs = append(rs, r)
	}
	return rs, nil
}

// splitDocuments cuts at lines that consist of "---".
func splitDocuments(b []byte) [][]byte {
	var parts [][]byte
	var part []byte
	for line := range bytes.Lines(b) {
		if string(bytes.TrimRight(line, " \t\r\n")) == "---" {
			parts = append(parts, part)
			part = nil
			continue
		}
		part = append(part, line...)
	}
	return append(parts, part)
}
