// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/clock"
	"shalewick/conn"
	"shalewick/process/balance"
	"shalewick/process/cluster"
	"shalewick/process/logging"
	"shalewick/process/metric"
	"shalewick/process/proxy"
	"shalewick/process/state"
	"shalewick/retry"
	"shalewick/version"
)

// Times of connections and of upkeep.
const (
	dialTimeout     = 400 * time.Millisecond
	upstreamSilence = 700 * time.Millisecond
	peerSilence     = time.Second
	upstreamIdle    = 8 * time.Second
	clientIdle      = 60 * time.Second
	headerTimeout   = 10 * time.Second
	writeTimeout    = 2 * time.Second
	rereadInstances = time.Minute
	firstPause      = 100 * time.Millisecond
	longestPause    = 2 * time.Second
	stopPoll        = 10 * time.Millisecond
	idleTime        = 150 * time.Millisecond
	loopTime        = 200 * time.Millisecond
)

// Edge is one running instance.
type Edge struct {
	settings   Settings
	deployment Deployment
	log        zerolog.Logger
	logLimit   *logging.Limit
	started    time.Time
	members    *cluster.Members
	beats      *cluster.Beats
	peers      *cluster.Peers
	follower   *state.Follower
	table      *balance.Table
	proxy      *proxy.Proxy
	metrics    *metric.Set
	leaving    atomic.Bool
	compiling  sync.Mutex
	lapses     lapses      // guarded by compiling
	lapseEnd   *time.Timer // compiles again when lapsed rows are given up; guarded by compiling
	front      *http.Server
	servers    []*http.Server
	cancel     context.CancelFunc
	loops      sync.WaitGroup
}

// Start starts an instance. Logs go to logTo.
func Start(s Settings, d Deployment, logTo io.Writer) (*Edge, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	level, _ := zerolog.ParseLevel(s.LogLevel) // checked
	limit := logging.NewLimit(time.Now)
	e := &Edge{
		settings: s, deployment: d, started: time.Now(), metrics: metric.NewSet(), logLimit: limit,
		log: logging.New(logTo).Level(level).Hook(limit).With().Str("instance", s.Instance).Logger(),
	}
	e.members = cluster.NewMembers(cluster.Member{
		Name: s.Instance, Incarnation: e.started.UnixNano(), Front: s.Front, Peer: s.Peer, Hall: s.Hall, Region: s.Region,
	}, e.now)
	var err error
	if e.beats, err = cluster.Listen(e.members); err != nil {
		return nil, err
	}
	e.build()
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.run()
	e.log.Info().Str("front", s.Front).Str("hall", s.Hall).Msg("started")
	return e, nil
}

func (e *Edge) now() time.Duration { return time.Since(e.started) + time.Hour }

// build makes the parts of the process.
func (e *Edge) build() {
	e.peers = cluster.NewPeers(e.members, conn.NewDialer(dialTimeout, peerSilence).DialContext)
	e.follower = &state.Follower{
		Store: e.deployment.Store, Peers: e.peers, Log: e.log, Now: e.now,
		Tables: map[string]*state.Table{
			e.deployment.OperatorTable: state.NewTable(), e.deployment.UpstreamTable: state.NewTable(),
		},
	}
	e.peers.Follower = e.follower
	e.peers.OnCut = e.storeLost
	e.lapses.keep = keepLapsed(e.settings.DrainWithin)
	dialer := conn.NewDialer(dialTimeout, upstreamSilence)
	e.table = &balance.Table{
		Now: e.now, Place: e.members.Place, Region: e.settings.Region, OnSuspend: e.logSuspension,
		NewPool: func(address string) *conn.Pool {
			return &conn.Pool{Address: address, Dialer: dialer, IdleTime: upstreamIdle}
		},
	}
	e.proxy = &proxy.Proxy{
		Names: e.deployment.Headers, Table: e.table, Metrics: e.metrics, Log: e.log, Now: e.now, Age: e.follower.Age,
		Retries: &retry.Window{
			Span: e.settings.RetrySpan, Ratio: e.settings.RetryRatio * retryRatioShare,
			Fixed: e.settings.RetryFixed * retryFixedShare, Instances: e.members.Count,
		},
	}
}

// listen opens the listeners and serves them.
func (e *Edge) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.deployment.ReadyPath, e.serveReady)
	mux.HandleFunc("GET "+e.deployment.DirectoryPath, e.serveDirectory)
	control := http.NewServeMux()
	control.Handle("/peer/", e.peers.Handler())
	control.HandleFunc("GET /metrics", e.serveMetrics)
	for _, x := range []struct {
		address string
		handler http.Handler
	}{
		{e.settings.Front, e.proxy}, {e.settings.Ready, mux}, {e.settings.Directory, mux},
		{e.settings.Control, control}, {e.settings.Peer, control},
	} {
		l, err := net.Listen("tcp4", x.address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", x.address)
		}
		s := &http.Server{Handler: x.handler, IdleTimeout: clientIdle, ReadHeaderTimeout: headerTimeout, ErrorLog: nil}
		if e.front == nil {
			e.front = s
		}
		e.servers = append(e.servers, s)
		go func() { _ = s.Serve(l) }() // ends when the server is closed
	}
	return nil
}

// run starts the loops.
func (e *Edge) run() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	for _, loop := range []func(context.Context){
		e.follower.Run, e.beats.Run, e.takeUp, e.introduce, e.askSeeds, e.watchMembers,
	} {
		e.loops.Go(func() { loop(ctx) })
	}
}

// takeUp compiles what the tables say whenever they change.
func (e *Edge) takeUp(ctx context.Context) {
	operator := e.follower.Tables[e.deployment.OperatorTable]
	upstreams := e.follower.Tables[e.deployment.UpstreamTable]
	for ctx.Err() == nil {
		operatorChanged, upstreamsChanged := operator.Changed(), upstreams.Changed()
		e.recompile()
		select {
		case <-operatorChanged:
		case <-upstreamsChanged:
		case <-ctx.Done():
		}
	}
}

// recompile puts in force what the tables say, once both are known.
func (e *Edge) recompile() {
	operator := e.follower.Tables[e.deployment.OperatorTable]
	upstreams := e.follower.Tables[e.deployment.UpstreamTable]
	_, operatorKnown := operator.Version()
	_, upstreamsKnown := upstreams.Version()
	if !operatorKnown || !upstreamsKnown {
		return
	}
	e.compiling.Lock()
	defer e.compiling.Unlock()
	now := e.now()
	present := upstreams.Rows()
	rows, again := e.lapses.rows(present, upstreams.Returned(), now)
	if len(rows) > len(present) {
		e.log.Info().Int("kept", len(rows)-len(present)).Dur("until", again-now).Msg("upstreams-lapsed")
	}
	e.compile(operator.Rows(), rows)
	if e.lapseEnd != nil {
		e.lapseEnd.Stop()
	}
	if again != 0 {
		e.lapseEnd = time.AfterFunc(again-now, e.recompile)
	}
}

// compile puts what the rows say in force. What can't be read leaves the last
// good version in force.
func (e *Edge) compile(operator, upstreams []state.Row) {
	c, problems := e.deployment.Configuration(operator, upstreams)
	for _, p := range problems {
		e.log.Warn().Err(p).Msg("row-skipped")
	}
	if c == nil {
		return
	}
	old := e.table.Routing()
	if old != nil && c.Seq < old.Seq {
		e.log.Warn().Int64("version", c.Seq).Int64("inForce", old.Seq).Msg("older-version-skipped")
		return
	}
	r := version.CompileRouting(c)
	e.table.Install(r)
	e.logUpstreams(old, r)
	if old == nil || old.Seq != r.Seq {
		e.log.Info().Int64("version", r.Seq).Int("upstreams", len(r.Upstreams)).Msg("version-in-force")
	}
}

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

// Reloaded is told when the adapter has read its settings again, or why it
// could not.
func (e *Edge) Reloaded(err error) {
	if err != nil {
		e.log.Warn().Err(err).Msg("settings-kept")
		return
	}
	e.log.Info().Msg("settings-reloaded")
	e.recompile()
}

// gauges sets the metrics that are read when asked for.
func (e *Edge) gauges() {
	if r := e.table.Routing(); r != nil {
		e.metrics.Gauge("version").Update(r.Seq)
		e.metrics.Gauge("upstreams").Update(int64(len(r.Upstreams)))
	}
	e.metrics.Gauge("instances").Update(int64(e.members.Count()))
	e.metrics.Gauge("requests_running").Update(e.proxy.Running())
	e.metrics.Gauge("log_lines_left_out").Update(e.logLimit.LeftOut())
	e.metrics.Gauge("configuration_age_ms").Update(e.follower.Age().Milliseconds())
}

// Stop ends the instance as planned.
func (e *Edge) Stop() {
	begun := time.Now()
	e.leaving.Store(true)
	e.members.Leave()
	e.proxy.Leave()
	e.beats.SendAll()
	e.log.Info().Int64("running", e.proxy.Running()).Msg("stopping")
	go e.deleteRow()
	time.Sleep(e.settings.linger())
	e.beats.SendAll()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(e.settings.grace()))
	defer cancel()
	go func() { _ = e.front.Shutdown(ctx) }() // what is in flight after the grace is cut off
	e.awaitIdle(ctx)
	ended := make(chan struct{})
	go func() {
		e.Kill()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(loopTime): // a call that does not end must not hold the process up
		e.log.Warn().Msg("loops-left")
	}
	e.log.Info().Int64("running", e.proxy.Running()).Dur("took", time.Since(begun)).Msg("stopped")
}

// awaitIdle waits until no request has been in flight for a moment, in which
// requests that were under way to a closing listener arrive.
func (e *Edge) awaitIdle(ctx context.Context) {
	idle := time.Duration(0)
	for idle < idleTime && ctx.Err() == nil {
		time.Sleep(stopPoll)
		idle += stopPoll
		if e.proxy.Running() > 0 {
			idle = 0
		}
	}
}

// Kill ends the instance at once.
func (e *Edge) Kill() {
	e.cancel()
	for _, s := range e.servers {
		_ = s.Close() // nothing more can be done about a failure
	}
	e.loops.Wait()
}

func (e *Edge) deleteRow() {
	err := e.storeCall(context.Background(), func(ctx context.Context) error {
		return e.deployment.Store.Delete(ctx, e.deployment.InstanceTable, e.settings.Instance)
	})
	if err != nil {
		e.log.Info().Err(err).Msg("row-not-deleted")
	}
}
