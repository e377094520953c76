// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"shalewick/request"
)

// Change is an atomic set of writes that leads from the configuration at Seq-1 to the
// one at Seq.
type Change struct {
	Seq int64 `json:"seq"`
	// Operation is the idempotency key of the operator's call: if its response is
	// lost, the outcome can be queried by it.
	Operation string     `json:"operation"`
	Author    string     `json:"author,omitempty"`
	Puts      []Resource `json:"puts,omitempty"`
	Deletes   []Ref      `json:"deletes,omitempty"`
}

// Ref identifies a resource at a version.
type Ref struct {
	Key
	Version int64 `json:"version"`
}

// Refs returns the resources that a change writes or deletes, at the versions that
// it was made against.
func (ch *Change) Refs() []Ref {
	refs := slices.Clone(ch.Deletes)
	for _, r := range ch.Puts {
		refs = append(refs, Ref{Key: r.Key, Version: r.Version})
	}
	return refs
}

// maxOperations is the number of accepted operations that a Config keeps.
const maxOperations = 1000

// Operation records an accepted call of an operator and the sequence number of its
// change.
type Operation struct {
	ID  string `json:"id"`
	Seq int64  `json:"seq"`
}

// Config is the complete configuration at one sequence number. It is immutable. The
// zero value is the empty configuration.
type Config struct {
	Seq        int64
	Resources  map[Key]Resource
	Operations []Operation // oldest first
	// Announced are the backend servers that register themselves, in addition to those in
	// Resources, ordered by name. They are not part of snapshots.
	Announced []*AnnouncedBackend
	// BackendsAreInstances is set if the entries of Announced are other instances, which
	// forward requests to the backend servers. Several entries may then have the same
	// address. It is not part of snapshots.
	BackendsAreInstances bool
	// Software holds, by service, the versions of its software that may get requests.
	// All backend servers of a service without an entry may get requests. Operators do
	// not declare it, and it is not part of snapshots: it is derived from the state of
	// the rollouts.
	Software map[string]Software
	// ReleasedFingerprints are the requests that operators exempt from quarantine although
	// they crash backend servers. It is not part of snapshots.
	ReleasedFingerprints map[request.Fingerprint]bool
}

// Snapshot is the serialized form of a Config.
type Snapshot struct {
	Seq        int64       `json:"seq"`
	Resources  []Resource  `json:"resources"`
	Operations []Operation `json:"operations"`
}

// Snapshot returns the serializable form, in a deterministic order.
func (c *Config) Snapshot() Snapshot {
	return Snapshot{Seq: c.Seq, Resources: c.List(""), Operations: c.Operations}
}

// Config returns the configuration that the snapshot was made from.
func (s Snapshot) Config() *Config {
	c := &Config{Seq: s.Seq, Resources: make(map[Key]Resource, len(s.Resources)), Operations: s.Operations}
	for _, r := range s.Resources {
		c.Resources[r.Key] = r
	}
	return c
}

// List returns the resources of a kind, or of all kinds if kind is "", ordered by kind
// and name.
func (c *Config) List(kind Kind) []Resource {
	var rs []Resource
	for _, r := range c.Resources {
		if kind == "" || r.Kind == kind {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b Resource) int {
		return cmp.Or(
			cmp.Compare(slices.Index(Kinds[:], a.Kind), slices.Index(Kinds[:], b.Kind)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return rs
}

// FindOperation returns the sequence number at which an operation was accepted, or
// zero if it is not among the kept operations.
func (c *Config) FindOperation(id string) int64 {
	for _, o := range slices.Backward(c.Operations) {
		if o.ID == id {
			return o.Seq
		}
	}
	return 0
}

// ConflictError reports that a resource is not at the version that a change was
// made against.
type ConflictError struct {
	Key     Key
	Wanted  int64    // version that the change was made against
	Present Resource // Kind is empty if the resource does not exist
}

// Error returns the expected and the present version.
func (e *ConflictError) Error() string {
	if e.Present.Kind == "" {
		return fmt.Sprintf("%s: change was made against version %d, but it does not exist", e.Key, e.Wanted)
	}
	return fmt.Sprintf("%s: change was made against version %d, present version is %d", e.Key, e.Wanted, e.Present.Version)
}

// Propose validates a change: each resource must be at the version that the change
// was made against, and the resulting configuration must pass Check. It returns that
// configuration, and the change with the next sequence number.
func (c *Config) Propose(ch Change) (*Config, Change, error) {
	seen := make(map[Key]bool)
	for _, r := range ch.Refs() {
		if seen[r.Key] {
			return nil, ch, &FieldError{Key: r.Key, Field: "name", Rule: "appears twice in one change"}
		}
		seen[r.Key] = true
		if present := c.Resources[r.Key]; present.Version != r.Version {
			return nil, ch, &ConflictError{Key: r.Key, Wanted: r.Version, Present: present}
		}
	}
	ch.Seq = c.Seq + 1
	next := c.Apply(ch)
	if err := next.Check(); err != nil {
		return nil, ch, err
	}
	return next, ch, nil
}

// Apply returns the configuration after a change that Propose accepted. Its Seq must
// follow that of the configuration.
func (c *Config) Apply(ch Change) *Config {
	next := &Config{Seq: ch.Seq, Resources: maps.Clone(c.Resources)}
	if next.Resources == nil {
		next.Resources = make(map[Key]Resource)
	}
	for _, r := range ch.Deletes {
		delete(next.Resources, r.Key)
	}
	for _, r := range ch.Puts {
		r.Version = ch.Seq
		next.Resources[r.Key] = r
	}
	first := max(0, len(c.Operations)+1-maxOperations)
	next.Operations = append(slices.Clone(c.Operations[first:]), Operation{ID: ch.Operation, Seq: ch.Seq})
	return next
}
