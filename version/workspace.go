// SPDX-License-Identifier: MIT

package version

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/juju/errors"
)

// Workspace is a team whose callers show a key with each request. It is a resource
// of its own. Where there is at least one, a request needs the key of a workspace,
// unless its route is anonymous.
type Workspace struct {
	// Keys are the hashes of the keys of the workspace's callers. A key is in no
	// two workspaces.
	Keys []KeyHash `json:"keys,omitempty"`
	// Priority is the rank of the workspace's requests among those of a service, 0
	// the most urgent. It holds in place of that of the route.
	Priority int `json:"priority,omitempty"`
	// Rate bounds the requests a second of the workspace over all instances, and
	// Burst what may come beyond it at once. Zero Rate means no bound.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Homes are the only regions in which the workspace's requests may be served.
	// Empty means all. Where the route has homes too, both bind.
	Homes []string `json:"homes,omitempty"`
}

// KeyHash stands for a caller's key: its SHA-256, so that neither memory nor
// documents hold the key itself. Its written form is hexadecimal.
type KeyHash [sha256.Size]byte

// longestKey is the length up to which a key is hashed without allocating.
const maxStackKey = 128

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	var buf [maxStackKey]byte
	if len(key) > len(buf) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// MarshalText writes the hash.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText reads the hash.
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

// checkKeys refuses a key that two workspaces have. The error does not show it.
func (c *Config) checkUniqueKeys() error {
	owners := make(map[KeyHash]Key)
	for _, r := range c.List(KindWorkspace) {
		for i, h := range r.Workspace.Keys {
			if other, taken := owners[h]; taken && other != r.Key {
				return &FieldError{Key: r.Key, Field: fmt.Sprintf("spec.keys[%d]", i), Rule: "is already used by " + other.String()}
			}
			owners[h] = r.Key
		}
	}
	return nil
}

// Workspaces finds the workspace of a caller's key. It is never changed once
// compiled, and shared by the versions that change no workspace. The zero value
// has none.
//
// A key is found by its hash in a map, so finding it costs the same for 80 as for
// 100,000 keys, and how long it takes tells nothing of the keys that there are: a
// caller can't choose hashes that come near one. Go seeds its maps at random, so
// that hashes that collide can't be chosen either.
type Workspaces struct {
	views   []WorkspaceView
	byKey   map[KeyHash]int32
	sources []*Workspace // what views was compiled from, in the same order
	regions []string
}

// WorkspaceView is a workspace as the way of a request sees it.
type WorkspaceView struct {
	Name        string
	Priority    int
	Rate, Burst float64
	// Home tells by region whether it may serve; nil: all may.
	HomeRegions []bool
	// homeSet numbers the different values of Home.
	homeSetID int
}

// compileWorkspaces compiles the workspaces of a configuration, ordered by name. It
// returns old, if that was compiled from the same ones.
func compileWorkspaces(list []Resource, regions []string, old *Workspaces) *Workspaces {
	if old.compiledFrom(list, regions) {
		return old
	}
	w := &Workspaces{regions: regions, byKey: make(map[KeyHash]int32, len(list))}
	sets := make(map[string]int)
	for i, x := range list {
		home := homeRegions(x.Workspace.Homes, regions)
		set, known := sets[fmt.Sprint(home)]
		if !known {
			set = len(sets)
			sets[fmt.Sprint(home)] = set
		}
		w.sources = append(w.sources, x.Workspace)
		w.views = append(w.views, WorkspaceView{
			Name: x.Name, Priority: x.Workspace.Priority, Rate: x.Workspace.Rate, Burst: x.Workspace.Burst,
			HomeRegions: home, homeSetID: set,
		})
		for _, h := range x.Workspace.Keys {
			w.byKey[h] = int32(i)
		}
	}
	return w
}

// compiledFrom reports whether the workspaces were compiled from these documents,
// which are never changed once made.
func (w *Workspaces) compiledFrom(list []Resource, regions []string) bool {
	if w == nil || !slices.Equal(w.regions, regions) {
		return false
	}
	return slices.EqualFunc(w.sources, list, func(s *Workspace, r Resource) bool { return s == r.Workspace })
}

// homeOf returns by region whether it is among the homes; nil if there are none.
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

// None reports whether there are no workspaces, so that requests need no key.
func (w *Workspaces) Empty() bool { return w == nil || len(w.views) == 0 }

// Find returns the workspace of a key, or nil.
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

// narrowing names a route within the homes of workspaces.
type restriction struct {
	route   *RouteView
	homeSet int
}

// Within returns the view of a route for the requests of a workspace: where the
// workspace has homes, only the backend servers there are left. Such a view is compiled
// when it is first asked for, once for all workspaces with the same homes. A nil
// workspace has no homes.
func (r *Routing) RestrictRoute(v *RouteView, w *WorkspaceView) *RouteView {
	if w == nil || w.HomeRegions == nil {
		return v
	}
	key := restriction{v, w.homeSetID}
	if known, ok := r.restricted.Load(key); ok {
		return known.(*RouteView)
	}
	n := &RouteView{Route: v.Route, Name: v.Name, HomeRegions: intersectRegions(v.HomeRegions, w.HomeRegions), Parts: slices.Clone(v.Parts)}
	for i := range n.Parts {
		r.setWeights(&n.Parts[i], n.HomeRegions)
	}
	known, _ := r.restricted.LoadOrStore(key, n)
	return known.(*RouteView)
}

// both returns the regions that are in both sets; nil is the set of all.
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
