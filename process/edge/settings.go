// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/process/quarantine"
	"shalewick/process/quota"
	"shalewick/process/rollout"
	"shalewick/process/startup"
	"shalewick/process/state"
	"shalewick/request"
	"shalewick/version"
)

// Settings holds the settings of an instance.
type Settings struct {
	Instance string
	Hall     string
	Region   string

	// Addresses that the process listens on, as IP address and port.
	Front     string // requests of clients
	Ready     string // readiness checks
	Directory string // directory requests of clients
	Control   string // first requests of other instances, and metrics
	Peer      string // other instances, TCP and UDP

	// Source is the IP address that connections to backend servers come from; the zero value: chosen
	// by the system.
	Source netip.Addr

	// Link is the bandwidth of the instance's network link in Mbit/s, and Cores its share of
	// processors. Zero: unknown.
	Link, Cores float64
	// Memory is how much memory the process may use, in bytes. Zero: unknown, and the buffers
	// of requests and responses are not limited.
	Memory int64

	// Seeds holds Control addresses of some instances, for a start while the store is unavailable.
	Seeds []string

	// First is set at the first start of the whole system: other instances may not have
	// registered yet.
	First bool
	// KillAfter is the time after which a process that was signalled to stop is killed.
	KillAfter time.Duration
	// DrainWithin is the time after which a backend server that has left gets no requests.
	DrainWithin time.Duration
	// RetryRatio, RetryFixed and RetrySpan limit the retries of all instances for a service, see
	// retry.Window.
	RetryRatio, RetryFixed float64
	RetrySpan              time.Duration
	// QuotaTolerance is by how much the requests of a workspace may exceed its rate.
	QuotaTolerance quota.Tolerance
	// Rollouts limits what a version may get while it is tried.
	Rollouts rollout.Bounds
	// LogLevel is the minimum level of log lines.
	LogLevel string
	// StartTimeout is how long a start waits until all addresses can be listened on.
	StartTimeout time.Duration
}

// Names of the settings that hold addresses to listen on.
const (
	settingFront     = "front"
	settingReady     = "ready"
	settingDirectory = "directory"
	settingControl   = "control"
	settingPeer      = "peer"
)

// addresses returns the addresses to listen on, that of callers last: it is not opened while another one is not available.
func (s *Settings) addresses() []startup.Address {
	return []startup.Address{
		{Setting: settingPeer, Network: "udp4", Address: s.Peer},
		{Setting: settingPeer, Network: "tcp4", Address: s.Peer},
		{Setting: settingControl, Network: "tcp4", Address: s.Control},
		{Setting: settingDirectory, Network: "tcp4", Address: s.Directory},
		{Setting: settingReady, Network: "tcp4", Address: s.Ready},
		{Setting: settingFront, Network: "tcp4", Address: s.Front},
	}
}

// minKillAfter is the shortest time in which a planned stop can be completed.
const minKillAfter = time.Second

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	for _, x := range []struct{ name, value string }{{"instance", s.Instance}, {"hall", s.Hall}, {"region", s.Region}} {
		if x.value == "" {
			return errors.Errorf("%s: must be set", x.name)
		}
	}
	for _, a := range []struct{ name, value string }{
		{settingFront, s.Front}, {settingReady, s.Ready}, {settingDirectory, s.Directory}, {settingControl, s.Control}, {settingPeer, s.Peer},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Errorf("%s: %q is not an IP address and port", a.name, a.value)
		}
	}
	if s.KillAfter < minKillAfter {
		return errors.Errorf("kill after: %s must be at least %s", s.KillAfter, minKillAfter)
	}
	if s.DrainWithin <= 0 {
		return errors.Errorf("drain within: %s must be positive", s.DrainWithin)
	}
	if s.RetryRatio < 0 || s.RetryFixed < 0 || s.RetrySpan <= 0 {
		return errors.New("retry ratio and fixed: must not be negative, and the span must be positive")
	}
	if s.Link < 0 || s.Cores < 0 || s.Memory < 0 {
		return errors.New("link, cores and memory: must not be negative")
	}
	if t := s.QuotaTolerance; t.Window < 0 || t.Over < 0 || t.Slack < 0 {
		return errors.New("quota window, over and slack: must not be negative")
	}
	if b := s.Rollouts; !(b.Share >= 0 && b.Share <= 1) || !(b.Slack >= 0) || b.StopWithin < 0 {
		return errors.New("rollout share: must be from 0 to 1, and slack and stop within must not be negative")
	}
	if err := startup.CheckTimeout(s.StartTimeout); err != nil {
		return err
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return errors.Errorf("log-level: %q is not one of debug, info, warn, error", s.LogLevel)
	}
	return nil
}

// Store is the store of tables.
type Store interface {
	state.Store
	// ReadPage returns up to limit rows of a table, ordered by key and beginning with the key from,
	// and whether there are more.
	ReadPage(ctx context.Context, table, from string, limit int) (rows []state.Row, more bool, err error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, table, key string, value []byte) error
	// Delete removes a row.
	Delete(ctx context.Context, table, key string) error
	// Write writes rows, all or none, if the expected rows have the expected versions, and returns
	// the new version of the rows. The error is state.ErrConflict if they have other versions; after
	// any other error the write may have been carried out, or may still be.
	Write(ctx context.Context, expected []state.Precondition, put []state.Put) (version int64, err error)
	// Clock returns the store's monotonic clock, which is the same for all instances. Ok is false
	// while it is unknown.
	Clock() (now time.Duration, ok bool)
	// Epoch increases each time that the store was restored from an older copy, and has lost what
	// it had acknowledged since; zero while the store reports none.
	Epoch() int64
}

// DirectoryQuery is a client's query for the instances to use.
type DirectoryQuery struct {
	Host, Region, Hall string
}

// Deployment is what an adapter provides about the environment that the process runs in.
type Deployment struct {
	Store Store
	// Clock replaces clock.Now if it is set: tests suspend one of several machines with it.
	Clock func() time.Duration
	// BackendDialer replaces the dialer for connections to backend servers if it is set: tests cut
	// one of several instances off with it.
	BackendDialer func(*net.Dialer) *net.Dialer
	// Names of the tables written by operators, by backend servers and by the instances: their
	// own rows, and the records of rollouts.
	OperatorTable, BackendTable, InstanceTable, RecordTable string
	// DocumentKey is the key of the operator's document in OperatorTable.
	DocumentKey string
	// RolloutStatus returns the row that shows operators the state of a rollout.
	RolloutStatus func(r rollout.Record) (state.Put, error)
	// QuarantineTable is the table of requests that crash backend servers, and QuarantineStatus
	// returns the row that shows operators one of them.
	QuarantineTable  string
	QuarantineStatus func(e quarantine.Entry) (state.Put, error)
	// Headers holds the names of the request headers.
	Headers request.Names
	// Configuration converts rows to a configuration. The errors describe rows that were skipped;
	// without a valid document there is no configuration, and one error.
	Configuration func(operator, backends []state.Row) (*version.Config, []error)
	// ReadyPath and DirectoryPath are the paths of readiness checks and of directory requests.
	ReadyPath, DirectoryPath string
	// ReadDirectoryQuery reads the query of a directory request.
	ReadDirectoryQuery func(url.Values) DirectoryQuery
	// WriteAddresses writes the response to a directory request.
	WriteAddresses func(w http.ResponseWriter, addresses []string, ttl time.Duration)
}
