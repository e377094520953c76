// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"time"

	"shalewick/clock"
	"shalewick/process/cluster"
	"shalewick/version"
)

// What follows writes a line whenever the process comes to believe something
// else of upstreams or of other instances.

// maxNames bounds the names in one line.
const maxNames = 12

// logUpstreams writes what has changed of the upstreams between two routings.
func (e *Edge) logUpstreams(old, now *version.Routing) {
	if old == nil {
		return
	}
	before := upstreamsByName(old)
	var added, closed, opened []string
	for i := range now.Upstreams {
		u := &now.Upstreams[i]
		was, known := before[u.Name]
		delete(before, u.Name)
		switch {
		case !known:
			added = append(added, u.Name)
		case u.Closed && !was.Closed:
			closed = append(closed, u.Name)
		case was.Closed && !u.Closed:
			opened = append(opened, u.Name)
		}
	}
	var gone []string
	for name := range before {
		gone = append(gone, name)
	}
	if len(added)+len(closed)+len(opened)+len(gone) == 0 {
		return
	}
	e.log.Info().Strs("added", few(added)).Strs("closed", few(closed)).Strs("opened", few(opened)).Strs("gone", few(gone)).
		Int("changed", len(added)+len(closed)+len(opened)+len(gone)).Int("upstreams", len(now.Upstreams)).Msg("upstreams-changed")
}

func upstreamsByName(r *version.Routing) map[string]*version.RoutedUpstream {
	out := make(map[string]*version.RoutedUpstream, len(r.Upstreams))
	for i := range r.Upstreams {
		out[r.Upstreams[i].Name] = &r.Upstreams[i]
	}
	return out
}

func few(names []string) []string { return names[:min(len(names), maxNames)] }

// logSuspension writes that an upstream gets nothing for a while after failures
// in a row, or, with none, that it answers again.
func (e *Edge) logSuspension(upstream string, failures int, pause time.Duration) {
	if failures == 0 {
		e.log.Info().Str("upstream", upstream).Msg("upstream-answers")
		return
	}
	e.log.Info().Str("upstream", upstream).Int("failures", failures).Dur("pause", pause).Msg("upstream-suspended")
}

// storeLost tells the other instances that the store does not answer this one.
func (e *Edge) storeLost() {
	e.log.Info().Bool("relay", e.peers.Relay()).Msg("store-lost")
	e.beats.SendAll()
}

// watchMembers writes which instances were lost and found until the context
// ends.
func (e *Edge) watchMembers(ctx context.Context) {
	known := make(map[string]bool)
	relay := false
	for clock.Sleep(ctx, cluster.Beat) {
		live := make(map[string]bool)
		for _, m := range e.members.Live() {
			live[m.Name] = true
			if !known[m.Name] && m.Name != e.settings.Instance {
				e.log.Info().Str("other", m.Name).Str("hall", m.Hall).Msg("instance-found")
			}
		}
		for name := range known {
			if !live[name] {
				e.log.Info().Str("other", name).Int("live", len(live)).Msg("instance-lost")
			}
		}
		known = live
		if now := e.peers.Relay(); now != relay {
			relay = now
			e.log.Info().Bool("relay", relay).Msg("relay")
		}
	}
}
