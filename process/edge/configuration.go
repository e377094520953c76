// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"time"

	"shalewick/process/state"
	"shalewick/version"
)

// takeUp compiles what the tables say whenever they change.
func (e *Edge) takeUp(ctx context.Context) {
	operator := e.follower.Tables[e.deployment.OperatorTable]
	upstreams := e.follower.Tables[e.deployment.UpstreamTable]
	for ctx.Err() == nil {
		operatorChanged, upstreamsChanged := operator.Changed(), upstreams.Changed()
		e.recompile()
		select {
		case <-operatorChanged:
		case <-upstreamsChanged:
		case <-ctx.Done():
		}
	}
}

// recompile puts in force what the tables say, once both are known.
func (e *Edge) recompile() {
	operator := e.follower.Tables[e.deployment.OperatorTable]
	upstreams := e.follower.Tables[e.deployment.UpstreamTable]
	_, operatorKnown := operator.Version()
	_, upstreamsKnown := upstreams.Version()
	if !operatorKnown || !upstreamsKnown {
		return
	}
	e.compiling.Lock()
	defer e.compiling.Unlock()
	now := e.now()
	present := upstreams.Rows()
	rows, again := e.lapses.rows(present, upstreams.Returned(), now)
	if len(rows) > len(present) {
		e.log.Info().Int("kept", len(rows)-len(present)).Dur("until", again-now).Msg("upstreams-lapsed")
	}
	e.compile(operator.Rows(), rows)
	if e.lapseEnd != nil {
		e.lapseEnd.Stop()
	}
	if again != 0 {
		e.lapseEnd = time.AfterFunc(again-now, e.recompile)
	}
}

// compile puts what the rows say in force. What can't be read leaves the last
// good version in force.
func (e *Edge) compile(operator, upstreams []state.Row) {
	c, problems := e.deployment.Configuration(operator, upstreams)
	for _, p := range problems {
		e.log.Warn().Err(p).Msg("row-skipped")
	}
	if c == nil {
		return
	}
	old := e.table.Routing()
	if old != nil && c.Seq < old.Seq {
		e.log.Warn().Int64("version", c.Seq).Int64("inForce", old.Seq).Msg("older-version-skipped")
		return
	}
	r := version.CompileRouting(c)
	e.table.Install(r)
	e.logUpstreams(old, r)
	if old == nil || old.Seq != r.Seq {
		e.log.Info().Int64("version", r.Seq).Int("upstreams", len(r.Upstreams)).Msg("version-in-force")
	}
}

// Reloaded is told when the adapter has read its settings again, or why it
// could not.
func (e *Edge) Reloaded(err error) {
	if err != nil {
		e.log.Warn().Err(err).Msg("settings-kept")
		return
	}
	e.log.Info().Msg("settings-reloaded")
	e.recompile()
}
