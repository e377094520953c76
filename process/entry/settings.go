// SPDX-License-Identifier: MIT

package entry

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/process/front"
	"shalewick/process/setting"
)

// Settings of an entry. All are checked before anything starts.
type Settings struct {
	Instance string // name in the platform's list
	Hall     string // name of the hall resource that the instance stands in
	Front    string // address for callers
	Peer     string // address for other instances
	Admin    string // address for operators
	Platform string // base URL of the platform
	Peers    []string
	// Grace is how long a stopping entry goes on serving, so that callers'
	// look-ups run out first.
	Grace    time.Duration
	LogLevel string

	// WorkspaceTokens is the file of the workspaces' tokens, see package auth.
	WorkspaceTokens string
	// Cert, Key and Authority are PEM files: this instance's certificate and
	// key, and the authority of all instances.
	Cert, Key, Authority string
}

// secure reports whether operators and instances must prove who they are.
func (s *Settings) secure() bool { return s.WorkspaceTokens != "" && s.Cert != "" }

// DefaultGrace is the least time after which no caller has a cached look-up.
const DefaultGrace = front.LookupTTL + time.Second/2

// Check returns an error for the first bad setting, naming its flag.
func (s *Settings) Check() error {
	if s.Instance == "" {
		return errors.New("--instance: must be set")
	}
	if s.Hall == "" {
		return errors.New("--hall: must be set")
	}
	for _, a := range []struct{ flag, value string }{{"front", s.Front}, {"peer", s.Peer}, {"admin", s.Admin}} {
		if err := setting.Address(a.flag, a.value); err != nil {
			return err
		}
	}
	if err := s.checkSecurity(); err != nil {
		return err
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" || u.Host == "" {
		return errors.Errorf("--platform: %q is not a URL like http://127.0.0.1:7000", s.Platform)
	}
	for _, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return errors.Errorf("--peers: %q is not an IP number and port", p)
		}
	}
	if s.Grace < 0 {
		return errors.New("--grace: must not be negative")
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return errors.Errorf("--log-level: %q is not one of debug, info, warn, error", s.LogLevel)
	}
	return nil
}

// checkSecurity lets an entry leave loopback only when operators and instances
// must prove who they are.
func (s *Settings) checkSecurity() error {
	if (s.Cert == "") != (s.Key == "") || (s.Cert == "") != (s.Authority == "") {
		return errors.New("--cert, --key and --authority: all or none must be set")
	}
	if s.secure() {
		return nil
	}
	for _, a := range []struct{ flag, value string }{{"front", s.Front}, {"peer", s.Peer}, {"admin", s.Admin}} {
		if ap, err := netip.ParseAddrPort(a.value); err == nil && !ap.Addr().IsLoopback() {
			return errors.Errorf("--%s: %s is not loopback, which needs --workspace-tokens, --cert, --key and --authority", a.flag, a.value)
		}
	}
	return nil
}
