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
	"shalewick/process/startup"
)

// Settings configure an entry. Start validates all of them first.
type Settings struct {
	Instance string // name in the platform's list of instances
	Hall     string // name of the instance's hall resource
	Front    string // address for callers
	Peer     string // address for other instances
	Admin    string // address for operators
	Platform string // base URL of the platform
	Peers    []string
	// Grace is how long a stopping entry continues to serve, so that the
	// lookups that callers have cached expire first.
	Grace    time.Duration
	LogLevel string
	// StartTimeout is how long a start waits until the credentials can be
	// read, and then until all addresses can be listened on.
	StartTimeout time.Duration

	// WorkspaceTokens is the path of the workspace token file, see package auth.
	WorkspaceTokens string
	// Cert, Key and Authority are paths of PEM files: the instance's
	// certificate and key, and the certificate authority of all instances.
	Cert, Key, Authority string
}

// Flags of the addresses to listen on.
const (
	flagFront = "front"
	flagPeer  = "peer"
	flagAdmin = "admin"
)

// addresses returns the addresses to listen on, that of callers last: it is not
// opened while another one is not available.
func (s *Settings) addresses() []startup.Address {
	return []startup.Address{
		{Setting: flagPeer, Network: "tcp", Address: s.Peer},
		{Setting: flagAdmin, Network: "tcp", Address: s.Admin},
		{Setting: flagFront, Network: "tcp", Address: s.Front},
	}
}

// authenticated reports whether operators and instances must authenticate.
func (s *Settings) authenticated() bool { return s.WorkspaceTokens != "" && s.Cert != "" }

// DefaultGrace is the time after which no caller uses a cached lookup any more.
const DefaultGrace = front.LookupTTL + time.Second/2

// Validate returns an error that names the flag of the first invalid setting.
func (s *Settings) Validate() error {
	if s.Instance == "" {
		return errors.New("--instance: must be set")
	}
	if s.Hall == "" {
		return errors.New("--hall: must be set")
	}
	for _, a := range s.addresses() {
		if err := setting.CheckAddress(a.Setting, a.Address); err != nil {
			return err
		}
	}
	if err := s.validateAuthentication(); err != nil {
		return err
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" || u.Host == "" {
		return errors.Errorf("--platform: %q is not a URL like http://127.0.0.1:7000", s.Platform)
	}
	for _, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return errors.Errorf("--peers: %q is not an IP address and port", p)
		}
	}
	if s.Grace < 0 {
		return errors.New("--grace: must not be negative")
	}
	if err := startup.CheckTimeout(s.StartTimeout); err != nil {
		return err
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return errors.Errorf("--log-level: %q is not one of debug, info, warn, error", s.LogLevel)
	}
	return nil
}

// validateAuthentication allows addresses other than loopback only if operators
// and instances must authenticate.
func (s *Settings) validateAuthentication() error {
	if (s.Cert == "") != (s.Key == "") || (s.Cert == "") != (s.Authority == "") {
		return errors.New("--cert, --key and --authority: all or none must be set")
	}
	if s.authenticated() {
		return nil
	}
	for _, a := range s.addresses() {
		if ap, err := netip.ParseAddrPort(a.Address); err == nil && !ap.Addr().IsLoopback() {
			return errors.Errorf("--%s: %s is not loopback, which needs --workspace-tokens, --cert, --key and --authority", a.Setting, a.Address)
		}
	}
	return nil
}
