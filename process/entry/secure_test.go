// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/operator"
	"shalewick/process/auth/authtest"
	"shalewick/process/platform"
	"shalewick/request"
	"shalewick/standin/fleet"
	standin "shalewick/standin/platform"
	"shalewick/version"
)

// TestMutualTLSAndTokens runs two entries with certificates of one authority, a
// third entry with one of another authority, and operators with valid, unknown,
// expired and missing tokens.
func TestMutualTLSAndTokens(t *testing.T) {
	dir := t.TempDir()
	tokens := filepath.Join(dir, "workspaces")
	tokenEntry := func(name, token, options string) string {
		return fmt.Sprintf("- {name: %s, hash: %x%s}\n", name, sha256.Sum256([]byte(token)), options)
	}
	text := "workspaces:\n" + tokenEntry("root", "root", ", admin: true") + tokenEntry("a", "a", "") + tokenEntry("b", "b", ", expires: 2020-01-01T00:00:00Z")
	assert.NilError(t, os.WriteFile(tokens, []byte(text), 0o600))
	var p standin.Server
	p.SetInstances([]platform.Instance{{Name: "one"}, {Name: "two"}})
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	ours, others := authtest.NewAuthority(t), authtest.NewAuthority(t)
	var ports fleet.Ports
	start := func(name string, a *authtest.Authority) *Entry {
		ps, err := ports.Allocate(3)
		assert.NilError(t, err)
		s := Settings{
			Instance: name, Hall: "h", Front: ps[0].String(), Peer: ps[1].String(), Admin: ps[2].String(),
			Platform: srv.URL, LogLevel: "error", WorkspaceTokens: tokens,
		}
		s.Cert, s.Key, s.Authority = a.Write(t, filepath.Join(dir, name), time.Hour)
		e, err := Start(s, io.Discard)
		assert.NilError(t, err)
		t.Cleanup(e.Kill)
		return e
	}
	one := start("one", ours)
	start("two", ours)
	foreign := start("foreign", others)
	client := func(token string) *operator.Client {
		c := operator.New([]string{one.settings.Admin})
		cfg, err := one.identity.ClientConfig()
		assert.NilError(t, err)
		c.TLS, c.Token = true, token
		c.HTTP.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: cfg.RootCAs}}
		return c
	}
	region := []version.Resource{{Key: version.Key{Kind: version.KindRegion, Name: "r"}, Region: &version.Region{}}}
	deadline := time.Now().Add(10 * time.Second)
	for !one.Ready() && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	applied, err := client("root").Apply(context.Background(), region)
	assert.NilError(t, err)
	for token, want := range map[string]request.Code{
		"": request.TokenMissing, "wrong": request.TokenWrong, "b": request.TokenExpired, "a": request.Forbidden,
	} {
		region[0].Version = applied.Version
		_, err := client(token).Apply(context.Background(), region)
		var refused *operator.RefusedError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Code, want)
	}
	for {
		st, err := client("root").Status(context.Background())
		assert.NilError(t, err)
		known := map[string]string{}
		for _, e := range st.Entries {
			known[e.Instance] = e.Missing
		}
		if missing, ok := known["two"]; ok && missing == "" && known["foreign"] == "no answer" {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the entries did not find each other: %v", known)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, foreign.Ready()) // it is confirmed by the platform alone
}

func TestAddressesAreLoopbackWithoutCredentials(t *testing.T) {
	s := validSettings()
	s.Front = "10.0.0.1:8000"
	assert.ErrorContains(t, s.Validate(), "--front: 10.0.0.1:8000 is not loopback")
	s.WorkspaceTokens = "f"
	assert.ErrorContains(t, s.Validate(), "is not loopback")
	s.Cert = "c"
	assert.ErrorContains(t, s.Validate(), "all or none")
	s.Key, s.Authority = "k", "a"
	assert.NilError(t, s.Validate())
}
