// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"shalewick/clock"
	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/cluster"
	"shalewick/process/crash"
	"shalewick/process/drain"
	"shalewick/process/held"
	"shalewick/process/logging"
	"shalewick/process/metric"
	"shalewick/process/proxy"
	"shalewick/process/quarantine"
	"shalewick/process/quota"
	"shalewick/process/ratelimit"
	"shalewick/process/rollout"
	"shalewick/process/rolloutview"
	"shalewick/process/startup"
	"shalewick/process/state"
	"shalewick/retry"
	"shalewick/version"
)

// Timeouts of connections.
const (
	dialTimeout        = 400 * time.Millisecond
	backendAckTimeout  = 700 * time.Millisecond
	peerAckTimeout     = time.Second
	backendIdleTimeout = 8 * time.Second
	clientIdleTimeout  = 60 * time.Second
	headerTimeout      = 10 * time.Second
	// requestReadTimeout is how long a planned stop waits for a request on a connection that was opened, or
	// on which a part of it has arrived.
	requestReadTimeout = time.Second
)

// drainNoticeDivisor divides Settings.DrainWithin: during the first part of that time, backend
// servers that announce in their responses that they are leaving may still get the requests that
// no other backend server can accept. The remainder is for requests that are already on their way to
// them, and for rows that arrive late.
const drainNoticeDivisor = 2

// bufferMemoryDivisor divides an instance's memory: the quotient may buffer requests and
// responses. The remainder is for what is known about the fleet, for connections without a request, and
// for garbage.
const bufferMemoryDivisor = 5

// headMemoryDivisor divides an instance's memory: the quotient may be taken by request heads that are being read.
const headMemoryDivisor = 8

// Edge is a running instance.
type Edge struct {
	settings        Settings
	deployment      Deployment
	log             zerolog.Logger
	logLimiter      *logging.RateLimiter
	startTime       time.Time
	startedAt       time.Duration // start time by the clock of the deployment
	members         *cluster.Members
	heartbeats      *cluster.Gossiper
	peers           *cluster.Peers
	follower        *state.Follower
	table           *balance.Table
	proxy           *proxy.Proxy
	quota           *quota.Quota
	limits          *ratelimit.Limiter
	rollouts        *rollout.Controller
	rolloutState    rolloutState
	schedulingDelay clock.SchedulingDelay // measured while a rollout is active
	quarantine      *quarantine.Quarantine
	// The entries that are known to be in the store, and whether a list is being fetched from
	// another instance.
	storedEntries storedEntries
	listFetch     listFetch
	position      cachedPosition
	memoryBudget  *held.Budget // nil: unlimited
	metrics       *metric.Set
	leaving       atomic.Bool
	stop          *drain.Stop
	// followsInstances is set if the fleet is so large that the table of instances is followed.
	followsInstances atomic.Bool
	spare            spare
	// rowLost signals to register that the store may have lost this instance's row.
	rowLost     chan struct{}
	compileMu   sync.Mutex
	documents   DocumentSelector // guarded by compileMu
	expiredRows expiredRows      // guarded by compileMu
	// lastAnnounced holds the backend servers of the last compilation, ordered by name; guarded
	// by compileMu.
	lastAnnounced []*version.AnnouncedBackend
	// misdirected holds the versions of the rows at whose addresses another server answers, by key; guarded
	// by compileMu.
	misdirected map[string]int64
	skipped     map[string]string // reasons of the rows that cannot be used at present, by key; guarded by compileMu
	// skippedInstances holds the errors of the rows of instances that can't be used, by key.
	skippedInstancesMu sync.Mutex
	skippedInstances   map[string]string
	// skippedCounts holds the numbers of such rows by reason; guarded by compileMu.
	skippedCounts map[string]int64
	// ownRows holds the names of the backend servers that rows announce at addresses of this instance.
	ownRows          atomic.Pointer[map[string]bool]
	expiredRowsTimer *time.Timer       // recompiles when expired rows are dropped; guarded by compileMu
	quarantineTimer  *time.Timer       // recompiles when the start has waited long enough for the quarantine; guarded by compileMu
	frontListener    *limitedListener  // for clients' requests
	frontConns       drain.Conns       // of clients with requests
	queryConns       drain.Conns       // of clients that query the directory, and of readiness checks
	peerConns        drain.Conns       // of other instances
	heads            *drain.HeadBudget // of all connections; nil: unlimited
	servers          []*http.Server
	cancel           context.CancelFunc
	leave            context.CancelFunc // ends the registration
	loops            sync.WaitGroup
}

// Start is StartContext without a context.
func Start(s Settings, d Deployment, logTo io.Writer) (*Edge, error) {
	return StartContext(context.Background(), s, d, logTo)
}

// StartContext starts an instance that writes its log to logTo. Until all its addresses can be listened on, for at most
// Settings.StartTimeout, nothing else is done: no other instance knows of this one, and it has no connection that could
// use one of the ports. The context ends this wait only.
func StartContext(ctx context.Context, s Settings, d Deployment, logTo io.Writer) (*Edge, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	level, _ := zerolog.ParseLevel(s.LogLevel) // validated by Check
	limit := logging.NewRateLimiter(time.Now)
	e := &Edge{
		settings: s, deployment: d, startTime: time.Now(), metrics: metric.NewSet(), logLimiter: limit, rowLost: make(chan struct{}, 1),
		log: logging.New(logTo).Level(level).Hook(limit).With().Str("instance", s.Instance).Logger(),
	}
	e.metrics.LogWriter(logTo)
	sockets, err := startup.Retrier{Timeout: s.StartTimeout, Log: e.log}.Listen(ctx, s.addresses())
	if err != nil {
		return nil, err
	}
	e.metrics.Gauge("start_wait_ms").Update(time.Since(e.startTime).Milliseconds())
	if e.deployment.Clock == nil {
		e.deployment.Clock = clock.Now
	}
	e.startedAt = e.deployment.Clock()
	e.members = cluster.NewMembers(cluster.Member{
		Name: s.Instance, Incarnation: e.startTime.UnixNano(), Front: s.Front, Peer: s.Peer, Hall: s.Hall, Region: s.Region,
		Link: s.Link, Cores: s.Cores,
	}, e.now)
	if s.First {
		e.members.SetInitialStart()
	}
	if e.heartbeats, err = cluster.NewGossiper(e.members, sockets.UDP[settingPeer]); err != nil {
		sockets.Close()
		return nil, err
	}
	e.build()
	e.serve(sockets.TCP)
	e.run()
	e.log.Info().Str("front", s.Front).Str("hall", s.Hall).Msg("started")
	return e, nil
}

// now is the clock for everything that expires or is evaluated by its age: tables, leases, quotas,
// liveness of instances, cold or suspended backend servers. Time in which the machine was suspended
// counts, so that all of it has aged accordingly afterwards.
func (e *Edge) now() time.Duration { return e.uptime() + time.Hour }

// uptime returns the time since the process was started, including time in which the machine was
// suspended.
func (e *Edge) uptime() time.Duration { return e.deployment.Clock() - e.startedAt }

// build creates and connects the components.
func (e *Edge) build() {
	e.peers = cluster.NewPeers(e.members, conn.NewDialer(dialTimeout, peerAckTimeout).DialContext)
	e.follower = &state.Follower{
		Store: e.deployment.Store, Peers: e.peers, Log: e.log, Now: e.now, Subscribed: e.subscribesTo, Instances: e.members.Count,
		Excluded: func(table string) bool { return table == e.deployment.BackendTable && e.isSpare() },
		Tables: map[string]*state.Table{
			e.deployment.OperatorTable: state.NewRetainingTable(state.Retention{Missing: operatorRowRetention, Reverted: operatorRowRetention}),
			e.deployment.BackendTable:  state.NewRetainingTable(state.Retention{Missing: keepExpired(e.settings.DrainWithin), Reverted: backendRowRetention}),
			e.deployment.RecordTable:   state.NewRetainingTable(state.Retention{}),
			e.deployment.InstanceTable: state.NewTable(),
		},
	}
	e.peers.Follower = e.follower
	e.peers.OnStoreUnreachable = e.reportStoreLost
	e.documents = DocumentSelector{Key: e.deployment.DocumentKey, Translate: e.deployment.Configuration}
	e.expiredRows.keepFor = keepExpired(e.settings.DrainWithin)
	dialer := conn.NewDialer(dialTimeout, backendAckTimeout)
	if e.settings.Source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: e.settings.Source.AsSlice()}
	}
	if e.deployment.BackendDialer != nil {
		dialer = e.deployment.BackendDialer(dialer)
	}
	e.limits = e.newLimits()
	e.table = &balance.Table{
		Limits: e.limits,
		Now:    e.now, MemberIndex: e.sharePosition, Region: e.settings.Region, Hall: e.settings.Hall, OnSuspend: e.logSuspension,
		OnMisdirected: func(backend string) { go e.recordMisdirected(backend) },
		OnLinks:       e.onLinks, OnNotice: e.logNotice, OnAvoid: e.logAvoided, LeavingGrace: e.settings.DrainWithin / drainNoticeDivisor,
		Probe: func(p *conn.Pool) error { return p.Open(context.Background()) },
		NewPool: func(address string) *conn.Pool {
			return &conn.Pool{Address: address, Dialer: dialer, IdleTimeout: backendIdleTimeout}
		},
	}
	e.heartbeats.Observations, e.heartbeats.OnObservations, e.heartbeats.RequestMembers = e.table.Observations, e.table.ApplyObservations, e.queryPeer
	e.quota = e.newQuota()
	e.rollouts = e.newRollouts()
	e.quarantine = e.newQuarantine()
	e.heartbeats.OnMessage = e.receiveMessage
	if e.settings.Memory > 0 {
		e.memoryBudget = &held.Budget{Limit: e.settings.Memory / bufferMemoryDivisor, Now: e.now, OnCutOff: e.logCutOff}
	}
	e.stop = &drain.Stop{
		Log: e.log, Metrics: e.metrics, InFlight: func() int64 { return e.proxy.InFlight() }, Callers: &e.frontConns, Others: &e.peerConns,
		Queries: &e.queryConns,
	}
	e.proxy = &proxy.Proxy{
		PlannedStop: e.stop,
		Quota:       e.quota, Limits: e.limits, Rollouts: e.rollouts, Quarantine: e.quarantine, Memory: e.memoryBudget, Forward: e.newForwardTargets(),
		Crashes: &crash.Detector{Now: e.now, OnCrash: e.onBackendCrash, LostToLinks: e.lostToLinks},
		Names:   e.deployment.Headers, Table: e.table, Metrics: e.metrics, Log: e.log, Now: e.now, ConfigAge: e.follower.Age,
		RetryBudget: &retry.Window{
			Span: e.settings.RetrySpan, Ratio: e.settings.RetryRatio * retryRatioShare,
			Fixed: e.settings.RetryFixed * retryFixedShare, Instances: e.members.Count,
		},
	}
	if e.settings.Memory > 0 {
		e.heads = &drain.HeadBudget{Limit: e.settings.Memory / headMemoryDivisor, Response: e.proxy.MemoryFullResponse(), Log: e.log, Metrics: e.metrics}
	}
	e.frontConns.Heads, e.queryConns.Heads, e.peerConns.Heads = e.heads, e.heads, e.heads
}

// serve serves the listeners, which are given by their settings.
func (e *Edge) serve(listeners map[string]*net.TCPListener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.deployment.ReadyPath, e.serveReadiness)
	mux.HandleFunc("GET "+e.deployment.DirectoryPath, e.serveDirectory)
	control := http.NewServeMux()
	control.Handle("/peer/", e.peers.Handler())
	control.HandleFunc("POST "+pathQuarantine, e.serveList)
	control.HandleFunc("GET "+pathQuarantineView, e.serveQuarantine)
	control.HandleFunc("GET /metrics", e.serveMetrics)
	control.Handle("GET "+rolloutview.Pattern, rolloutview.Handler(e.rolloutStatus))
	for _, x := range []struct {
		setting string
		handler http.Handler
		conns   *drain.Conns
	}{
		{settingFront, e.proxy, &e.frontConns}, {settingReady, mux, &e.queryConns}, {settingDirectory, mux, &e.queryConns},
		{settingControl, control, &e.peerConns}, {settingPeer, e.peerHandler(control), &e.peerConns},
	} {
		tcp := listeners[x.setting]
		s := &http.Server{
			Handler: e.rejectMisdirected(x.handler), IdleTimeout: clientIdleTimeout, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: drain.MaxRequestHeadBytes,
			ConnState: x.conns.OnStateChange, ConnContext: x.conns.ConnContext,
		}
		var l net.Listener = drain.Listener{TCPListener: tcp, Conns: x.conns}
		if x.conns == &e.frontConns {
			limiter := newAcceptLimiter()
			s.ConnState = func(c net.Conn, state http.ConnState) {
				x.conns.OnStateChange(c, state)
				limiter.onStateChange(c, state)
			}
			e.frontListener = &limitedListener{Queue: drain.NewQueue(tcp), limiter: limiter, conns: x.conns}
			l = e.frontListener
		}
		e.servers = append(e.servers, s)
		go func() { _ = s.Serve(l) }() // returns when the server is closed
	}
}

// run starts the background loops.
func (e *Edge) run() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	staying, leave := context.WithCancel(ctx)
	e.leave = leave
	e.loops.Go(func() { e.register(ctx, staying) })
	for _, loop := range []func(context.Context){
		e.follower.Run, e.heartbeats.Run, e.watchTables, e.followInstances, e.querySeeds, e.watchMembers, e.tickQuota, e.tickLimits, e.watchEpoch, e.watchUtilization,
		e.tickRollouts, e.writeSteps, e.probeUnresponsive, e.table.WatchLinks, e.tickQuarantine, e.syncQuarantine, e.persistQuarantine,
	} {
		e.loops.Go(func() { loop(ctx) })
	}
}

// updateGauges sets the metrics that are computed when they are read.
func (e *Edge) updateGauges() {
	if r := e.table.Routing(); r != nil {
		e.metrics.Gauge("version").Update(r.Seq)
		e.metrics.Gauge("backends").Update(int64(len(r.Backends)))
	}
	reach := e.table.Reachability()
	e.metrics.Gauge("backends_suspended").Update(int64(reach.Suspended))
	e.metrics.Gauge("links_lost_ms").Update(reach.Lost.Milliseconds())
	leaving, backedOff := e.table.Notices()
	e.metrics.Gauge("backends_leaving").Update(int64(leaving))
	e.metrics.Gauge("backends_backed_off").Update(int64(backedOff))
	e.updateLimitGauges()
	e.metrics.Gauge("datagrams_sent").Update(e.heartbeats.Sent())
	e.metrics.Gauge("spare").Update(0)
	if e.spare.active.Load() {
		e.metrics.Gauge("spare").Update(1)
	}
	e.metrics.Gauge("instances").Update(int64(e.members.Count()))
	e.metrics.Gauge("instances_ignored").Update(e.members.Ignored())
	for _, k := range []held.Kind{held.Requests, held.Bodies, held.Responses} {
		e.metrics.Gauge("held_bytes{kind=" + strconv.Quote(k.String()) + "}").Update(e.memoryBudget.Held(k))
	}
	e.metrics.Gauge("head_bytes").Update(e.heads.Held())
	e.metrics.Gauge("requests_running").Update(e.proxy.InFlight())
	e.metrics.Gauge("requests_quarantined").Update(int64(e.quarantine.Count()))
	e.metrics.Gauge("rollouts_running").Update(e.rolloutState.running.Load())
	e.metrics.Gauge("log_lines_left_out").Update(e.logLimiter.Suppressed())
	e.metrics.Gauge("store_epoch").Update(e.deployment.Store.Epoch())
	e.metrics.Gauge("configuration_age_ms").Update(e.follower.Age().Milliseconds())
}
