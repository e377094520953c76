// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"shalewick/process/balance"
	"shalewick/process/crash"
	"shalewick/process/drain"
	"shalewick/process/forward"
	"shalewick/process/held"
	"shalewick/process/logging"
	"shalewick/process/metric"
	"shalewick/process/quarantine"
	"shalewick/process/quota"
	"shalewick/process/ratelimit"
	"shalewick/process/rollout"
	"shalewick/process/upload"
	"shalewick/request"
	"shalewick/retry"
	"shalewick/version"
)

// Proxy is the http.Handler that serves callers. The exported fields must be set before use.
type Proxy struct {
	Names       request.Names
	Table       *balance.Table
	RetryBudget *retry.Window
	// Quota, if set, enforces the rates of workspaces.
	Quota *quota.Quota
	// Limits, if set, enforces the rate limits that backend servers report. Table uses the same
	// limiter.
	Limits *ratelimit.Limiter
	// Rollouts, if set, decides which requests go to the target of a rollout.
	Rollouts *rollout.Controller
	// Crashes, if set, receives reports of requests that were lost at backend servers.
	Crashes *crash.Detector
	// Quarantine, if set, identifies requests that crash the backend servers that run them.
	Quarantine *quarantine.Quarantine
	// Forward, if set, chooses the instances that requests are forwarded to which this one can't serve
	// since it reaches no backend server that may get them.
	Forward *forward.Targets
	// CallersReachPeers is set if callers can reach the address for forwarded requests as well. Such
	// a request is then treated as any other, but for being forwarded again.
	CallersReachPeers bool
	// Memory, if set, bounds the memory that buffered requests and responses take.
	Memory  *held.Budget
	Metrics *metric.Set
	Log     zerolog.Logger
	Now     func() time.Duration
	// ConfigFresh, if set, reports whether the configuration in force is recent enough to be used.
	// If it is not, requests are refused.
	ConfigFresh func() bool
	// NewID, if set, generates an id for requests that carry none.
	NewID func() string
	// OnResponse, if set, is called for each response of a backend server.
	OnResponse func(backend string, h http.Header, took time.Duration)
	// ConfigAge returns how long ago the configuration in force was last confirmed.
	ConfigAge func() time.Duration
	// PlannedStop, if set, logs the planned stop of the process.
	PlannedStop *drain.Stop

	beginRollout       beginRolloutFunc // replaces Rollouts in tests
	keepAlivesDisabled atomic.Bool
	stop               atomic.Pointer[plannedStop] // nil: none is planned
	calls              callSet
	inFlight           atomic.Int64
	bytesCarried       atomic.Int64
}

// DisableKeepAlives closes each caller's connection after its next response.
func (p *Proxy) DisableKeepAlives() { p.keepAlivesDisabled.Store(true) }

// plannedStop is a planned stop of the process.
type plannedStop struct {
	from time.Time // when requests begin to be rejected
	end  time.Time // when those in flight are cut
}

// StopAt announces that requests that are in flight at a time will be cut. From another time on, when callers can have
// learned of it, requests whose deadline is later than the end are rejected.
func (p *Proxy) StopAt(end, from time.Time) { p.stop.Store(&plannedStop{from: from, end: end}) }

// endsTooLate reports whether a request may be cut by a planned stop.
func (p *Proxy) endsTooLate(c *call) bool {
	s := p.stop.Load()
	return s != nil && !c.startedAt.Before(s.from) && c.deadline.After(s.end)
}

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int64 { return p.inFlight.Load() }

// typicalHeaderBytes is the typical size of the headers of a request and its response together.
const typicalHeaderBytes = 700

// BytesCarried returns the approximate number of bytes transferred over the instance's network
// link: the larger of what was received and what was sent. The two are nearly equal, since
// everything that is received is forwarded.
func (p *Proxy) BytesCarried() int64 { return p.bytesCarried.Load() }

// Size limits of what is buffered in memory, in bytes.
const (
	// maxBufferedBody is the largest request body that is buffered whole, which makes the request
	// retryable. Less is buffered when memory is short.
	maxBufferedBody = 1 << 20
	// maxBufferedResponse is the largest response that is buffered whole. Less is buffered when
	// memory is short.
	maxBufferedResponse = 1 << 20
)

// responseMargin is how long before its deadline a request gets its final response, so that the
// response arrives in time.
const responseMargin = 5 * time.Millisecond

// call is the state of one request.
type call struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
	// tracked is what a planned stop logs of the request.
	tracked drain.Request
	cancel  context.CancelFunc
	// forwarded is set if another instance forwarded the request, and forwardedTo holds the names of
	// those that this one forwarded it to.
	forwarded   *forwardedCall
	forwardedTo []string
	routing     *version.Routing
	route       *version.RouteView
	// workspace is the workspace of the caller's key, or nil.
	workspace      *version.WorkspaceView
	quotaTaken     bool           // a token was taken from the workspace's rate
	quotaRefusal   *quota.Refusal // why the quota refused the request; nil if it did not
	keysInUse      bool           // workspaces are configured, so callers authenticate with keys
	part           int            // index of the part of the route's split
	service        string
	version        int64 // sequence number of the configuration in use; zero if there is none
	deadline       time.Time
	callerDeadline bool // the deadline was set by the caller and is earlier than the route's timeout
	startedAt      time.Time
	// bootClock keeps running while the machine is suspended; startedOnBootClock is startedAt by
	// that clock.
	bootClock          func() time.Duration
	startedOnBootClock time.Duration
	bodyRead           bodyReadState
	lease              *held.Lease // accounts for the memory of the request and its response
	awaited            awaitedAttempt
	isCutOff           atomic.Bool          // the caller was cut off because it did not read
	framed             bool                 // the response has a length, and net/http sends it
	body               *upload.Body         // nil until it has been read
	fingerprint        request.Fingerprint  // zero until the body has been read
	noBackendReason    *balance.Explanation // the diagnosis of the last pick, if it found no backend server
	attempts           int                  // attempts of which at least one byte may have been sent
	possibleRuns       int                  // attempts that the backend server may have run
	notices            request.Notice       // the combined notices of the responses to its attempts
}

// ServeHTTP serves one request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.serveAndDrain(&call{w: w, r: r}) }

// serveAndDrain serves one request, and discards the part of its body that is not needed for the response.
func (p *Proxy) serveAndDrain(c *call) {
	defer logging.HandlerPanic(&p.Log, &c.id)
	upload.Respond(c.w, c.r)
	p.serve(c)
	if !c.framed || c.unread() == 0 {
		return
	}
	if http.NewResponseController(c.w).Flush() == nil {
		c.tracked.SetWritten()
	}
	kept := upload.Drain(c.w, c.r, c.deadline)
	p.Metrics.UnreadBody(c.service, kept)
	if !kept {
		panic(http.ErrAbortHandler)
	}
}

// unread returns how many bytes of the body have not been read from the caller, or -1 if that is unknown.
func (c *call) unread() int64 {
	if c.body == nil {
		return c.r.ContentLength
	}
	return c.body.Unread()
}

// serve serves one request.
func (p *Proxy) serve(c *call) {
	w, r := c.w, c.r
	p.inFlight.Add(1)
	p.bytesCarried.Add(typicalHeaderBytes)
	defer p.inFlight.Add(-1)
	if p.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	c.id, c.startedAt = r.Header.Get(p.Names.ID), time.Now()
	if c.id == "" && p.NewID != nil {
		c.id = p.NewID()
	}
	if c.id != "" {
		w.Header().Set(p.Names.ID, c.id)
	}
	c.tracked.Begin(r.Context(), c.id, c.startedAt)
	if res := p.classify(c); res != nil {
		p.writeResult(c, res)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.cancel = cancel
	if !c.tracked.SetAborter(c) {
		p.writeResult(c, notRun(request.Leaving, minRetryAfter))
		return
	}
	if res := p.admit(c, cancel); res != nil {
		p.writeResult(c, res)
		return
	}
	defer c.lease.End()
	p.calls.add(c, cancel)
	defer p.calls.remove(c)
	if res := p.takeQuota(ctx, c); res != nil {
		p.writeResult(c, res)
		return
	}
	c.part = p.choosePart(c)
	c.service = c.route.Split[c.part].Service
	c.tracked.SetService(&c.route.Split[c.part].Service, c.route.Class)
	if res := p.checkAvailable(c); res != nil {
		p.settleQuota(c)
		p.writeResult(c, res)
		return
	}
	if res := p.readBody(c); res != nil {
		p.settleQuota(c)
		p.writeResult(c, res)
		return
	}
	defer c.body.Release()
	c.fingerprint = c.computeFingerprint()
	if res := p.checkQuarantine(c); res != nil {
		p.settleQuota(c)
		p.writeResult(c, res)
		return
	}
	resp, res := p.run(ctx, c)
	p.settleQuota(c)
	c.body.Release() // no further attempt will be made
	if res != nil {
		p.writeResult(c, res)
		return
	}
	p.relay(c, resp)
}

// classify determines the route and the deadline, or refuses the request.
func (p *Proxy) classify(c *call) *request.Result {
	routing := p.Table.Routing()
	if routing == nil {
		return notRun(request.NoVersion, time.Second)
	}
	c.routing, c.version = routing, routing.Seq
	if p.ConfigFresh != nil && !p.ConfigFresh() {
		return notRun(request.Unconfirmed, minRetryAfter)
	}
	c.route = routing.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return notRun(request.UnknownRoute, 0)
	}
	if res := p.authenticate(c, routing); res != nil {
		return res
	}
	c.route = routing.RestrictRoute(c.route, c.workspace)
	limits := routing.Limits
	if limits.MaxHeader > 0 && headerSize(c.r) > limits.MaxHeader {
		return notRun(request.HeaderTooLarge, 0)
	}
	if limits.MaxBody > 0 && c.r.ContentLength > limits.MaxBody {
		return notRun(request.TooLarge, 0)
	}
	if c.r.Header.Get("Upgrade") != "" || c.r.Method == http.MethodConnect {
		return notRun(request.BadRequest, 0)
	}
	c.bootClock, c.startedOnBootClock = p.Now, p.Now()-time.Since(c.startedAt)
	c.deadline = c.startedAt.Add(time.Duration(c.route.Timeout))
	if timeout, err := strconv.ParseInt(c.r.Header.Get(p.Names.Deadline), 10, 64); err == nil && timeout >= 0 {
		remaining := time.Duration(timeout) * time.Millisecond
		if deadline := c.startedAt.Add(remaining); deadline.Before(c.deadline) {
			c.deadline, c.callerDeadline = deadline, true
		}
	}
	c.deadline = c.deadline.Add(-responseMargin)
	if p.endsTooLate(c) {
		return notRun(request.Leaving, minRetryAfter)
	}
	return nil
}

func headerSize(r *http.Request) int64 {
	n := len(r.RequestURI) + len(r.Method) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return int64(n)
}

func notRun(code request.Code, retry time.Duration) *request.Result {
	r := request.NotRun(code, retry)
	return &r
}

// maxUncheckedBody is the size in bytes up to which a body is read without checkAvailable.
const maxUncheckedBody = 8 << 10

// checkAvailable refuses a request with a large body before the body is read, if no backend server
// would get it. Reading a body only to refuse the request costs more memory and processor time than
// the requests that can be served.
func (p *Proxy) checkAvailable(c *call) *request.Result {
	if c.r.ContentLength >= 0 && c.r.ContentLength <= maxUncheckedBody {
		return nil
	}
	refusal, unavailable := p.Table.Unavailable(p.newQuery(c))
	if p.Table.Links() == balance.LinksDown {
		refusal, unavailable = p.Table.RefuseUnreachable(), true
	}
	if !unavailable || reachesNone(&refusal) && p.canForward(c) {
		return nil
	}
	c.noBackendReason = &refusal.Explanation
	return notRun(refusal.Code, refusal.RetryAfter)
}

// newQuery returns the query for the backend server of a request.
func (p *Proxy) newQuery(c *call) *balance.Query {
	return &balance.Query{
		Route: c.route, Part: c.part, Priority: c.priority(), Object: p.objectHash(c),
		Left: c.timeLeft(), Elapsed: time.Since(c.startedAt),
	}
}

// readBody buffers up to maxBufferedBody bytes of the body, or fewer if memory is short.
func (p *Proxy) readBody(c *call) *request.Result {
	if c.r.ContentLength == 0 {
		c.body = upload.New(nil, nil, 0, nil)
		return nil
	}
	in := io.Reader(c.r.Body)
	if limit := c.routing.Limits.MaxBody; limit > 0 {
		in = http.MaxBytesReader(nil, c.r.Body, limit) // a writer would be accessed while it is in use
	}
	c.setBodyReadDeadline(time.Now().Add(c.timeLeft()))
	if c.tracked.Ended() {
		c.abortBodyRead()
	}
	data, whole, err := held.Read(c.lease, held.Bodies, callerBody{in, c.lease}, c.r.ContentLength, maxBufferedBody)
	if err != nil {
		c.w.Header().Set("Connection", "close")
		return bodyErrorResult(err)
	}
	c.setBodyReadDeadline(time.Time{})
	length, rest := int64(len(data)), io.Reader(nil)
	p.bytesCarried.Add(max(length, c.r.ContentLength))
	if !whole {
		length, rest = c.r.ContentLength, in
	}
	c.lease.Retain()
	c.body = upload.New(data, rest, length, func() {
		c.lease.Free(held.Bodies)
		c.lease.End()
	})
	return nil
}

// bodyErrorResult returns the result for a request whose body could not be read.
func bodyErrorResult(err error) *request.Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(request.TooLarge, 0)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRun(request.BodyLate, 0)
	}
	return notRun(request.CallerGone, 0)
}

// objectHash returns the hash of the object that a request concerns, or zero if it names none. The
// hash includes the service, since equal object names of two services are different objects.
func (p *Proxy) objectHash(c *call) uint64 {
	key := c.r.Header.Get(p.Names.Affinity)
	if key == "" {
		return 0
	}
	return xxhash.Sum64String(c.service + "\x00" + key)
}
