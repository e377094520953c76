// SPDX-License-Identifier: MIT

package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"time"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"shalewick/version"
)

// Reasons why a token is not accepted.
const (
	ErrTokenMissing = errors.ConstError("no token was given")
	ErrTokenUnknown = errors.ConstError("no workspace has this token")
	ErrTokenExpired = errors.ConstError("the token has expired")
)

// Workspace is a workspace with its token, as listed in the token file.
type Workspace struct {
	Name string `json:"name"`
	// Hash is the SHA-256 of the token, in hex.
	Hash    string    `json:"hash"`
	Expires time.Time `json:"expires,omitzero"` // zero: never
	Admin   bool      `json:"admin,omitempty"`

	sum [sha256.Size]byte
}

// Workspaces is the token file. Use OpenWorkspaces to create one.
type Workspaces struct {
	file watchedFiles[[]Workspace]
}

// OpenWorkspaces reads the token file at path.
func OpenWorkspaces(path string) (*Workspaces, error) {
	w := &Workspaces{file: watchedFiles[[]Workspace]{paths: []string{path}, read: readWorkspaces}}
	_, err := w.file.get()
	return w, err
}

func readWorkspaces(paths []string) ([]Workspace, error) {
	b, err := os.ReadFile(paths[0])
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(b) == 0 {
		return nil, errors.Errorf("%s is empty", paths[0]) // it is being written
	}
	var f struct {
		Workspaces []Workspace `json:"workspaces"`
	}
	if err := yaml.UnmarshalStrict(b, &f); err != nil {
		return nil, errors.Annotate(err, paths[0])
	}
	for i := range f.Workspaces {
		w := &f.Workspaces[i]
		sum, err := hex.DecodeString(w.Hash)
		if err != nil || len(sum) != sha256.Size || w.Name == "" {
			return nil, errors.Errorf("%s: workspace %d needs a name, and as hash the SHA-256 of its token in hex", paths[0], i+1)
		}
		copy(w.sum[:], sum)
	}
	return f.Workspaces, nil
}

// Find returns the workspace of a token. It compares in constant time, so that
// its duration does not reveal how much of a token is correct.
func (w *Workspaces) Find(token string, now time.Time) (Workspace, error) {
	if token == "" {
		return Workspace{}, ErrTokenMissing
	}
	workspaces, err := w.file.get()
	if workspaces == nil {
		return Workspace{}, err
	}
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range workspaces {
		if subtle.ConstantTimeCompare(sum[:], workspaces[i].sum[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Workspace{}, ErrTokenUnknown
	}
	workspace := workspaces[found]
	if !workspace.Expires.IsZero() && now.After(workspace.Expires) {
		return Workspace{}, ErrTokenExpired
	}
	return workspace, nil
}

// Authorize returns an error that names the first resource of a change that the
// workspace may not change. It must own each resource both before and after the
// change.
func (w *Workspace) Authorize(c *version.Config, ch *version.Change) error {
	if w.Admin {
		return nil
	}
	next := c.Apply(*ch)
	for _, ref := range ch.Refs() {
		for _, cfg := range []*version.Config{c, next} {
			if r, ok := cfg.Resources[ref.Key]; ok && owningWorkspace(cfg, &r) != w.Name {
				return errors.Errorf("%s does not belong to workspace %s", ref.Key, w.Name)
			}
		}
	}
	return nil
}

// owningWorkspace returns the workspace that owns a resource, or "" if only an
// admin workspace may change the resource.
func owningWorkspace(c *version.Config, r *version.Resource) string {
	service := ""
	switch {
	case r.Service != nil:
		return r.Service.Workspace
	case r.Backend != nil:
		service = r.Backend.Service
	case r.Shift != nil:
		service = r.Shift.Service
	case r.Rollout != nil:
		service = r.Rollout.Service
	case r.Drain != nil && r.Drain.Backend != "":
		backend := c.Resources[version.Key{Kind: version.KindBackend, Name: r.Drain.Backend}]
		if backend.Backend != nil {
			service = backend.Backend.Service
		}
	}
	if s := c.Resources[version.Key{Kind: version.KindService, Name: service}]; s.Service != nil {
		return s.Service.Workspace
	}
	return ""
}
