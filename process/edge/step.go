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
	// stepPause is the pause after a call of the store that failed; it doubles with each
	// further one up to longestStepPause.
	minStepPause = 200 * time.Millisecond
	maxStepPause = time.Second
	// failuresToPass is the number of calls in a row that fail until the owner counts as
	// cut off from the store, so that another instance becomes the owner. It is more than
	// one: while the store is away for all the owner should not change all the time.
	failuresToHandOver = 3
)

// stepWriter writes the steps of the roll-outs that this instance owns. It is not safe
// for concurrent use.
type stepWriter struct {
	edge     *Edge
	owned    map[string]ownership // by service
	failures int                  // calls of the store that failed in a row
}

// ownership is that of a service's roll-out by this instance.
type ownership struct {
	recordsRead bool // the records were read since
	// from is when this instance may decide.
	decideFrom time.Duration
}

// writeSteps writes steps until the context ends.
func (e *Edge) writeSteps(ctx context.Context) {
	w := stepWriter{edge: e, owned: make(map[string]ownership)}
	for e.rolloutState.active.wait(ctx) && clock.Sleep(ctx, w.pause()) {
		w.runOnce(ctx)
	}
}

// pause returns the time until the next turn.
func (w *stepWriter) pause() time.Duration {
	if w.failures == 0 {
		return rollout.TickTime
	}
	p := min(minStepPause<<min(w.failures-1, 8), maxStepPause)
	return p/2 + rand.N(p)
}

// turn writes the steps that are due. What was not written is proposed again.
func (w *stepWriter) runOnce(ctx context.Context) {
	if !w.updateOwned(w.edge.ownedRollouts()) {
		return
	}
	_, clocked := w.edge.deployment.Store.Clock()
	if !clocked || !w.allRead() {
		if !w.read(ctx) {
			return
		}
	}
	now, clocked := w.edge.deployment.Store.Clock()
	if !clocked || !w.informed() {
		return
	}
	for _, p := range w.edge.rollouts.Proposals(now) {
		w.write(ctx, p)
	}
}

// ownedRollouts returns the services whose roll-outs this instance decides on.
func (e *Edge) ownedRollouts() []string {
	var out []string
	for _, name := range e.activeServices() {
		if o := e.rolloutOwner(name); o.Name != "" && o.Address == "" {
			out = append(out, name)
		}
	}
	return out
}

// own takes up which services this instance owns, and reports whether there are any.
func (w *stepWriter) updateOwned(services []string) bool {
	owned := make(map[string]ownership, len(services))
	for _, name := range services {
		o, before := w.owned[name]
		if !before {
			o.decideFrom = w.edge.now() + rollout.InformTime
		}
		owned[name] = o
	}
	w.owned = owned
	if len(services) == 0 {
		w.failures = 0
	}
	return len(services) > 0
}

// heard reports whether there was time to hear of the roll-outs that run what others
// know of them.
func (w *stepWriter) informed() bool {
	records, _ := knownRecords(w.edge.records()) // what can't be read is logged elsewhere
	now := w.edge.now()
	for name, o := range w.owned {
		if records[name].running() && now < o.decideFrom {
			return false
		}
	}
	return true
}

// allRead reports whether the records were read since this instance owns the services.
func (w *stepWriter) allRead() bool {
	for _, o := range w.owned {
		if !o.recordsRead {
			return false
		}
	}
	return true
}

// read reads the records from the store, so that an owner does not decide on what others
// wrote over meanwhile. It reports whether they were read.
func (w *stepWriter) read(ctx context.Context) bool {
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

// write writes one step. If the record has changed meanwhile it is read. After any other
// failure nothing is assumed: the table, or the next write, tells whether it is there.
func (w *stepWriter) write(ctx context.Context, p rollout.Proposal) {
	began := w.edge.now()
	var revision int64
	err := w.edge.storeCall(ctx, func(ctx context.Context) (err error) {
		revision, err = w.edge.writeRecord(ctx, p)
		return err
	})
	w.edge.logStep(p, revision, w.edge.now()-began, err)
	if !errors.Is(err, state.Conflict) {
		w.recordResult(ctx, err)
		return
	}
	w.recordResult(ctx, nil)
	w.read(ctx)
}

// note takes up whether a call of the store was answered. An owner that the store does
// not answer says so to all, so that another one takes over.
func (w *stepWriter) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		if w.failures >= failuresToHandOver {
			w.edge.peers.StoreCalled(true)
		}
		w.failures = 0
		return
	}
	w.failures++
	if w.failures%failuresToHandOver == 0 {
		w.edge.peers.StoreCalled(false)
	}
}
