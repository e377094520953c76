// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/clock"
	"shalewick/process/cluster"
	"shalewick/process/crash"
	"shalewick/process/quarantine"
	"shalewick/version"
)

const (
	// pathQuarantine is where an instance fetches another one's list of quarantined requests, and
	// pathQuarantineView where operators read it.
	pathQuarantine     = "/peer/quarantine"
	pathQuarantineView = "/v1/quarantine"
	// maxSyncWait bounds how long a starting instance waits for the list before it serves without
	// it: other instances provide it within a few round trips, and a relay reads it within one.
	maxSyncWait = time.Second
	// minListPause and maxListPause bound the pause between two requests for the list, which
	// doubles.
	minListPause = 20 * time.Millisecond
	maxListPause = time.Second
	// maxListWait bounds how long a request for the list waits until this instance has it.
	maxListWait = time.Second
	// minListInterval is the minimum time between two requests for a list that differs, so that
	// changes that reach all instances within one round trip are rarely requested.
	minListInterval = 300 * time.Millisecond
)

// newQuarantine returns the quarantine of requests, which the instances maintain together.
func (e *Edge) newQuarantine() *quarantine.Quarantine {
	q := quarantine.New()
	q.Now, q.Owners, q.Log = e.now, e.quarantineOwners, e.log
	q.Send, q.SendAll = e.heartbeats.SendMessage, e.heartbeats.BroadcastMessage
	e.heartbeats.Digest, e.heartbeats.OnDigestMismatch = q.Digest, e.refreshList
	return q
}

// onBackendCrash logs the crash of a backend server and the requests that were in flight there from
// this instance, and attributes the crash to them.
func (e *Edge) onBackendCrash(c crash.Crash) {
	requests := make([]string, 0, len(c.Suspects))
	for _, s := range c.Suspects {
		requests = append(requests, s.Request.String())
	}
	e.metrics.Counter("backend_crashes_total").Inc(1)
	e.log.Info().Str("backend", c.Backend).Str("service", c.Service).Strs("requests", firstNames(requests)).
		Int("lost", len(requests)).Msg("backend-crashed")
	e.quarantine.RecordCrash(c)
}

// quarantineOwners returns the instances that count the crashes of a service, over all regions and
// within this instance's region.
func (e *Edge) quarantineOwners(service string) (owner, regional quarantine.Owner) {
	hash := xxhash.Sum64String(service)
	return e.quarantineOwner(e.members.OwnerIn("", hash)), e.quarantineOwner(e.members.OwnerIn(e.settings.Region, hash))
}

func (e *Edge) quarantineOwner(m cluster.Member) quarantine.Owner {
	if m.Name == e.settings.Instance || m.Name == "" {
		return quarantine.Owner{Name: e.settings.Instance}
	}
	return quarantine.Owner{Name: m.Name, Address: m.Peer}
}

// tickQuarantine sends messages and takes decisions that are due, until the context ends.
func (e *Edge) tickQuarantine(ctx context.Context) {
	for {
		select {
		case <-e.quarantine.Wake():
		case <-ctx.Done():
			return
		}
		for clock.Sleep(ctx, quarantine.TickInterval) && !e.quarantine.Tick() {
		}
	}
}

// syncQuarantine gets the list when this instance starts: from other instances or, if this
// instance is a relay, from the store, whichever responds first, as with the tables.
func (e *Edge) syncQuarantine(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for i := range syncSources {
		all.Go(func() {
			e.pollUntilSynced(ctx, func(ctx context.Context) bool { return e.fetchListFromSource(ctx, i) })
		})
	}
	all.Go(func() { e.pollUntilSynced(ctx, e.loadListFromStore) })
	select {
	case <-e.quarantine.SyncDone():
		e.recompile() // the start may have waited for the list
	case <-ctx.Done():
	}
	cancel()
	all.Wait()
}

// syncSources is the number of instances that a starting instance requests the list from at a time.
const syncSources = 2

// pollUntilSynced calls fetch until the list is known or the context ends. Fetch reports whether a
// request was made and failed, which doubles the pause; it is false if there was no instance to send it
// to.
func (e *Edge) pollUntilSynced(ctx context.Context, fetch func(context.Context) bool) {
	pause := minListPause
	for !e.quarantine.Synced() && ctx.Err() == nil {
		if fetch(ctx) {
			pause = min(2*pause, maxListPause)
		}
		select {
		case <-e.quarantine.SyncDone():
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// fetchListFromSource requests the list from the i-th of the instances that provide the tables.
func (e *Edge) fetchListFromSource(ctx context.Context, i int) bool {
	sources := e.members.Sources()
	if i >= len(sources) {
		return false
	}
	err := e.fetchList(ctx, sources[i].Peer)
	return err != nil && ctx.Err() == nil
}

// loadListFromStore reads the rows of the store, if this instance is a relay.
func (e *Edge) loadListFromStore(ctx context.Context) bool {
	if !e.peers.Relay() {
		return false
	}
	return e.storeCall(ctx, e.loadQuarantine) != nil
}

// mustAwaitQuarantine reports whether a starting instance still has to wait for the list of
// requests to refuse. The caller holds compileMu.
func (e *Edge) mustAwaitQuarantine() bool {
	if e.settings.First || e.quarantine.Synced() {
		return false
	}
	left := maxSyncWait - e.uptime()
	if left <= 0 {
		return false
	}
	if e.quarantineTimer == nil {
		e.quarantineTimer = time.AfterFunc(left, e.recompile)
	}
	return true
}

// fetchList requests the list from the instance at an address, and merges it.
func (e *Edge) fetchList(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, maxListWait+peerAckTimeout)
	defer cancel()
	reply, err := e.peers.Query(ctx, address, pathQuarantine)
	if err != nil {
		return err
	}
	return e.quarantine.MergeReply(reply, address)
}

// listFetch records whether a list is being requested.
type listFetch struct{ running atomic.Bool }

// refreshList requests the list of an instance whose entries differ, unless a list is being
// requested or was within minListInterval.
func (e *Edge) refreshList(address string) {
	if !e.listFetch.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.listFetch.running.Store(false)
		if err := e.fetchList(context.Background(), address); err != nil {
			e.log.Info().Err(err).Str("from", address).Msg("quarantine-not-told")
		}
		time.Sleep(minListInterval)
	}()
}

// serveList sends the list to another instance, once this one is synced or after maxListWait.
func (e *Edge) serveList(w http.ResponseWriter, r *http.Request) {
	select {
	case <-e.quarantine.SyncDone():
	case <-r.Context().Done():
	case <-time.After(maxListWait):
	}
	reply, err := e.quarantine.EncodeReply()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(reply) // the other instance requests it again
}

// entryView is the representation of an entry for operators.
type entryView struct {
	Request     string    `json:"request"`
	Service     string    `json:"service"`
	Path        string    `json:"path"`
	Crashes     int       `json:"crashes"`
	At          time.Time `json:"at"`
	Quarantined bool      `json:"quarantined"`
	// Refused is false for a request that operators have released.
	Refused bool `json:"refused"`
}

// serveQuarantine sends the list to operators.
func (e *Edge) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	out := []entryView{}
	for _, x := range e.quarantine.Entries() {
		out = append(out, entryView{
			Request: x.Request.String(), Service: x.Service, Path: x.Path, Crashes: x.Crashes,
			At: time.UnixMilli(x.At).UTC(), Quarantined: x.Quarantined(), Refused: e.quarantine.Refuses(x.Request),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // an error means that the reader has disconnected
}

// applyReleased installs the list of requests that operators have released.
func (e *Edge) applyReleased(c *version.Config) { e.quarantine.SetReleased(c.ReleasedFingerprints) }
