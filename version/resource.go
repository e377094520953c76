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

// Kind is the type of a resource.
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

// deprecatedKindBackend is the name of KindBackend in an earlier release. It is accepted but
// never written, so that operators' documents and versions stored by that release stay valid.
const deprecatedKindBackend = "upstream"

// ParseKind converts text to a kind. It accepts the deprecated name of KindBackend and does
// not check that the kind exists.
func ParseKind(text string) Kind {
	if text == deprecatedKindBackend {
		return KindBackend
	}
	return Kind(text)
}

// UnmarshalText implements encoding.TextUnmarshaler by ParseKind.
func (k *Kind) UnmarshalText(b []byte) error {
	*k = ParseKind(string(b))
	return nil
}

// Kinds lists all kinds, ordered so that each kind follows those that it refers to.
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
// fields is set, the one for its Kind.
type Resource struct {
	Key
	// Version is the sequence number of the change that last wrote the
	// resource. In a change it is the version that the change was made
	// against; zero means that the resource must not exist.
	Version int64
	// Deprecated lists the deprecated kinds and fields that the document was read
	// with, so that its author can be warned.
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

// Service is a set of routes that one group of backend servers serves.
type Service struct {
	// Workspace is the workspace that may change the service. If it is empty, only
	// admin workspaces may.
	Workspace string `json:"workspace,omitempty"`
	// Hosts are the values of the Host header that select the service.
	Hosts []string `json:"hosts,omitempty"`
	// Routes are matched in order; the first match is used.
	Routes []ServiceRoute `json:"routes,omitempty"`
	// Queue is the maximum number of requests that wait for a slot at one instance.
	// Zero means DefaultQueue.
	Queue int `json:"queue,omitempty"`
	// Warming limits the requests to a backend server after its start.
	Warming *Warming `json:"warming,omitempty"`
	// MaxConnections limits the connections to one backend server, over all
	// instances. Zero means no limit.
	MaxConnections int `json:"maxConnections,omitempty"`
}

// ServiceRoute defines how the requests below a path prefix are handled.
type ServiceRoute struct {
	Prefix     string        `json:"prefix"`
	Methods    []string      `json:"methods,omitempty"` // empty: all
	Class      request.Class `json:"class"`
	Repeatable bool          `json:"repeatable"`
	Deadline   Duration      `json:"deadline"`
	// MaxBody is the maximum size of a request body in bytes. Zero means DefaultMaxBody.
	MaxBody int64 `json:"maxBody,omitempty"`
}

// Region is a group of halls with links to other regions.
type Region struct {
	Description string `json:"description,omitempty"`
}

// Hall is a location with instances and backend servers, within a region.
type Hall struct {
	Region string `json:"region"`
	// Clients are the blocks of client addresses nearest to this hall.
	Clients []netip.Prefix `json:"clients,omitempty"`
}

// Backend is one server of a service.
type Backend struct {
	Service string `json:"service"`
	Hall    string `json:"hall"`
	// Address is an IP address and a port.
	Address netip.AddrPort `json:"address"`
	// Slots is the number of requests that it can process concurrently.
	Slots int `json:"slots"`
	// Leaving is set if it is to get no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Software is the version of the software that it runs. Empty if it reports none.
	Software string `json:"software,omitempty"`
	// Incarnation identifies one start of the server. Zero if it reports none.
	Incarnation int64 `json:"incarnation,omitempty"`
	// Cold is the time for which it counts as cold, from when it was declared.
	Cold Duration `json:"cold,omitempty"`
}

// Link allows requests of one region to be served in another.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Cap is the maximum number of concurrent requests on the link.
	Cap int `json:"cap"`
	// Latency is the round-trip time between the regions.
	Latency Duration `json:"latency"`
}

// Shift moves a share of one region's requests to another region.
type Shift struct {
	Service string  `json:"service"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Share   float64 `json:"share"` // 0 to 1
	// Cap is the maximum number of concurrent shifted requests, Rate the
	// maximum number that start in any one second. Zero Rate means no limit.
	Cap  int `json:"cap"`
	Rate int `json:"rate,omitempty"`
	// Ramp is the time over which the share increases linearly from zero.
	Ramp Duration `json:"ramp,omitempty"`
}

// Drain takes a backend server, a hall or a region out of service. Exactly one of them is
// set.
type Drain struct {
	Backend string `json:"backend,omitempty"`
	Hall    string `json:"hall,omitempty"`
	Region  string `json:"region,omitempty"`
	// Upstream is the name of Backend in an earlier release. It is accepted but never
	// written.
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

// Duration is a time.Duration that is serialized as text, such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes text such as "250ms".
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

// document is the serialized form of a Resource.
type document struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// spec returns the spec field for the kind. If it is unset, it is allocated if create is
// set. spec returns nil for an unknown kind or an unset field.
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

// MarshalJSON encodes the resource as a document.
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.spec(false))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(document{Kind: string(r.Kind), Name: r.Name, Version: r.Version, Spec: spec})
}

// UnmarshalJSON decodes a document and rejects unknown fields.
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
	if drain := r.Drain; drain != nil && drain.Upstream != "" {
		r.Deprecated = append(r.Deprecated, "spec.upstream")
		drain.Backend, drain.Upstream = drain.Upstream, ""
	}
	return nil
}

func strictJSON(b []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// MaxDocuments is the maximum number of documents in one change.
const MaxDocuments = 2000

// Parse reads resources from YAML documents separated by "---" lines. JSON is accepted as
// a subset of YAML.
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

// splitDocuments splits at lines that consist of "---".
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
