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
	// coalescePerRow is how long changes of backend servers are collected before a compilation, for
	// each backend server in force: compiling costs some 2 us of CPU time for each, so that
	// permanent changes take at most 2 % of one core.
	coalescePerRow = 100 * time.Microsecond
	// maxCoalesce bounds that delay: backend servers that leave must stop getting requests in time.
	maxCoalesce = 300 * time.Millisecond
)

// watchTables compiles the tables whenever they change: at once after a change by the operator or a
// step of a rollout, and after a short delay when only backend servers have changed.
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

// coalesceChanges waits for further changes of backend servers, until the operator's table changes.
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

// recompile puts the content of the tables in force, once the tables are known.
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
		backends.Reset()
		e.expiredRows = expiredRows{keepFor: e.expiredRows.keepFor}
		e.compile(operator.Rows(), nil, spare)
		return
	}
	now := e.now()
	present := backends.Rows()
	rows, again := e.expiredRows.merge(present, backends.StoreRecoveredAt(), now)
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

// compile puts the configuration in the rows in force; on a spare instance other instances take the
// place of the backend servers. If the rows are invalid, the last valid version stays in force.
func (e *Edge) compile(operator, backends []state.Row, spare bool) {
	c, problems := e.documents.Configuration(operator, backends)
	records, recordProblems := knownRecords(e.records())
	problems = append(problems, recordProblems...)
	if c != nil {
		problems = append(problems, e.removeOwnAddresses(c)...)
		problems = append(problems, e.removeMisdirected(c)...)
	}
	e.logSkipped(problems)
	if c == nil {
		return
	}
	if e.follower.Tables[e.deployment.BackendTable].Retaining() {
		keepLaterStarts(c.Announced, e.lastAnnounced)
	}
	e.lastAnnounced = c.Announced
	e.spare.usesKeys.Store(len(c.List(version.KindWorkspace)) > 0)
	old := e.table.Routing()
	orders := ordersOf(c)
	if old == nil && (e.mustAwaitRecords(orders, records) || e.mustAwaitQuarantine()) {
		return
	}
	e.applyReleased(c)
	if spare {
		e.spare.addForwardTargets(c) // the instances that requests are forwarded to choose the software version
	} else {
		e.admitSoftware(c, orders, records)
	}
	r := version.CompileRouting(c, old)
	services := rolloutServices(r, c.Software, orders, records)
	// The table is installed first: a request that arrives in between may be for the target of a
	// rollout that has ended by the table, and gets the version that is now in force. In the
	// reverse order it would go to the version that the table still has.
	e.table.Install(r)
	e.rollouts.Install(services)
	e.quota.Install(r.Workspaces)
	e.updateRolloutState(services, orders, records)
	e.logBackends(old, r)
	if old == nil || old.Seq != r.Seq {
		e.log.Info().Int64("version", r.Seq).Int("backends", len(r.Backends)).Msg("version-in-force")
	}
}

// reasonOther is the reason of a problem that does not concern a single row.
const reasonOther = "other"

// logSkipped logs the rows that have become unusable since the last compilation, at most maxNames
// of them, and counts all unusable rows by reason. The caller holds compileMu.
func (e *Edge) logSkipped(problems []error) {
	skipped := make(map[string]string, len(problems))
	counts := make(map[string]int64)
	logged := 0
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
		if logged++; logged <= maxNames {
			e.log.Warn().Err(p).Str("row", key).Str("reason", reason).Int("skipped", len(problems)).Msg("row-skipped")
		}
	}
	if logged > maxNames {
		e.log.Warn().Int("more", logged-maxNames).Int("skipped", len(problems)).Msg("rows-skipped")
	}
	e.skipped = skipped
	for reason := range e.skippedCounts {
		if counts[reason] == 0 {
			counts[reason] = 0 // resets its gauge
		}
	}
	for reason, n := range counts {
		e.metrics.Gauge("rows_skipped{reason=" + strconv.Quote(reason) + "}").Update(n)
	}
	e.skippedCounts = counts
}

// SettingsReloaded is called after the adapter has read its settings again; err is set if it
// failed to.
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
