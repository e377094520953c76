// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/process/quarantine"
	"shalewick/process/quota"
	"shalewick/process/rollout"
	"shalewick/process/state"
	"shalewick/request"
	"shalewick/version"
)

// Settings are the settings of one instance.
type Settings struct {
	Instance string
	Hall     string
	Region   string

	// Addresses that the process serves, IP number and port.
	Front     string // requests of clients
	Ready     string // whether it is ready
	Directory string // clients that ask where to go
	Control   string // other instances' first question, and metrics
	Peer      string // other instances, TCP and UDP

	// Link is what the instance's network link carries, in Mbit/s, and Cores its share
	// of processors. Zero: not known.
	Link, Cores float64
	// Memory is what the process may take, in bytes. Zero: not known, and what is held of
	// requests and answers has no bound.
	Memory int64

	// Seeds are Control addresses of some instances, for a start without the
	// store.
	Seeds []string

	// First says that the whole system starts for the first time: other instances
	// may not have said yet that they are there.
	First bool
	// KillAfter is the time after which a process that was asked to stop is
	// killed.
	KillAfter time.Duration
	// DrainWithin is the time after which a backend server that has left gets
	// nothing more.
	DrainWithin time.Duration
	// RetryRatio, RetryFixed and RetrySpan are what the retries of all
	// instances for one service must not exceed, see retry.Window.
	RetryRatio, RetryFixed float64
	RetrySpan              time.Duration
	// QuotaTolerance is by how much the requests of a workspace may pass its rate.
	QuotaTolerance quota.Tolerance
	// Rollouts bounds what a version that is tried may get.
	Rollouts rollout.Bounds
	// LogLevel is the least level of log lines.
	LogLevel string
}

// leastKillAfter is the shortest time in which a planned stop can be made.
const minKillAfter = time.Second

// Check returns an error for the first bad setting.
func (s *Settings) Check() error {
	for _, x := range []struct{ name, value string }{{"instance", s.Instance}, {"hall", s.Hall}, {"region", s.Region}} {
		if x.value == "" {
			return errors.Errorf("%s: must be set", x.name)
		}
	}
	for _, a := range []struct{ name, value string }{
		{"front", s.Front}, {"ready", s.Ready}, {"directory", s.Directory}, {"control", s.Control}, {"peer", s.Peer},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Errorf("%s: %q is not an IP number and port", a.name, a.value)
		}
	}
	if s.KillAfter < minKillAfter {
		return errors.Errorf("kill after: %s must be at least %s", s.KillAfter, minKillAfter)
	}
	if s.DrainWithin <= 0 {
		return errors.Errorf("drain within: %s must be above 0", s.DrainWithin)
	}
	if s.RetryRatio < 0 || s.RetryFixed < 0 || s.RetrySpan <= 0 {
		return errors.New("retry ratio and fixed: must not be negative, and the span above 0")
	}
	if s.Link < 0 || s.Cores < 0 || s.Memory < 0 {
		return errors.New("link, cores and memory: must not be negative")
	}
	if t := s.QuotaTolerance; t.Window < 0 || t.Over < 0 || t.Slack < 0 {
		return errors.New("quota window, over and slack: must not be negative")
	}
	if b := s.Rollouts; !(b.Share >= 0 && b.Share <= 1) || !(b.Slack >= 0) || b.StopWithin < 0 {
		return errors.New("rollout share: must be 0 to 1, and slack and stop within not negative")
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		return errors.Errorf("log-level: %q is not one of debug, info, warn, error", s.LogLevel)
	}
	return nil
}

// Store is the store of tables.
type Store interface {
	state.Store
	// ReadSome returns up to a number of rows of a table, by key from one on, and whether there
	// are more.
	ReadSome(ctx context.Context, table, from string, most int) (rows []state.Row, more bool, err error)
	// Put writes a row, whatever it was.
	Put(ctx context.Context, table, key string, value []byte) error
	// Delete removes a row.
	Delete(ctx context.Context, table, key string) error
	// Write puts rows, all or none, if those that are expected are as they are expected,
	// and returns the version that they have then. The error is state.Conflict if they
	// are not; after any other the write may have been carried out, or may still be.
	Write(ctx context.Context, expected []state.Expected, put []state.Written) (version int64, err error)
	// Clock returns the store's steady clock, the same for all instances. Ok is false
	// while nothing is known of it.
	Clock() (now time.Duration, ok bool)
	// Epoch rises each time that the store comes back from an older copy, and has lost what it
	// had acknowledged since; zero while the store tells none.
	Epoch() int64
}

// Question is a client's question where to go.
type DirectoryQuery struct {
	Host, Region, Hall string
}

// Deployment is what an adapter tells of the place that the process runs in.
type Deployment struct {
	Store Store
	// Clock, if set, takes the place of clock.Now: tests suspend one machine of several by it.
	Clock func() time.Duration
	// Names of the tables that operators write, that backend servers write, and that
	// the instances write: where they are, and the records of roll-outs.
	OperatorTable, BackendTable, InstanceTable, RecordTable string
	// DocumentKey is the key of the operator's own document in OperatorTable.
	DocumentKey string
	// Status returns the row by which operators learn where a roll-out stands.
	RolloutStatus func(r rollout.Record) (state.Written, error)
	// QuarantineTable is the table of requests that crash backend servers, and
	// QuarantineStatus returns the row by which operators learn of one.
	QuarantineTable  string
	QuarantineStatus func(e quarantine.Entry) (state.Written, error)
	// Headers are the names of the headers of requests.
	Headers request.Names
	// Configuration translates rows. The errors tell of rows that were
	// skipped; without a good document there is no configuration, and one error.
	Configuration func(operator, backends []state.Row) (*version.Config, []error)
	// ReadyPath and DirectoryPath are the paths of the calls that come.
	ReadyPath, DirectoryPath string
	// ReadQuestion reads the query of a directory call.
	ReadDirectoryQuery func(url.Values) DirectoryQuery
	// WriteAddresses answers a directory call.
	WriteAddresses func(w http.ResponseWriter, addresses []string, life time.Duration)
}
