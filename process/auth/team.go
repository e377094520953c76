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
	Wrong   = errors.ConstError("no team has this token")
	Expired = errors.ConstError("the token has expired")
)

// Team is whoever has a token.
type Team struct {
	Name string `json:"name"`
	// Hash is the SHA-256 of the token, in hex.
	Hash    string    `json:"hash"`
	Expires time.Time `json:"expires,omitzero"` // zero: never
	Admin   bool      `json:"admin,omitempty"`

	sum [sha256.Size]byte
}

// Teams is the tokens' file. Use Open to make one.
type Teams struct {
	file watched[[]Team]
}

// Open reads the tokens' file at a path.
func Open(path string) (*Teams, error) {
	t := &Teams{file: watched[[]Team]{paths: []string{path}, read: readTeams}}
	_, err := t.file.get()
	return t, err
}

func readTeams(paths []string) ([]Team, error) {
	b, err := os.ReadFile(paths[0])
	if err != nil {
		return nil, errors.Trace(err)
	}
	var f struct {
		Teams []Team `json:"teams"`
	}
	if err := yaml.UnmarshalStrict(b, &f); err != nil {
		return nil, errors.Annotate(err, paths[0])
	}
	for i := range f.Teams {
		t := &f.Teams[i]
		sum, err := hex.DecodeString(t.Hash)
		if err != nil || len(sum) != sha256.Size || t.Name == "" {
			return nil, errors.Errorf("%s: team %d needs a name, and as hash the SHA-256 of its token in hex", paths[0], i+1)
		}
		copy(t.sum[:], sum)
	}
	return f.Teams, nil
}

// Find returns the team of a token. Its time does not depend on how much of
// the token is right.
func (t *Teams) Find(token string, now time.Time) (Team, error) {
	if token == "" {
		return Team{}, Missing
	}
	teams, err := t.file.get()
	if teams == nil {
		return Team{}, err
	}
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range teams {
		if subtle.ConstantTimeCompare(sum[:], teams[i].sum[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Team{}, Wrong
	}
	team := teams[found]
	if !team.Expires.IsZero() && now.After(team.Expires) {
		return Team{}, Expired
	}
	return team, nil
}

// Allowed returns an error that names the first resource of a change that a
// team may not touch. What counts is who owns it before and after the change.
func (team *Team) Allowed(c *version.Config, ch *version.Change) error {
	if team.Admin {
		return nil
	}
	next := c.Apply(*ch)
	for _, ref := range ch.Refs() {
		for _, cfg := range []*version.Config{c, next} {
			if r, ok := cfg.Resources[ref.Key]; ok && owner(cfg, &r) != team.Name {
				return errors.Errorf("%s does not belong to team %s", ref.Key, team.Name)
			}
		}
	}
	return nil
}

// owner returns the team that a resource belongs to, or "" for what only an
// admin team may change.
func owner(c *version.Config, r *version.Resource) string {
	service := ""
	switch {
	case r.Service != nil:
		return r.Service.Team
	case r.Upstream != nil:
		service = r.Upstream.Service
	case r.Shift != nil:
		service = r.Shift.Service
	case r.Drain != nil && r.Drain.Upstream != "":
		u := c.Resources[version.Key{Kind: version.KindUpstream, Name: r.Drain.Upstream}]
		if u.Upstream != nil {
			service = u.Upstream.Service
		}
	}
	if s := c.Resources[version.Key{Kind: version.KindService, Name: service}]; s.Service != nil {
		return s.Service.Team
	}
	return ""
}
