// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/rollout"
	"shalewick/process/state"
)

const (
	// minStepPause is the pause after a failed call of the store. It doubles with each further
	// failure, up to maxStepPause.
	minStepPause = 200 * time.Millisecond
	maxStepPause = time.Second
	// failuresToHandOver is the number of consecutive failed calls after which the owner counts as
	// cut off from the store, so that another instance becomes the owner. It is more than one so
	// that the owner does not change all the time while no instance can reach the store.
	failuresToHandOver = 3
)

// stepWriter writes the steps of the rollouts that this instance owns. It is not safe for
// concurrent use.
type stepWriter struct {
	edge     *Edge
	owned    map[string]ownership // by service
	failures int                  // consecutive failed calls of the store
}

// ownership is this instance's ownership of a service's rollout.
type ownership struct {
	recordsRead bool // the records were read since it began
	// decideFrom is when this instance may begin to decide.
	decideFrom time.Duration
}

// writeSteps writes steps until the context ends.
func (e *Edge) writeSteps(ctx context.Context) {
	w := stepWriter{edge: e, owned: make(map[string]ownership)}
	for e.rolloutState.active.wait(ctx) && clock.Sleep(ctx, w.pause()) {
		w.runOnce(ctx)
	}
}

// pause returns the time until the next run.
func (w *stepWriter) pause() time.Duration {
	if w.failures == 0 {
		return rollout.TickInterval
	}
	p := min(minStepPause<<min(w.failures-1, 8), maxStepPause)
	return p/2 + rand.N(p)
}

// runOnce writes the steps that are due. A step that could not be written is proposed again.
func (w *stepWriter) runOnce(ctx context.Context) {
	if !w.updateOwned(w.edge.ownedRollouts()) {
		return
	}
	_, known := w.edge.deployment.Store.Clock()
	if !known || !w.allRecordsRead() {
		if !w.readRecords(ctx) {
			return
		}
	}
	now, known := w.edge.deployment.Store.Clock()
	if !known || !w.informed() {
		return
	}
	for _, p := range w.edge.rollouts.Proposals(now) {
		w.writeStep(ctx, p)
	}
}

// ownedRollouts returns the services whose rollouts this instance owns.
func (e *Edge) ownedRollouts() []string {
	var out []string
	for _, name := range e.activeServices() {
		if o := e.rolloutOwner(name); o.Name != "" && o.Address == "" {
			out = append(out, name)
		}
	}
	return out
}

// updateOwned updates the services that this instance owns, and reports whether there are any.
func (w *stepWriter) updateOwned(services []string) bool {
	owned := make(map[string]ownership, len(services))
	for _, name := range services {
		o, wasOwned := w.owned[name]
		if !wasOwned {
			o.decideFrom = w.edge.now() + rollout.TakeoverWait
		}
		owned[name] = o
	}
	w.owned = owned
	if len(services) == 0 {
		w.failures = 0
	}
	return len(services) > 0
}

// informed reports whether there was enough time to receive from other instances what they know of
// the rollouts that are running.
func (w *stepWriter) informed() bool {
	records, _ := knownRecords(w.edge.records()) // unreadable records are logged by compile
	now := w.edge.now()
	for name, o := range w.owned {
		if records[name].running() && now < o.decideFrom {
			return false
		}
	}
	return true
}

// allRecordsRead reports whether the records were read since this instance owns the services.
func (w *stepWriter) allRecordsRead() bool {
	for _, o := range w.owned {
		if !o.recordsRead {
			return false
		}
	}
	return true
}

// readRecords reads the records from the store, so that a new owner does not decide on records that
// others have overwritten. It reports whether it succeeded.
func (w *stepWriter) readRecords(ctx context.Context) bool {
	err := w.edge.storeCall(ctx, w.edge.readRecords)
	w.recordResult(ctx, err)
	if err != nil {
		return false
	}
	for name, o := range w.owned {
		o.recordsRead = true
		w.owned[name] = o
	}
	return true
}

// writeStep writes a step. If the record has changed in the meantime, it is read again. After any
// other failure the outcome is unknown: the table, or the next write, shows whether the step was
// written.
func (w *stepWriter) writeStep(ctx context.Context, p rollout.Proposal) {
	start := w.edge.now()
	var revision int64
	err := w.edge.storeCall(ctx, func(ctx context.Context) (err error) {
		revision, err = w.edge.writeRecord(ctx, p)
		return err
	})
	w.edge.logStep(p, revision, w.edge.now()-start, err)
	if !errors.Is(err, state.ErrConflict) {
		w.recordResult(ctx, err)
		return
	}
	w.recordResult(ctx, nil)
	w.readRecords(ctx)
}

// recordResult records whether the store responded to a call. An owner that gets no responses from
// the store reports this to all instances, so that another one takes over.
func (w *stepWriter) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if w.failures >= failuresToHandOver {
			w.edge.peers.RecordStoreCall(true)
		}
		w.failures = 0
		return
	}
	w.failures++
	if w.failures%failuresToHandOver == 0 {
		w.edge.peers.RecordStoreCall(false)
	}
}
