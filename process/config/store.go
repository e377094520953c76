// SPDX-License-Identifier: MIT

package config

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/version"
)

// maxRetainedChanges is the number of past changes that are retained for peers and
// watches.
const maxRetainedChanges = 1000

// Store holds the configuration in force. Now and OnInstall are set before use.
type Store struct {
	// Now is the process's clock.
	Now func() time.Duration
	// OnInstall is called for each new version, in order, with the store's lock held.
	OnInstall func(*version.Config, *version.View)

	mu          sync.Mutex
	config      *version.Config
	view        *version.View
	installedAt time.Duration
	changes     []version.Change // the latest ones, with consecutive numbers
	changed     chan struct{}    // closed and replaced when a version is installed
}

// Config returns the configuration in force, which is never nil.
func (s *Store) Config() *version.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current()
}

func (s *Store) current() *version.Config {
	if s.config == nil {
		return &version.Config{}
	}
	return s.config
}

// InForce returns the sequence number in force and when it was installed. The bool is
// false before the first version.
func (s *Store) InForce() (seq int64, since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return 0, 0, false
	}
	return s.view.Seq, s.installedAt, true
}

// Adopt applies accepted changes in order. It skips changes that are not newer than
// the version in force, and stops at a gap.
func (s *Store) Adopt(changes ...version.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ch := range changes {
		if ch.Seq <= s.current().Seq {
			continue
		}
		if ch.Seq != s.current().Seq+1 {
			return nil
		}
		if err := s.install(s.current().Apply(ch)); err != nil {
			return err
		}
		s.changes = append(s.changes, ch)
		if len(s.changes) > maxRetainedChanges {
			s.changes = slices.Clone(s.changes[len(s.changes)-maxRetainedChanges/2:])
		}
	}
	return nil
}

// AdoptSnapshot applies a complete configuration if it is newer than the version in
// force, or if no version is in force yet.
func (s *Store) AdoptSnapshot(c *version.Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && c.Seq <= s.config.Seq {
		return nil
	}
	s.changes = nil
	return s.install(c)
}

func (s *Store) install(c *version.Config) error {
	if err := c.Check(); err != nil { // data from a peer or the platform may be corrupt
		return errors.Annotatef(err, "check version %d", c.Seq)
	}
	v, err := version.Compile(c)
	if err != nil {
		return errors.Annotatef(err, "compile version %d", c.Seq)
	}
	s.config, s.view = c, v
	s.installedAt = s.Now()
	s.OnInstall(c, v)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return nil
}

// ChangesSince returns the changes above a sequence number. The bool is false if some
// of them are no longer retained.
func (s *Store) ChangesSince(seq int64) ([]version.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq >= s.current().Seq {
		return nil, true
	}
	if len(s.changes) == 0 || s.changes[0].Seq > seq+1 {
		return nil, false
	}
	return slices.Clone(s.changes[seq+1-s.changes[0].Seq:]), true
}

// Changed returns a channel that is closed when the next version is installed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
