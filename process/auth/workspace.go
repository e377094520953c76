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

// The reasons why a caller is not known.
const (
	Missing = errors.ConstError("no token was given")
	Wrong   = errors.ConstError("no workspace has this token")
	Expired = errors.ConstError("the token has expired")
)

// Workspace is whoever has a token.
type Workspace struct {
	Name string `json:"name"`
	// Hash is the SHA-256 of the token, in hex.
	Hash    string    `json:"hash"`
	Expires time.Time `json:"expires,omitzero"` // zero: never
	Admin   bool      `json:"admin,omitempty"`

	sum [sha256.Size]byte
}

// Workspaces is the tokens' file. Use Open to make one.
type Workspaces struct {
	file watched[[]Workspace]
}

// Open reads the tokens' file at a path.
func Open(path string) (*Workspaces, error) {
	t := &Workspaces{file: watched[[]Workspace]{paths: []string{path}, read: readWorkspaces}}
	_, err := t.file.get()
	return t, err
}

func readWorkspaces(paths []string) ([]Workspace, error) {
	b, err := os.ReadFile(paths[0])
	if err != nil {
		return nil, errors.Trace(err)
	}
	var f struct {
		Workspaces []Workspace `json:"workspaces"`
	}
	if err := yaml.UnmarshalStrict(b, &f); err != nil {
		return nil, errors.Annotate(err, paths[0])
	}
	for i := range f.Workspaces {
		t := &f.Workspaces[i]
		sum, err := hex.DecodeString(t.Hash)
		if err != nil || len(sum) != sha256.Size || t.Name == "" {
			return nil, errors.Errorf("%s: workspace %d needs a name, and as hash the SHA-256 of its token in hex", paths[0], i+1)
		}
		copy(t.sum[:], sum)
	}
	return f.Workspaces, nil
}

// Find returns the workspace of a token. Its time does not depend on how much of
// the token is right.
func (w *Workspaces) Find(token string, now time.Time) (Workspace, error) {
	if token == "" {
		return Workspace{}, Missing
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
		return Workspace{}, Wrong
	}
	workspace := workspaces[found]
	if !workspace.Expires.IsZero() && now.After(workspace.Expires) {
		return Workspace{}, Expired
	}
	return workspace, nil
}

// Allowed returns an error that names the first resource of a change that a
// workspace may not touch. What counts is who owns it before and after the change.
func (w *Workspace) Allowed(c *version.Config, ch *version.Change) error {
	if w.Admin {
		return nil
	}
	next := c.Apply(*ch)
	for _, ref := range ch.Refs() {
		for _, cfg := range []*version.Config{c, next} {
			if r, ok := cfg.Resources[ref.Key]; ok && owner(cfg, &r) != w.Name {
				return errors.Errorf("%s does not belong to workspace %s", ref.Key, w.Name)
			}
		}
	}
	return nil
}

// owner returns the workspace that a resource belongs to, or "" for what only an
// admin workspace may change.
func owner(c *version.Config, r *version.Resource) string {
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
		u := c.Resources[version.Key{Kind: version.KindBackend, Name: r.Drain.Backend}]
		if u.Backend != nil {
			service = u.Backend.Service
		}
	}
	if s := c.Resources[version.Key{Kind: version.KindService, Name: service}]; s.Service != nil {
		return s.Service.Workspace
	}
	return ""
}
