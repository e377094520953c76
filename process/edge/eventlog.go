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

// This file logs changes in the observed state of backend servers and of other instances.

// maxNames bounds the number of names in a log line.
const maxNames = 12

// logBackends logs the differences between the backend servers of two routings.
func (e *Edge) logBackends(old, now *version.Routing) {
	if old == nil {
		return
	}
	before := old.Backends // both are ordered by name
	var added, closed, opened, gone []string
	recordGoneBefore := func(name string) {
		for len(before) > 0 && (name == "" || before[0].Name < name) {
			gone = append(gone, before[0].Name)
			before = before[1:]
		}
	}
	for i := range now.Backends {
		b := &now.Backends[i]
		recordGoneBefore(b.Name)
		if len(before) == 0 || before[0].Name != b.Name {
			added = append(added, b.Name)
			continue
		}
		previous := &before[0]
		before = before[1:]
		switch {
		case b.Closed && !previous.Closed:
			closed = append(closed, b.Name)
		case previous.Closed && !b.Closed:
			opened = append(opened, b.Name)
		}
	}
	recordGoneBefore("")
	if len(added)+len(closed)+len(opened)+len(gone) == 0 {
		return
	}
	e.log.Info().Strs("added", firstNames(added)).Strs("closed", firstNames(closed)).Strs("opened", firstNames(opened)).Strs("gone", firstNames(gone)).
		Int("changed", len(added)+len(closed)+len(opened)+len(gone)).Int("backends", len(now.Backends)).Msg("backends-changed")
}

func firstNames(names []string) []string { return names[:min(len(names), maxNames)] }

// logSuspension logs that a backend server is suspended after consecutive failures, or, with no
// failures, that it responds again.
func (e *Edge) logSuspension(backend string, failures int, pause time.Duration) {
	if failures == 0 {
		e.log.Info().Str("backend", backend).Msg("backend-answers")
		return
	}
	e.log.Info().Str("backend", backend).Int("failures", failures).Dur("pause", pause).Msg("backend-suspended")
}

// logLinks logs whether this instance reaches any backend server.
func (e *Edge) logLinks() {
	r := e.table.Reachability()
	e.log.Info().Bool("lost", r.Lost != 0).Int("suspended", r.Suspended).Int("backends", r.Backends).
		Dur("lastContact", r.LastContact).Int("live", len(e.members.Live())).Msg("links")
}

// logNotice logs that a backend server has announced that it is leaving or that it needs a backoff.
// Own is set if this instance received the notice itself, and not by gossip.
func (e *Edge) logNotice(backend string, n request.Notice, own bool) {
	if n.Leaving {
		e.log.Info().Str("backend", backend).Bool("own", own).Msg("backend-leaving")
	}
	if n.RetryAfter > 0 {
		e.log.Info().Str("backend", backend).Bool("own", own).Dur("retryAfter", n.RetryAfter).Msg("backend-backoff")
	}
}

// logAvoided logs that for a while a backend server only gets requests that no other one can take,
// since it refused several in a row though it has free slots.
func (e *Edge) logAvoided(backend string, refusals int, pause time.Duration) {
	e.log.Info().Str("backend", backend).Int("refusals", refusals).Dur("pause", pause).Msg("backend-avoided")
}

// reportStoreLost announces to the other instances of the region that this one cannot reach the
// store.
func (e *Edge) reportStoreLost() {
	e.log.Info().Bool("relay", e.peers.Relay()).Msg("store-lost")
	e.heartbeats.SendToRegion()
}

// watchMembersInterval is the pause between two comparisons of the live instances.
const watchMembersInterval = time.Second

// watchMembers logs which instances were lost and found until the context ends, and ticks the
// rollouts while none is active.
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

// compareMembers returns the names that are only in now, and those that are only in before. Both
// lists are ordered by name.
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
