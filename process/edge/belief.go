// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"time"

	"shalewick/clock"
	"shalewick/process/cluster"
	"shalewick/request"
	"shalewick/version"
)

// What follows writes a line whenever the process comes to believe something
// else of backend servers or of other instances.

// maxNames bounds the names in one line.
const maxNames = 12

// logBackends writes what has changed of the backend servers between two routings.
func (e *Edge) logBackends(old, now *version.Routing) {
	if old == nil {
		return
	}
	before := old.Backends // both are ordered by name
	var added, closed, opened, gone []string
	pass := func(name string) {
		for len(before) > 0 && (name == "" || before[0].Name < name) {
			gone = append(gone, before[0].Name)
			before = before[1:]
		}
	}
	for i := range now.Backends {
		u := &now.Backends[i]
		pass(u.Name)
		if len(before) == 0 || before[0].Name != u.Name {
			added = append(added, u.Name)
			continue
		}
		was := &before[0]
		before = before[1:]
		switch {
		case u.Closed && !was.Closed:
			closed = append(closed, u.Name)
		case was.Closed && !u.Closed:
			opened = append(opened, u.Name)
		}
	}
	pass("")
	if len(added)+len(closed)+len(opened)+len(gone) == 0 {
		return
	}
	e.log.Info().Strs("added", firstNames(added)).Strs("closed", firstNames(closed)).Strs("opened", firstNames(opened)).Strs("gone", firstNames(gone)).
		Int("changed", len(added)+len(closed)+len(opened)+len(gone)).Int("backends", len(now.Backends)).Msg("backends-changed")
}

func firstNames(names []string) []string { return names[:min(len(names), maxNames)] }

// logSuspension writes that a backend server gets nothing for a while after failures
// in a row, or, with none, that it answers again.
func (e *Edge) logSuspension(backend string, failures int, pause time.Duration) {
	if failures == 0 {
		e.log.Info().Str("backend", backend).Msg("backend-answers")
		return
	}
	e.log.Info().Str("backend", backend).Int("failures", failures).Dur("pause", pause).Msg("backend-suspended")
}

// logNotice writes that a backend server begins to leave, or a backoff begins, by its own
// word, told to this instance or by another one.
func (e *Edge) logNotice(backend string, n request.Notice, own bool) {
	if n.Leaving {
		e.log.Info().Str("backend", backend).Bool("own", own).Msg("backend-leaving")
	}
	if n.RetryAfter > 0 {
		e.log.Info().Str("backend", backend).Bool("own", own).Dur("retryAfter", n.RetryAfter).Msg("backend-backoff")
	}
}

// logAvoided writes that a backend server gets only what no other can take for a while, since
// it refused requests in a row though it has slots free.
func (e *Edge) logAvoided(backend string, refusals int, pause time.Duration) {
	e.log.Info().Str("backend", backend).Int("refusals", refusals).Dur("pause", pause).Msg("backend-avoided")
}

// storeLost tells the other instances of the region that the store does not answer this one.
func (e *Edge) reportStoreLost() {
	e.log.Info().Bool("relay", e.peers.Relay()).Msg("store-lost")
	e.heartbeats.SendNear()
}

// watchPause is the pause between two looks at which instances are alive.
const watchMembersInterval = time.Second

// watchMembers writes which instances were lost and found until the context ends, and
// lets the roll-outs see them while none runs.
func (e *Edge) watchMembers(ctx context.Context) {
	var known []cluster.Member
	relay := false
	for clock.Sleep(ctx, watchMembersInterval) {
		live := e.members.Live()
		found, lost := compareMembers(known, live)
		if len(found) > 0 {
			e.log.Info().Strs("others", firstNames(found)).Int("found", len(found)).Int("live", len(live)).Msg("instances-found")
		}
		if len(lost) > 0 {
			e.log.Info().Strs("others", firstNames(lost)).Int("lost", len(lost)).Int("live", len(live)).Msg("instances-lost")
		}
		known = live
		if !e.rolloutState.active.isOpen() {
			e.rollouts.Tick()
		}
		if now := e.peers.Relay(); now != relay {
			relay = now
			e.log.Info().Bool("relay", relay).Msg("relay")
		}
	}
}

// compareMembers returns the names that only the second of two lists has, and
// those that only the first has. Both are ordered by name.
func compareMembers(before, now []cluster.Member) (found, lost []string) {
	for len(before) > 0 || len(now) > 0 {
		switch {
		case len(before) == 0 || len(now) > 0 && now[0].Name < before[0].Name:
			found = append(found, now[0].Name)
			now = now[1:]
		case len(now) == 0 || before[0].Name < now[0].Name:
			lost = append(lost, before[0].Name)
			before = before[1:]
		default:
			before, now = before[1:], now[1:]
		}
	}
	return found, lost
}
