// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"shalewick/request"
)

// Change is the step from the configuration at Seq-1 to the one at Seq.
type Change struct {
	Seq int64 `json:"seq"`
	// Operation identifies the operator's call, so that an answer that was
	// lost can be asked for again.
	Operation string     `json:"operation"`
	Author    string     `json:"author,omitempty"`
	Puts      []Resource `json:"puts,omitempty"`
	Deletes   []Ref      `json:"deletes,omitempty"`
}

// Ref names a resource at a version.
type Ref struct {
	Key
	Version int64 `json:"version"`
}

// Refs lists what a change touches, at the versions that it was made against.
func (ch *Change) Refs() []Ref {
	refs := slices.Clone(ch.Deletes)
	for _, r := range ch.Puts {
		refs = append(refs, Ref{Key: r.Key, Version: r.Version})
	}
	return refs
}

// keptOperations is the number of past operation ids that a Config remembers.
const maxOperations = 1000

// Operation is an operator's call that was accepted.
type Operation struct {
	ID  string `json:"id"`
	Seq int64  `json:"seq"`
}

// Config is the whole configuration at one sequence number. It is not changed
// once made. The zero value is the empty configuration.
type Config struct {
	Seq        int64
	Resources  map[Key]Resource
	Operations []Operation // oldest first
	// Announced are backend servers that announce themselves, beside those among the resources,
	// ordered by name. They are not part of snapshots.
	Announced []*AnnouncedBackend
	// Onward says that these are other instances, which pass requests on to the backend servers:
	// several may have one address. It is not part of snapshots.
	BackendsAreInstances bool
	// Software says by service which versions of its software may get requests. Of a
	// service that is not there all backend servers may. It is not part of what
	// operators declare, and not of snapshots: it follows from the roll-outs' state.
	Software map[string]Software
	// LetThrough are requests that operators let through though they crash backend
	// servers. It is not part of snapshots either.
	ReleasedFingerprints map[request.Fingerprint]bool
}

// Snapshot is the written form of a Config.
type Snapshot struct {
	Seq        int64       `json:"seq"`
	Resources  []Resource  `json:"resources"`
	Operations []Operation `json:"operations"`
}

// Snapshot returns the written form, in a fixed order.
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

// List returns the resources of a kind, or all for "", ordered by kind and name.
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

// FindOperation returns the sequence number that an operation was accepted
// at, or zero.
func (c *Config) FindOperation(id string) int64 {
	for _, o := range slices.Backward(c.Operations) {
		if o.ID == id {
			return o.Seq
		}
	}
	return 0
}

// ConflictError says that a resource is not at the version that a change was
// made against.
type ConflictError struct {
	Key     Key
	Wanted  int64    // version named by the change
	Present Resource // zero Kind when it does not exist
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	if e.Present.Kind == "" {
		return fmt.Sprintf("%s: change was made against version %d, but it does not exist", e.Key, e.Wanted)
	}
	return fmt.Sprintf("%s: change was made against version %d, present version is %d", e.Key, e.Wanted, e.Present.Version)
}

// Propose checks a change of an operator against the versions it names and
// against the rules, and returns the configuration it would make. The change
// gets the next sequence number.
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

// Apply returns the configuration after an accepted change, whose Seq must be
// the next one.
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
