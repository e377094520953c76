// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/quarantine"
	"shalewick/process/state"
	"shalewick/request"
)

const (
	// persistInterval is the pause between two searches for entries that are not stored yet. It
	// gives other instances time to object, which takes a round trip.
	persistInterval = time.Second
	// maxPersistPause bounds that pause, which doubles while the store does not respond.
	maxPersistPause = 30 * time.Second
)

// storedEntries holds the stamps of the entries that the store is known to have: those that this
// instance has read or written.
type storedEntries struct {
	mu     sync.Mutex
	stamps map[request.Fingerprint]uint32
}

func (r *storedEntries) set(f request.Fingerprint, stamp uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stamps == nil {
		r.stamps = make(map[request.Fingerprint]uint32)
	}
	r.stamps[f] = stamp
}

func (r *storedEntries) remove(f request.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stamps, f)
}

// reset forgets the stored entries after the store was restored from an older copy.
func (r *storedEntries) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.stamps)
}

// diff returns the entries that are newer than their rows, and the rows that have no entry any
// more.
func (r *storedEntries) diff(entries []quarantine.Entry) (missing []quarantine.Entry, obsolete []request.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[request.Fingerprint]bool, len(entries))
	for _, e := range entries {
		present[e.Request] = true
		if e.Stamp > r.stamps[e.Request] {
			missing = append(missing, e)
		}
	}
	for f := range r.stamps {
		if !present[f] {
			obsolete = append(obsolete, f)
		}
	}
	return missing, obsolete
}

// loadQuarantine reads the entries from the store.
func (e *Edge) loadQuarantine(ctx context.Context) error {
	d, err := e.deployment.Store.Read(ctx, e.deployment.QuarantineTable)
	if err != nil {
		return err
	}
	var entries []quarantine.Entry
	for _, row := range d.Rows {
		var x quarantine.Entry
		if err := json.Unmarshal(row.Value, &x); err != nil || x.Request.String() != row.Key {
			e.log.Warn().AnErr("error", err).Str("row", row.Key).Msg("quarantine-row-skipped")
			continue
		}
		entries = append(entries, x)
		e.storedEntries.set(x.Request, x.Stamp)
	}
	e.quarantine.LoadEntries(entries, "store")
	return nil
}

// persistQuarantine writes the entries whose rows this instance owns to the store, until the
// context ends.
func (e *Edge) persistQuarantine(ctx context.Context) {
	pause := persistInterval
	for clock.Sleep(ctx, pause) {
		if err := e.persistEntries(ctx); err != nil {
			pause = min(2*pause, maxPersistPause)
			e.log.Info().Err(err).Msg("quarantine-not-kept")
			continue
		}
		pause = persistInterval
	}
}

func (e *Edge) persistEntries(ctx context.Context) error {
	missing, obsolete := e.storedEntries.diff(e.quarantine.Entries())
	for _, x := range missing {
		if !e.ownsRow(x.Request) {
			continue
		}
		if err := e.storeCall(ctx, func(ctx context.Context) error { return e.writeEntry(ctx, x) }); err != nil {
			return errors.Annotatef(err, "write the row of request %s", x.Request)
		}
		e.storedEntries.set(x.Request, x.Stamp)
		e.log.Info().Str("request", x.Request.String()).Uint32("stamp", x.Stamp).Msg("quarantine-kept")
	}
	for _, f := range obsolete {
		err := e.storeCall(ctx, func(ctx context.Context) error {
			return e.deployment.Store.Delete(ctx, e.deployment.QuarantineTable, f.String())
		})
		if err != nil {
			return errors.Annotatef(err, "delete the obsolete row of request %s", f)
		}
		e.storedEntries.remove(f)
	}
	return nil
}

// ownsRow reports whether this instance writes the row of a request.
func (e *Edge) ownsRow(f request.Fingerprint) bool {
	return e.members.OwnerAtStore(uint64(f)).Name == e.settings.Instance
}

// writeEntry writes an entry and its status row for operators. Entries only advance. If a former
// owner writes a row late, that row can only differ in whether the request was withdrawn, and the
// instances that know the newer entry correct it at the next start of all instances.
func (e *Edge) writeEntry(ctx context.Context, x quarantine.Entry) error {
	value, err := json.Marshal(x)
	if err != nil {
		return errors.Trace(err)
	}
	status, err := e.deployment.QuarantineStatus(x)
	if err != nil {
		return err
	}
	_, err = e.deployment.Store.Write(ctx, nil, []state.Put{
		{Table: e.deployment.QuarantineTable, Key: x.Request.String(), Value: value}, status,
	})
	return err
}
