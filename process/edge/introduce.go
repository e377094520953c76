// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/cluster"
)

// Times of the instances' rows and of the search for other instances.
const (
	writeTimeout    = 2 * time.Second // of one call of the store
	rereadInstances = time.Minute
	firstPause      = 100 * time.Millisecond // after a failure; it doubles
	longestPause    = 2 * time.Second
)

// introduce writes the own row, and then reads those of the others, so that of
// two instances that start together at least one finds the other. Rows are read
// again now and then.
func (e *Edge) introduce(ctx context.Context) {
	written := false
	pause := firstPause
	for ctx.Err() == nil {
		if !written {
			written = e.storeCall(ctx, e.writeRow) == nil
		}
		read := e.storeCall(ctx, e.readRows) == nil
		if written && read {
			pause = firstPause
			clock.Sleep(ctx, rereadInstances)
			continue
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
}

func (e *Edge) writeRow(ctx context.Context) error {
	value, err := json.Marshal(e.members.Self())
	if err != nil {
		return errors.Trace(err)
	}
	return e.deployment.Store.Put(ctx, e.deployment.InstanceTable, e.settings.Instance, value)
}

func (e *Edge) readRows(ctx context.Context) error {
	d, err := e.deployment.Store.Read(ctx, e.deployment.InstanceTable)
	if err != nil {
		return err
	}
	for _, r := range d.Rows {
		var m cluster.Member
		if json.Unmarshal(r.Value, &m) == nil {
			e.members.Learn(false, m)
		}
	}
	e.members.Read()
	e.beats.SendAll()
	return nil
}

// storeCall makes one call of the store within a bounded time.
func (e *Edge) storeCall(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := f(ctx)
	if err != nil {
		e.log.Debug().Err(err).Msg("store-call-failed")
	}
	return err
}

// askSeeds learns other instances from the seeds until there is a
// configuration.
func (e *Edge) askSeeds(ctx context.Context) {
	for ctx.Err() == nil && e.table.Routing() == nil {
		if !clock.Sleep(ctx, 3*firstPause) {
			return
		}
		for _, seed := range e.settings.Seeds {
			if seed == e.settings.Control || e.table.Routing() != nil {
				continue
			}
			call, cancel := context.WithTimeout(ctx, dialTimeout)
			err := e.peers.Fetch(call, seed)
			cancel()
			if err == nil {
				e.beats.SendAll()
			}
		}
	}
}
