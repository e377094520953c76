// SPDX-License-Identifier: MIT

package auth

import (
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/auth/authtest"
	"shalewick/version"
)

func tokenHash(token string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(token))) }

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

func TestFindWorkspaceByToken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workspaces")
	writeFile(t, path, "workspaces:\n- {name: a, hash: "+tokenHash("secret")+"}\n- {name: b, hash: "+tokenHash("old")+", expires: 2020-01-01T00:00:00Z}\n")
	workspaces, err := OpenWorkspaces(path)
	assert.NilError(t, err)
	now := time.Now()
	workspace, err := workspaces.Find("secret", now)
	assert.NilError(t, err)
	assert.Equal(t, workspace.Name, "a")
	for token, want := range map[string]error{"": ErrTokenMissing, "secre": ErrTokenUnknown, "old": ErrTokenExpired} {
		_, err := workspaces.Find(token, now)
		assert.ErrorIs(t, err, want)
	}
	// An invalid file leaves the previous content in use; a valid one replaces it.
	writeFile(t, path, "workspaces: 5")
	workspaces.file.checkedAt = time.Time{}
	_, err = workspaces.Find("secret", now)
	assert.NilError(t, err)
	writeFile(t, path, "workspaces:\n- {name: c, hash: "+tokenHash("new")+"}\n")
	workspaces.file.checkedAt, workspaces.file.states = time.Time{}, nil
	_, err = workspaces.Find("secret", now)
	assert.ErrorIs(t, err, ErrTokenUnknown)
}

func TestInvalidTokenFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workspaces")
	_, err := OpenWorkspaces(path)
	assert.ErrorContains(t, err, "no such file")
	writeFile(t, path, "workspaces:\n- {name: a, hash: abc}\n")
	_, err = OpenWorkspaces(path)
	assert.ErrorContains(t, err, "SHA-256")
	writeFile(t, path, "workspaces:\n- {name: a, token: abc}\n")
	_, err = OpenWorkspaces(path)
	assert.ErrorContains(t, err, "unknown field")
}

func TestAuthorizeChange(t *testing.T) {
	rs, err := version.Parse([]byte(`
kind: region
name: r
spec: {}
---
kind: hall
name: h
spec: {region: r}
---
kind: service
name: mine
spec: {workspace: a, routes: [{prefix: /, class: read, deadline: 1s}]}
---
kind: service
name: theirs
spec: {workspace: b, routes: [{prefix: /, class: read, deadline: 1s}]}
---
kind: backend
name: u
spec: {service: theirs, hall: h, address: "127.0.0.1:1", slots: 1}
`))
	assert.NilError(t, err)
	c := (&version.Config{}).Apply(version.Change{Seq: 1, Puts: rs})
	backend := func(name, service string) version.Resource {
		return version.Resource{Key: version.Key{Kind: version.KindBackend, Name: name}, Backend: &version.Backend{Service: service}}
	}
	drain := func(d version.Drain) version.Resource {
		return version.Resource{Key: version.Key{Kind: version.KindDrain, Name: "d"}, Drain: &d}
	}
	rollout := func(service string) version.Resource {
		return version.Resource{Key: version.Key{Kind: version.KindRollout, Name: "o"}, Rollout: &version.Rollout{Service: service}}
	}
	workspace, admin := Workspace{Name: "a"}, Workspace{Name: "x", Admin: true}
	for name, tc := range map[string]struct {
		ch version.Change
		ok bool
	}{
		"own backend server":                 {version.Change{Puts: []version.Resource{backend("new", "mine")}}, true},
		"backend server of another":          {version.Change{Puts: []version.Resource{backend("new", "theirs")}}, false},
		"taking a backend server of another": {version.Change{Puts: []version.Resource{backend("u", "mine")}}, false},
		"deleting another's":                 {version.Change{Deletes: []version.Ref{{Key: rs[4].Key}}}, false},
		"draining another's":                 {version.Change{Puts: []version.Resource{drain(version.Drain{Backend: "u"})}}, false},
		"roll-out of the own service":        {version.Change{Puts: []version.Resource{rollout("mine")}}, true},
		"roll-out of another's service":      {version.Change{Puts: []version.Resource{rollout("theirs")}}, false},
		"draining a region":                  {version.Change{Puts: []version.Resource{drain(version.Drain{Region: "r"})}}, false},
		"a region":                           {version.Change{Puts: rs[:1]}, false},
		"deleting the own service":           {version.Change{Deletes: []version.Ref{{Key: rs[2].Key}}}, true},
		"giving itself another's service":    {version.Change{Puts: []version.Resource{{Key: rs[3].Key, Service: &version.Service{Workspace: "a"}}}}, false},
	} {
		tc.ch.Seq = 2
		assert.Equal(t, workspace.Authorize(c, &tc.ch) == nil, tc.ok, name)
		assert.NilError(t, admin.Authorize(c, &tc.ch), name)
	}
}

// handshake makes one mutual TLS handshake and returns the error of the client
// or, if it has none, of the server.
func handshake(t *testing.T, server, client *Identity) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig(true))
	assert.NilError(t, err)
	defer l.Close()
	serverErr := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			err = c.(*tls.Conn).Handshake()
			_ = c.Close()
		}
		serverErr <- err
	}()
	cfg, err := client.ClientConfig()
	assert.NilError(t, err)
	cfg.ServerName = "127.0.0.1"
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	c := tls.Client(raw, cfg)
	defer c.Close()
	if err := c.Handshake(); err != nil {
		return err
	}
	return <-serverErr
}

func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	ours, others := authtest.NewAuthority(t), authtest.NewAuthority(t)
	open := func(a *authtest.Authority, name string, validity time.Duration) *Identity {
		cert, key, authority := a.Write(t, filepath.Join(dir, name), validity)
		i, err := OpenIdentity(cert, key, authority)
		assert.NilError(t, err)
		return i
	}
	a, b := open(ours, "a", time.Hour), open(ours, "b", time.Hour)
	assert.NilError(t, handshake(t, a, b))
	assert.Assert(t, handshake(t, a, open(others, "c", time.Hour)) != nil, "another authority")
	assert.Assert(t, handshake(t, a, open(ours, "d", -time.Minute)) != nil, "expired")
	// A renewed certificate is used without a restart.
	e := open(ours, "e", -time.Minute)
	assert.Assert(t, handshake(t, a, e) != nil)
	ours.Write(t, filepath.Join(dir, "e"), time.Hour)
	e.file.checkedAt, e.file.states = time.Time{}, nil
	assert.NilError(t, handshake(t, a, e))
}

// TestFileThatIsBeingWritten guards against a file that is read while it is written, and taken for one without workspaces, or never read again
// since it is completed within the resolution of its modification time.
func TestFileThatIsBeingWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workspaces")
	written := time.Now()
	write := func(text string) {
		writeFile(t, path, text)
		assert.NilError(t, os.Chtimes(path, written, written))
	}
	first := "workspaces:\n- {name: a, hash: " + tokenHash("secret") + "}\n"
	write(first)
	workspaces, err := OpenWorkspaces(path)
	assert.NilError(t, err)
	for text, wants := range map[string]map[string]error{
		"": {"secret": nil, "new": ErrTokenUnknown},
		first + "- {name: b, hash: " + tokenHash("new") + "}\n": {"secret": nil, "new": nil},
	} {
		write(text)
		workspaces.file.checkedAt = time.Time{}
		for token, want := range wants {
			_, err := workspaces.Find(token, time.Now())
			assert.ErrorIs(t, err, want)
		}
		write(first)
		workspaces.file.checkedAt = time.Time{}
		_, err := workspaces.Find("secret", time.Now())
		assert.NilError(t, err)
	}
}
