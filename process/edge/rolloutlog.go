// SPDX-License-Identifier: MIT

package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"shalewick/process/rollout"
	"shalewick/process/state"
)

// This file logs changes of rollouts.

// logOrderChanges logs the orders that are new, and those that are gone.
func (e *Edge) logOrderChanges(orders map[string]*rollout.Order) {
	for _, name := range slices.Sorted(maps.Keys(orders)) {
		o, existed := orders[name], e.rolloutState.orders[name]
		if existed != nil && *existed == *o {
			continue
		}
		e.log.Info().Str("service", name).Int64("order", o.ID).Str("target", o.Target).Dur("within", o.Within).
			Str("inForce", e.rolloutState.admitted[name].InForce).Msg("rollout-ordered")
	}
	for _, name := range slices.Sorted(maps.Keys(e.rolloutState.orders)) {
		if orders[name] == nil {
			e.log.Info().Str("service", name).Int64("order", e.rolloutState.orders[name].ID).Msg("rollout-withdrawn")
		}
	}
}

// logRecordChanges logs the records that have changed.
func (e *Edge) logRecordChanges(records map[string]knownRecord) {
	for _, name := range slices.Sorted(maps.Keys(records)) {
		k := records[name]
		if k.revision == e.rolloutState.records[name].revision {
			continue
		}
		e.log.Info().Str("service", name).Str("phase", string(k.record.Phase)).Int64("order", k.record.Order).
			Str("target", k.record.Target).Str("before", k.record.Previous).Str("cause", k.record.Cause).
			Dur("deadline", time.Duration(k.record.Deadline)).Int64("revision", k.revision).
			Str("inForce", e.rolloutState.admitted[name].InForce).Msg("rollout-record")
	}
}

// logStep logs the outcome of a step that this instance proposed as the owner.
func (e *Edge) logStep(p rollout.Proposal, revision int64, took time.Duration, err error) {
	result := "written"
	switch {
	case errors.Is(err, state.ErrConflict):
		result = "refused"
	case err != nil:
		result = "not-answered"
	}
	e.log.Info().Str("service", p.Record.Service).Str("phase", string(p.Record.Phase)).Int64("order", p.Record.Order).
		Str("target", p.Record.Target).Str("cause", p.Record.Cause).Str("evidence", p.Record.Evidence).
		Str("result", result).Int64("against", p.Revision).Int64("revision", revision).Dur("took", took).
		AnErr("error", err).Msg("rollout-step")
}

// logRolloutEvent logs an event of a rollout: a stop, an expired lease or a verdict.
func (e *Edge) logRolloutEvent(x rollout.Event) {
	e.log.Info().Str("service", x.Service).Str("what", x.What).Str("cause", x.Cause).
		Int64("targetRequests", x.Target.Requests).Int64("targetFailed", x.Target.Failed).Int64("targetSlow", x.Target.Slow).
		Int64("baseRequests", x.Base.Requests).Int64("baseFailed", x.Base.Failed).Int64("baseSlow", x.Base.Slow).
		Dur("age", x.Age).Dur("late", x.SchedulingDelay).Msg("rollout-event")
}
