// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"shalewick/clock"
	"shalewick/process/admin"
	"shalewick/process/auth"
	"shalewick/process/config"
	"shalewick/process/front"
	"shalewick/process/health"
	"shalewick/process/logging"
	"shalewick/process/member"
	"shalewick/process/metric"
	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/process/slots"
	"shalewick/process/steer"
	"shalewick/process/ticket"
	"shalewick/version"
)

// Entry is one running instance.
type Entry struct {
	settings Settings
	log      zerolog.Logger
	started  time.Time

	platform   platform.Platform
	members    *member.Registry
	store      *config.Store
	changes    *config.Log
	slots      *slots.Table
	health     *health.Table
	steer      *steer.Steerer
	ledger     *ticket.Ledger
	metrics    *metric.Set
	front      *front.Front
	routes     *routes
	peers      *peerConns
	splitter   splitter
	workspaces *auth.Workspaces // nil: operators carry no token
	identity   *auth.Identity   // nil: instances have no certificate

	short  chan struct{} // a request lacks a token
	push   chan struct{} // there is something new to tell all peers
	split  chan struct{} // there may be tokens without a home
	synced chan struct{} // closed once a version is in force and confirmed
	once   sync.Once

	servers     []*http.Server
	frontServer *http.Server // one of servers
	grpc        *grpc.Server
	cancel      context.CancelFunc
	loops       sync.WaitGroup
	probes      *http.Client
}

// Start checks the settings, opens the listeners and starts the loops. It
// returns once the entry serves; requests are refused until it has a version.
func Start(s Settings, logTo io.Writer) (*Entry, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Trace(err)
	}
	metrics := metric.NewSet()
	e := &Entry{
		settings: s,
		log:      logging.New(logTo).Level(level).With().Str("instance", s.Instance).Logger(),
		started:  time.Now(),
		platform: platform.NewClient(s.Platform),
		metrics:  metrics,
		peers:    newPeerConns(metrics),
		short:    make(chan struct{}, 1),
		push:     make(chan struct{}, 1),
		split:    make(chan struct{}, 1),
		synced:   make(chan struct{}),
		probes:   &http.Client{Timeout: probeTimeout},
	}
	e.assemble()
	if err := e.openCredentials(); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	for _, loop := range []func(context.Context){
		e.exchangeLoop, e.pushLoop, e.platformLoop, e.splitLoop, e.balanceLoop, e.probeLoop, e.tickLoop,
	} {
		e.loops.Go(func() { loop(ctx) })
	}
	e.log.Info().Str("id", e.members.Self().GetId()).Str("front", s.Front).
		Str("peer", s.Peer).Str("admin", s.Admin).Str("hall", s.Hall).Msg("started")
	return e, nil
}

// now is the process's clock. It goes on while the process is stopped.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// assemble makes the parts and ties them together.
func (e *Entry) assemble() {
	s := e.settings
	id := s.Instance + "." + strings.ToLower(rand.Text()[:8])
	e.members = member.NewRegistry(&peer.Member{
		Id: id, Instance: s.Instance, Hall: s.Hall, Front: s.Front, Peer: s.Peer,
	})
	e.health = &health.Table{OnLeaving: e.onLeaving}
	e.slots = &slots.Table{Self: id, OnFree: func(int32) { e.steer.Wake() }, AwaitResponse: e.health.AwaitResponse}
	e.steer = &steer.Steerer{
		Now: e.now, Slots: e.slots, Health: e.health, Region: e.region,
		OnShortage: func() { poke(e.short) },
	}
	e.store = &config.Store{Now: e.now, OnInstall: e.onInstall}
	e.changes = &config.Log{Platform: e.platform, Store: e.store}
	e.ledger = ticket.NewLedger(id, e.now)
	e.front = &front.Front{
		Steer: e.steer, Ledger: e.ledger, Members: e.members,
		Metrics: e.metrics, Log: e.log, Now: e.now,
	}
	e.routes = newRoutes(e)
}

// openCredentials reads the files that operators and instances prove with who
// they are.
func (e *Entry) openCredentials() (err error) {
	if e.settings.WorkspaceTokens != "" {
		if e.workspaces, err = auth.Open(e.settings.WorkspaceTokens); err != nil {
			return errors.Annotate(err, "--workspace-tokens")
		}
	}
	if e.settings.Cert != "" {
		e.identity, err = auth.OpenIdentity(e.settings.Cert, e.settings.Key, e.settings.Authority)
		if err != nil {
			return errors.Annotate(err, "--cert, --key, --authority")
		}
		e.peers.identity = e.identity
	}
	if !e.settings.secure() {
		e.log.Warn().Str("reason", "no --workspace-tokens or no --cert").Msg("loopback-only")
	}
	return nil
}

// region returns the own region in a view.
func (e *Entry) region(v *version.View) int32 {
	if h := v.Hall(e.settings.Hall); h != version.None {
		return v.Halls[h].Region
	}
	return version.None
}

func (e *Entry) onInstall(c *version.Config, v *version.View) {
	e.steer.Install(v)
	e.routes.install(c)
	e.log.Info().Int64("version", v.Seq).Msg("in-force")
	poke(e.push)
	poke(e.split)
}

func (e *Entry) onLeaving(l health.Leaving) {
	e.log.Info().Str("backend", l.Backend).Str("boot", l.Boot).Msg("backend-leaving")
	poke(e.push)
}

// poke wakes a loop; one wake is enough for many pokes.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// confirm notes that the version and the split in force were confirmed by
// somebody who was asked at a time.
func (e *Entry) confirm(asked time.Duration) {
	if _, _, ok := e.store.InForce(); !ok {
		return
	}
	e.steer.Confirm(asked)
	e.once.Do(func() { close(e.synced) })
}

// Ready reports whether the entry serves.
func (e *Entry) Ready() bool {
	select {
	case <-e.synced:
		return e.steer.ConfigFresh()
	default:
		return false
	}
}

const (
	tickTime   = 50 * time.Millisecond
	tickSoon   = 10 * time.Millisecond // while rate tokens rest
	healthTime = 100 * time.Millisecond
	decayTime  = time.Second
	purgeTime  = time.Minute
)

// tickLoop moves on what waits for time.
func (e *Entry) tickLoop(ctx context.Context) {
	var health, decay, purge time.Duration
	for ctx.Err() == nil {
		now := e.now()
		wait := tickTime
		if e.slots.Tick(now) {
			wait = tickSoon
		}
		if now-health >= healthTime {
			health = now
			e.health.Tick(now)
			e.routes.refresh()
		}
		if now-decay >= decayTime {
			decay = now
			e.slots.Decay()
		}
		if now-purge >= purgeTime {
			purge = now
			e.ledger.Purge()
		}
		clock.Sleep(ctx, wait)
	}
}

// every calls f at once and then at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// adminServer returns the handler for operators.
func (e *Entry) adminServer() (http.Handler, error) {
	a := &admin.Admin{
		Log:        e.changes,
		Store:      e.store,
		Logger:     e.log,
		Metrics:    e.metrics,
		Status:     e.allStatus,
		Ready:      e.Ready,
		Workspaces: e.workspaces,
	}
	return a.Handler()
}
