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
	// pathQuarantine is where an instance asks another one for its list, and
	// pathQuarantineView where operators read it.
	pathQuarantine     = "/peer/quarantine"
	pathQuarantineView = "/v1/quarantine"
	// learnWait is how long an instance that starts waits for the list before it serves
	// without: others tell it within a few round trips, and a relay reads it within one.
	maxSyncWait = time.Second
	// learnLeast and learnMost bound the pause between two questions for the list, which
	// doubles.
	minListPause = 20 * time.Millisecond
	maxListPause = time.Second
	// listHold is how long an instance holds a question for the list that it awaits itself.
	maxListWait = time.Second
	// listPause is the least time between two questions for the list of one that differs,
	// so that news that reaches all in one round trip is seldom asked for.
	minListInterval = 300 * time.Millisecond
)

// newQuarantine returns the quarantine of requests, made together with the other instances.
func (e *Edge) newQuarantine() *quarantine.Quarantine {
	q := quarantine.New()
	q.Now, q.Owners, q.Log = e.now, e.quarantineOwners, e.log
	q.Send, q.SendAll = e.heartbeats.SendMessage, e.heartbeats.SendMessageToAll
	e.heartbeats.Digest, e.heartbeats.Differs = q.Digest, e.refreshList
	return q
}

// backendCrashed writes that a backend server has ended, and which requests were in flight
// there from this instance, and counts it against them.
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

// quarantineOwners returns who counts the crashes of a service, over all regions and within
// the own one.
func (e *Edge) quarantineOwners(service string) (owner, regional quarantine.Owner) {
	number := xxhash.Sum64String(service)
	return e.quarantineOwner(e.members.OwnerIn("", number)), e.quarantineOwner(e.members.OwnerIn(e.settings.Region, number))
}

func (e *Edge) quarantineOwner(m cluster.Member) quarantine.Owner {
	if m.Name == e.settings.Instance || m.Name == "" {
		return quarantine.Owner{Name: e.settings.Instance}
	}
	return quarantine.Owner{Name: m.Name, Address: m.Peer}
}

// tickQuarantine sends and decides what is due, until the context ends.
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

// learnQuarantine learns what others know when this instance starts, from them or, if it
// reads the store for others, from there: whoever tells it first, as with the tables.
func (e *Edge) syncQuarantine(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for i := range syncSources {
		all.Go(func() {
			e.pollUntilSynced(ctx, func(ctx context.Context) bool { return e.fetchListFromSource(ctx, i) })
		})
	}
	all.Go(func() { e.pollUntilSynced(ctx, e.loadListFromRelay) })
	select {
	case <-e.quarantine.SyncDone():
		e.recompile() // the start may have waited for it
	case <-ctx.Done():
	}
	cancel()
	all.Wait()
}

// learnSources is the number of instances that are asked for the list at a time at a start.
const syncSources = 2

// learnFrom asks until the list is known, or the context ends. Ask returns false if there was
// nobody to ask.
func (e *Edge) pollUntilSynced(ctx context.Context, ask func(context.Context) bool) {
	pause := minListPause
	for !e.quarantine.Synced() && ctx.Err() == nil {
		if ask(ctx) {
			pause = min(2*pause, maxListPause)
		}
		select {
		case <-e.quarantine.SyncDone():
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// askSource asks the i-th of the instances that this one learns the tables from.
func (e *Edge) fetchListFromSource(ctx context.Context, i int) bool {
	sources := e.members.Sources()
	if i >= len(sources) {
		return false
	}
	err := e.fetchList(ctx, sources[i].Peer)
	return err != nil && ctx.Err() == nil
}

// askStore reads the rows, if this instance reads the store for others.
func (e *Edge) loadListFromRelay(ctx context.Context) bool {
	if !e.peers.Relay() {
		return false
	}
	return e.storeCall(ctx, e.loadQuarantine) != nil
}

// awaitsQuarantine reports whether an instance that starts has to learn first which requests
// to refuse. The caller holds compiling.
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

// fetchList asks the instance at an address for its list.
func (e *Edge) fetchList(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, maxListWait+peerAckTimeout)
	defer cancel()
	text, err := e.peers.Ask(ctx, address, pathQuarantine)
	if err != nil {
		return err
	}
	return e.quarantine.MergeReply(text, address)
}

// asking says whether a list is being asked for.
type listFetch struct{ running atomic.Bool }

// askList asks an instance that knows other entries for its list, unless one was asked a
// moment ago.
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

// serveList answers another instance, once this one knows the list itself, or after listHold.
func (e *Edge) serveList(w http.ResponseWriter, r *http.Request) {
	select {
	case <-e.quarantine.SyncDone():
	case <-r.Context().Done():
	case <-time.After(maxListWait):
	}
	text, err := e.quarantine.EncodeReply()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text) // the other instance asks again
}

// viewed is an entry as operators read it.
type entryView struct {
	Request     string    `json:"request"`
	Service     string    `json:"service"`
	Path        string    `json:"path"`
	Crashes     int       `json:"crashes"`
	At          time.Time `json:"at"`
	Quarantined bool      `json:"quarantined"`
	// Refused is false for a request that operators let through.
	Refused bool `json:"refused"`
}

// serveQuarantine shows operators the list.
func (e *Edge) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	out := []entryView{}
	for _, x := range e.quarantine.Entries() {
		out = append(out, entryView{
			Request: x.Request.String(), Service: x.Service, Path: x.Path, Crashes: x.Crashes,
			At: time.UnixMilli(x.At).UTC(), Quarantined: x.Quarantined(), Refused: e.quarantine.Refuses(x.Request),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // a reader that is gone needs no list
}

// letThrough takes up which requests operators let through.
func (e *Edge) applyLetThrough(c *version.Config) { e.quarantine.LetThrough(c.LetThrough) }
