// SPDX-License-Identifier: MIT

package version

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/juju/errors"
)

// Workspace is a team whose callers authenticate each request with a key. It is a
// resource. If there is at least one workspace, a request needs the key of one, unless
// its route is anonymous.
type Workspace struct {
	// Keys are the hashes of the keys of the workspace's callers. A key belongs to at
	// most one workspace.
	Keys []KeyHash `json:"keys,omitempty"`
	// Priority ranks the workspace's requests among those of a service; 0 is the most
	// urgent. It overrides the priority of the route.
	Priority int `json:"priority,omitempty"`
	// Rate is the maximum number of requests per second of the workspace over all
	// instances, and Burst the number that may exceed it at once. Zero Rate means no
	// limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Homes are the regions in which the workspace's requests may be served. Empty
	// means all. If the route has homes as well, only regions in both may serve.
	Homes []string `json:"homes,omitempty"`
}

// KeyHash is the SHA-256 of a caller's key, so that neither memory nor documents
// contain the key itself. Its text form is hexadecimal.
type KeyHash [sha256.Size]byte

// maxStackKey is the length in bytes up to which a key is hashed without allocating.
const maxStackKey = 128

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash {
	var buf [maxStackKey]byte
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// MarshalText encodes the hash as hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText decodes 64 hexadecimal digits.
func (h *KeyHash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(h)) {
		return errors.New("a key is written as the SHA-256 of it, 64 hexadecimal digits")
	}
	_, err := hex.Decode(h[:], b)
	return errors.Annotate(err, "hash of a key")
}

func (k *checker) workspace(w *Workspace) {
	k.require(w.Priority >= 0, "spec.priority", "must not be negative")
	k.require(w.Rate >= 0, "spec.rate", "must not be negative")
	k.require(w.Burst >= 0, "spec.burst", "must not be negative")
	for i, h := range w.Homes {
		k.requireExists(fmt.Sprintf("spec.homes[%d]", i), KindRegion, h)
	}
}

// checkUniqueKeys checks that no two workspaces have the same key. The error contains
// neither the key nor its hash.
func (c *Config) checkUniqueKeys() error {
	owners := make(map[KeyHash]Key)
	for _, r := range c.List(KindWorkspace) {
		for i, h := range r.Workspace.Keys {
			if other, used := owners[h]; used && other != r.Key {
				return &FieldError{Key: r.Key, Field: fmt.Sprintf("spec.keys[%d]", i), Rule: "is already used by " + other.String()}
			}
			owners[h] = r.Key
		}
	}
	return nil
}

// Workspaces finds the workspace of a caller's key. It is immutable and shared by
// versions between which no workspace changes. The zero value is empty.
//
// Keys are looked up by their hash in a map, so a lookup costs the same for 80 as for
// 100,000 keys, and its duration reveals nothing about existing keys: a caller cannot
// choose a key whose hash is close to that of another. Go seeds its maps at random, so
// a caller cannot cause collisions either.
type Workspaces struct {
	views   []WorkspaceView
	byKey   map[KeyHash]int32
	sources []*Workspace // the resources that views was compiled from, in the same order
	regions []string
}

// WorkspaceView is a workspace compiled for requests.
type WorkspaceView struct {
	Name        string
	Priority    int
	Rate, Burst float64
	// Home says, by region, whether it may serve. Nil if all may.
	Home []bool
	// homeSetID is the same for all workspaces with equal Home.
	homeSetID int
}

// compileWorkspaces compiles the workspaces of a configuration, which are ordered by
// name. It returns old if that was compiled from the same ones.
func compileWorkspaces(list []Resource, regions []string, old *Workspaces) *Workspaces {
	if old.compiledFrom(list, regions) {
		return old
	}
	w := &Workspaces{regions: regions, byKey: make(map[KeyHash]int32, len(list))}
	homeSetIDs := make(map[string]int)
	for i, x := range list {
		allowed := homeRegions(x.Workspace.Homes, regions)
		id, known := homeSetIDs[fmt.Sprint(allowed)]
		if !known {
			id = len(homeSetIDs)
			homeSetIDs[fmt.Sprint(allowed)] = id
		}
		w.sources = append(w.sources, x.Workspace)
		w.views = append(w.views, WorkspaceView{
			Name: x.Name, Priority: x.Workspace.Priority, Rate: x.Workspace.Rate, Burst: x.Workspace.Burst,
			Home: allowed, homeSetID: id,
		})
		for _, h := range x.Workspace.Keys {
			w.byKey[h] = int32(i)
		}
	}
	return w
}

// compiledFrom reports whether the workspaces were compiled from these resources. It
// compares pointers, since specs are immutable.
func (w *Workspaces) compiledFrom(list []Resource, regions []string) bool {
	if w == nil || !slices.Equal(w.regions, regions) {
		return false
	}
	return slices.EqualFunc(w.sources, list, func(s *Workspace, r Resource) bool { return s == r.Workspace })
}

// homeRegions returns, by region, whether it is among the homes. It returns nil if there are
// no homes.
func homeRegions(homes, regions []string) []bool {
	if len(homes) == 0 {
		return nil
	}
	out := make([]bool, len(regions))
	for i, r := range regions {
		out[i] = slices.Contains(homes, r)
	}
	return out
}

// Empty reports whether there are no workspaces. Requests then need no key.
func (w *Workspaces) Empty() bool { return w == nil || len(w.views) == 0 }

// Find returns the workspace that a caller's key belongs to, or nil.
func (w *Workspaces) Find(key string) *WorkspaceView {
	if w == nil {
		return nil
	}
	i, ok := w.byKey[HashKey(key)]
	if !ok {
		return nil
	}
	return &w.views[i]
}

// Each calls f for all workspaces, ordered by name.
func (w *Workspaces) Each(f func(*WorkspaceView)) {
	if w == nil {
		return
	}
	for i := range w.views {
		f(&w.views[i])
	}
}

// restriction identifies a route that is restricted to a set of home regions.
type restriction struct {
	route   *RouteView
	homeSet int
}

// RestrictRoute returns the view of a route for the requests of a workspace. If the
// workspace has homes, only backend servers in them may serve. Such a view is compiled on
// first use, once for all workspaces with the same homes. A nil workspace has no homes.
func (r *Routing) RestrictRoute(v *RouteView, w *WorkspaceView) *RouteView {
	if w == nil || w.Home == nil {
		return v
	}
	key := restriction{v, w.homeSetID}
	if cached, ok := r.restricted.Load(key); ok {
		return cached.(*RouteView)
	}
	n := &RouteView{Route: v.Route, Name: v.Name, Home: intersectRegions(v.Home, w.Home), Parts: slices.Clone(v.Parts)}
	for i := range n.Parts {
		r.setWeights(&n.Parts[i], n.Home)
	}
	cached, _ := r.restricted.LoadOrStore(key, n)
	return cached.(*RouteView)
}

// intersectRegions returns the regions that are in both sets. A nil a stands for all
// regions.
func intersectRegions(a, b []bool) []bool {
	if a == nil {
		return b
	}
	out := make([]bool, len(a))
	for i := range out {
		out[i] = a[i] && b[i]
	}
	return out
}
