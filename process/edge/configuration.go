// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/process/state"
	"shalewick/version"
)

const (
	// gatherPerRow is how long changes of backend servers gather before they are taken
	// up, for each backend server that there is: taking up costs some 2 us of a core for
	// each, so that changes that come all the time take at most 2 in 100 of one.
	coalescePerRow = 100 * time.Microsecond
	// gatherMost bounds that: backend servers that leave must get nothing more in time.
	maxCoalesce = 300 * time.Millisecond
)

// takeUp compiles what the tables say whenever they change: at once when the
// operator changed something or a roll-out took a step, and after a moment when backend
// servers did.
func (e *Edge) watchTables(ctx context.Context) {
	operator := e.follower.Tables[e.deployment.OperatorTable]
	backends := e.follower.Tables[e.deployment.BackendTable]
	for ctx.Err() == nil {
		operatorChanged, backendsChanged, recordsChanged := operator.Changed(), backends.Changed(), e.records().Changed()
		e.recompile()
		select {
		case <-operatorChanged:
		case <-recordsChanged:
		case <-backendsChanged:
			e.coalesceChanges(ctx, operatorChanged)
		case <-ctx.Done():
		}
	}
}

// gather waits for further changes of backend servers, until the operator's tables change.
func (e *Edge) coalesceChanges(ctx context.Context, operatorChanged <-chan struct{}) {
	routing := e.table.Routing()
	if routing == nil {
		return
	}
	t := time.NewTimer(min(maxCoalesce, time.Duration(len(routing.Backends))*coalescePerRow))
	defer t.Stop()
	select {
	case <-t.C:
	case <-operatorChanged:
	case <-ctx.Done():
	}
}

// recompile puts in force what the tables say, once both are known.
func (e *Edge) recompile() {
	operator := e.follower.Tables[e.deployment.OperatorTable]
	backends := e.follower.Tables[e.deployment.BackendTable]
	_, operatorKnown := operator.Version()
	_, backendsKnown := backends.Version()
	spare := e.spare.active.Load()
	if !operatorKnown || !backendsKnown && !spare {
		return
	}
	e.compileMu.Lock()
	defer e.compileMu.Unlock()
	if spare {
		backends.Forget()
		e.expiredRows = expiredRows{keepFor: e.expiredRows.keepFor}
		e.compile(operator.Rows(), nil, spare)
		return
	}
	now := e.now()
	present := backends.Rows()
	rows, again := e.expiredRows.merge(present, backends.Returned(), now)
	if len(rows) > len(present) {
		e.log.Info().Int("kept", len(rows)-len(present)).Dur("until", again-now).Msg("backends-lapsed")
	}
	e.compile(operator.Rows(), rows, spare)
	if e.expiredRowsTimer != nil {
		e.expiredRowsTimer.Stop()
	}
	if again != 0 {
		e.expiredRowsTimer = time.AfterFunc(again-now, e.recompile)
	}
}

// compile puts what the rows say in force, on a spare instance with other instances in place of
// backend servers. What can't be read leaves the last good version in force.
func (e *Edge) compile(operator, backends []state.Row, spare bool) {
	c, problems := e.documents.Configuration(operator, backends)
	e.logSkipped(problems)
	if c == nil {
		return
	}
	if e.follower.Tables[e.deployment.BackendTable].Holding() {
		keepLaterStarts(c.Announced, e.lastAnnounced)
	}
	e.lastAnnounced = c.Announced
	e.spare.usesKeys.Store(len(c.List(version.KindWorkspace)) > 0)
	old := e.table.Routing()
	orders, records := e.ordersAndRecords(c)
	if old == nil && (e.mustAwaitRecords(orders, records) || e.mustAwaitQuarantine()) {
		return
	}
	e.applyLetThrough(c)
	if spare {
		e.spare.addForwardTargets(c) // these serve by whatever software is in force
	} else {
		e.admitSoftware(c, orders, records)
	}
	r := version.CompileRouting(c, old)
	services := rolloutServices(r, c.Software, orders, records)
	// The table first: in between, a request may be for the target of a roll-out that has
	// ended by the table, and gets the version that is in force now. The other way round
	// it would go to the version that the table still has.
	e.table.Install(r)
	e.rollouts.Install(services)
	e.quota.Install(r.Workspaces)
	e.updateRolloutState(services, orders, records)
	e.logBackends(old, r)
	if old == nil || old.Seq != r.Seq {
		e.log.Info().Int64("version", r.Seq).Int("backends", len(r.Backends)).Msg("version-in-force")
	}
}

// otherReason is the reason of a problem that is not of one row.
const reasonOther = "other"

// logSkipped writes which rows can't be used that could before, or are new, a few at a time,
// and counts all by reason. The caller holds compiling.
func (e *Edge) logSkipped(problems []error) {
	skipped := make(map[string]string, len(problems))
	counts := make(map[string]int64)
	turned := 0
	for _, p := range problems {
		key, reason := "", reasonOther
		var row *state.RowError
		if errors.As(p, &row) {
			key, reason = row.Key, row.Reason
		} else {
			key = p.Error()
		}
		counts[reason]++
		skipped[key] = reason
		if e.skipped[key] == reason {
			continue
		}
		if turned++; turned <= maxNames {
			e.log.Warn().Err(p).Str("row", key).Str("reason", reason).Int("skipped", len(problems)).Msg("row-skipped")
		}
	}
	if turned > maxNames {
		e.log.Warn().Int("more", turned-maxNames).Int("skipped", len(problems)).Msg("rows-skipped")
	}
	e.skipped = skipped
	for reason := range e.skippedCounts {
		if counts[reason] == 0 {
			counts[reason] = 0 // so that its gauge falls
		}
	}
	for reason, n := range counts {
		e.metrics.Gauge("rows_skipped{reason=" + strconv.Quote(reason) + "}").Update(n)
	}
	e.skippedCounts = counts
}

// Reloaded is told when the adapter has read its settings again, or why it
// could not.
func (e *Edge) SettingsReloaded(err error) {
	if err != nil {
		e.log.Warn().Err(err).Msg("settings-kept")
		return
	}
	e.log.Info().Msg("settings-reloaded")
	e.compileMu.Lock()
	e.documents.RetryRejected()
	e.compileMu.Unlock()
	e.recompile()
}
