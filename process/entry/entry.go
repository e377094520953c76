// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"shalewick/clock"
	"shalewick/conn"
	"shalewick/process/admin"
	"shalewick/process/auth"
	"shalewick/process/config"
	"shalewick/process/drain"
	"shalewick/process/front"
	"shalewick/process/health"
	"shalewick/process/logging"
	"shalewick/process/member"
	"shalewick/process/metric"
	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/process/ratelimit"
	"shalewick/process/slots"
	"shalewick/process/startup"
	"shalewick/process/state"
	"shalewick/process/steer"
	"shalewick/process/ticket"
	"shalewick/version"
)

// Entry is one running instance.
type Entry struct {
	settings Settings
	log      zerolog.Logger
	started  time.Time

	platform platform.Platform
	members  *member.Registry
	store    *config.Store
	changes  *config.Log
	slots    *slots.Table
	health   *health.Table
	steer    *steer.Steerer
	limits   *ratelimit.Limiter
	owners   atomic.Pointer[limitOwners]
	ledger   *ticket.Ledger
	metrics  *metric.Set
	front    *front.Front
	routes   *routes
	peers    *peerConns
	splitter splitter
	skipped  skippedRows
	authFiles

	tokenShortage chan struct{} // signalled when a request waits for a token
	pushNeeded    chan struct{} // signalled when there is an update for all peers
	splitNeeded   chan struct{} // signalled when there may be tokens without an owner
	synced        chan struct{} // closed once a version is in force and confirmed
	syncedOnce    sync.Once

	rowMu sync.Mutex // held while the own member's row is written or deleted

	servers     []*http.Server
	frontServer *http.Server // one of servers
	frontConns  drain.Conns  // of frontServer
	frontQueue  *drain.Queue
	stop        *drain.Stop
	grpc        *grpc.Server
	cancel      context.CancelFunc
	loops       sync.WaitGroup
	probeClient *http.Client
}

// Start is StartContext without a context.
func Start(s Settings, logTo io.Writer) (*Entry, error) {
	return StartContext(context.Background(), s, logTo)
}

// StartContext validates the settings, reads the credentials, opens the listeners
// and starts the background loops. When it returns, the entry serves; it refuses
// requests until it has a configuration version. The context ends the waits of
// the start only, which are limited by Settings.StartTimeout.
func StartContext(ctx context.Context, s Settings, logTo io.Writer) (*Entry, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Trace(err)
	}
	metrics := metric.NewSet()
	metrics.LogWriter(logTo)
	e := &Entry{
		settings:      s,
		log:           logging.New(logTo).Level(level).With().Str("instance", s.Instance).Logger(),
		started:       time.Now(),
		platform:      platform.NewClient(s.Platform),
		metrics:       metrics,
		peers:         newPeerConns(metrics),
		tokenShortage: make(chan struct{}, 1),
		pushNeeded:    make(chan struct{}, 1),
		splitNeeded:   make(chan struct{}, 1),
		synced:        make(chan struct{}),
		probeClient:   conn.NewProbeClient(probeTimeout),
	}
	e.initComponents()
	retrier := startup.Retrier{Timeout: s.StartTimeout, Log: e.log}
	if err := e.loadCredentials(ctx, retrier); err != nil {
		return nil, err
	}
	if err := e.listen(ctx, retrier); err != nil {
		return nil, err
	}
	loops, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	for _, loop := range []func(context.Context){
		e.limitLoop, e.exchangeLoop, e.pushLoop, e.platformLoop, e.splitLoop, e.borrowLoop, e.probeLoop, e.tickLoop, e.routes.table.WatchLinks,
	} {
		e.loops.Go(func() { loop(loops) })
	}
	e.log.Info().Str("id", e.members.Self().GetId()).Str("front", s.Front).
		Str("peer", s.Peer).Str("admin", s.Admin).Str("hall", s.Hall).Msg("started")
	return e, nil
}

// now returns the monotonic time since the start of the process. It also
// advances while the process is suspended.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// initComponents creates the components and connects them.
func (e *Entry) initComponents() {
	s := e.settings
	id := s.Instance + "." + strings.ToLower(rand.Text()[:8])
	e.members = member.NewRegistry(&peer.Member{
		Id: id, Instance: s.Instance, Hall: s.Hall, Front: s.Front, Peer: s.Peer,
	})
	e.health = &health.Table{OnLeaving: e.onLeaving}
	e.slots = &slots.Table{Self: id, OnFree: func(int32) { e.steer.Wake() }, AwaitResponse: e.health.AwaitResponse}
	e.limits = e.newLimits()
	e.steer = &steer.Steerer{
		Now: e.now, Slots: e.slots, Health: e.health, Region: e.region, Limits: e.limits,
		OnShortage: func() { notify(e.tokenShortage) },
	}
	e.store = &config.Store{Now: e.now, OnInstall: e.onInstall}
	e.skipped.log, e.skipped.metrics = e.log, e.metrics
	e.changes = &config.Log{
		Platform: e.platform, Store: e.store,
		OnUnreadable: func(err *state.RowError) { e.skipped.report(tableConfig, err) },
	}
	e.ledger = ticket.NewLedger(id, e.now)
	e.stop = &drain.Stop{Log: e.log, Metrics: e.metrics, InFlight: e.inFlight, Callers: &e.frontConns}
	e.front = &front.Front{
		PlannedStop: e.stop,
		Steer:       e.steer, Ledger: e.ledger, Members: e.members,
		Metrics: e.metrics, Log: e.log, Now: e.now,
	}
	e.routes = newRoutes(e)
	e.front.Forward = e.routes.proxy.Forward
}

// authFiles authenticate operators and instances.
type authFiles struct {
	workspaces *auth.Workspaces // nil: operators are not authenticated
	identity   *auth.Identity   // nil: connections between instances don't use TLS
}

// readCredentials reads the files that authenticate operators and instances.
func (s *Settings) readCredentials() (f authFiles, err error) {
	if s.WorkspaceTokens != "" {
		if f.workspaces, err = auth.OpenWorkspaces(s.WorkspaceTokens); err != nil {
			return f, errors.Annotate(err, "--workspace-tokens")
		}
	}
	if s.Cert != "" {
		if f.identity, err = auth.OpenIdentity(s.Cert, s.Key, s.Authority); err != nil {
			return f, errors.Annotate(err, "--cert, --key, --authority")
		}
	}
	return f, nil
}

// loadCredentials reads the credentials. An error can't tell files that are being replaced from wrong ones, so they are read again.
func (e *Entry) loadCredentials(ctx context.Context, retrier startup.Retrier) error {
	always := func(error) bool { return true }
	files, err := startup.Retry(ctx, retrier, "credentials", always, e.settings.readCredentials)
	if err != nil {
		return err
	}
	e.authFiles = files
	e.peers.identity = files.identity
	if !e.settings.authenticated() {
		e.log.Warn().Str("reason", "no --workspace-tokens or no --cert").Msg("loopback-only")
	}
	return nil
}

// region returns the index of the instance's region in a view.
func (e *Entry) region(v *version.View) int32 {
	if h := v.Hall(e.settings.Hall); h != version.None {
		return v.Halls[h].Region
	}
	return version.None
}

// onInstall puts a new version of the configuration into effect.
func (e *Entry) onInstall(c *version.Config, v *version.View) {
	e.steer.Install(v)
	e.routes.install(c)
	e.log.Info().Int64("version", v.Seq).Msg("in-force")
	notify(e.pushNeeded)
	notify(e.splitNeeded)
}

// onLeaving announces a leaving backend server to all peers.
func (e *Entry) onLeaving(l health.Leaving) {
	e.log.Info().Str("backend", l.Backend).Str("boot", l.Boot).Msg("backend-leaving")
	notify(e.pushNeeded)
}

// notify wakes the loop that receives from c. Several notifications before the
// loop runs wake it once.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// confirm records that the version and the token split in force were confirmed
// by the response to a request that was sent at sentAt.
func (e *Entry) confirm(sentAt time.Duration) {
	if _, _, ok := e.store.InForce(); !ok {
		return
	}
	e.steer.Confirm(sentAt)
	e.syncedOnce.Do(func() { close(e.synced) })
}

// Ready reports whether the entry has a version that was confirmed recently.
func (e *Entry) Ready() bool {
	select {
	case <-e.synced:
		return e.steer.ConfigFresh()
	default:
		return false
	}
}

const (
	tickInterval      = 50 * time.Millisecond
	shortTickInterval = 10 * time.Millisecond // while rate tokens wait to become free
	healthInterval    = 100 * time.Millisecond
	decayInterval     = time.Second
	purgeInterval     = time.Minute
)

// tickLoop runs the periodic work of slots, health, routes and tickets.
func (e *Entry) tickLoop(ctx context.Context) {
	var lastHealth, lastDecay, lastPurge time.Duration
	for ctx.Err() == nil {
		now := e.now()
		wait := tickInterval
		if e.slots.Tick(now) {
			wait = shortTickInterval
		}
		if now-lastHealth >= healthInterval {
			lastHealth = now
			e.health.Tick(now)
			e.routes.refresh()
		}
		if now-lastDecay >= decayInterval {
			lastDecay = now
			e.slots.Decay()
		}
		if now-lastPurge >= purgeInterval {
			lastPurge = now
			e.ledger.Purge()
		}
		due := e.now() + wait
		clock.Sleep(ctx, wait)
		e.metrics.SchedulingDelay(max(0, e.now()-due))
	}
}

// runPeriodically calls f immediately and then once per interval until the
// context is done.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
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

// adminHandler returns the HTTP handler of the operators' API.
func (e *Entry) adminHandler() (http.Handler, error) {
	a := &admin.Admin{
		Log:        e.changes,
		Store:      e.store,
		Logger:     e.log,
		Metrics:    e.metrics,
		Status:     e.collectStatus,
		Ready:      e.Ready,
		Workspaces: e.workspaces,
	}
	return a.Handler()
}
