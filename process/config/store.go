// SPDX-License-Identifier: MIT

package config

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/version"
)

// keptChanges is the number of past changes that are kept for peers and watches.
const keptChanges = 1000

// Store is the configuration in force. Now and OnInstall are set before use.
type Store struct {
	// Now is the process's clock.
	Now func() time.Duration
	// OnInstall is called for each new version, in order, with a lock held.
	OnInstall func(*version.Config, *version.View)

	mu      sync.Mutex
	config  *version.Config
	view    *version.View
	since   time.Duration
	changes []version.Change // the latest, rising without a gap
	news    chan struct{}    // closed and replaced at each new version
}

// Config returns the configuration in force; never nil.
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

// InForce returns the sequence number in force and since when. The bool is
// false before the first version.
func (s *Store) InForce() (seq int64, since time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view == nil {
		return 0, 0, false
	}
	return s.view.Seq, s.since, true
}

// Adopt takes up changes that are accepted. Those not above the version in
// force are passed over; a gap ends it.
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
		if len(s.changes) > keptChanges {
			s.changes = slices.Clone(s.changes[len(s.changes)-keptChanges/2:])
		}
	}
	return nil
}

// AdoptSnapshot takes up a whole configuration if it is newer, or if none is
// in force yet.
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
	if err := c.Check(); err != nil { // what a peer or the platform sent may be spoilt
		return errors.Annotatef(err, "check version %d", c.Seq)
	}
	v, err := version.Compile(c)
	if err != nil {
		return errors.Annotatef(err, "compile version %d", c.Seq)
	}
	s.config, s.view = c, v
	s.since = s.Now()
	s.OnInstall(c, v)
	if s.news != nil {
		close(s.news)
		s.news = nil
	}
	return nil
}

// Since returns the changes above a sequence number. The bool is false when
// they are no longer all kept.
func (s *Store) Since(seq int64) ([]version.Change, bool) {
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

// News returns a channel that is closed when the next version is installed.
func (s *Store) News() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.news == nil {
		s.news = make(chan struct{})
	}
	return s.news
}
