// SPDX-License-Identifier: MIT

package proxy

import (
	"bytes"
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
	"shalewick/process/held"
	"shalewick/process/metric"
	"shalewick/process/quarantine"
	"shalewick/process/quota"
	"shalewick/process/ratelimit"
	"shalewick/process/rollout"
	"shalewick/request"
	"shalewick/retry"
	"shalewick/version"
)

// Proxy is the http.Handler of callers. The fields are set before use.
type Proxy struct {
	Names   request.Names
	Table   *balance.Table
	Retries *retry.Window
	// Quota, if set, keeps workspaces within their rates.
	Quota *quota.Quota
	// Limits, if set, are the rate limits that backend servers name; those of the table.
	Limits *ratelimit.Limiter
	// Rollouts, if set, says which requests go to the target of a roll-out.
	Rollouts *rollout.Rollouts
	// Crashes, if set, is told of requests that were lost at backend servers.
	Crashes *crash.Watch
	// Quarantine, if set, says which requests crash what runs them.
	Quarantine *quarantine.Quarantine
	// Held, if set, bounds what is held of requests and answers.
	Held    *held.Budget
	Metrics *metric.Set
	Log     zerolog.Logger
	Now     func() time.Duration
	// Fresh, if set, reports whether the configuration in force may be acted
	// on; otherwise requests are refused.
	Fresh func() bool
	// NewID, if set, gives an id to requests that carry none.
	NewID func() string
	// OnAnswer, if set, is told of each answer of a backend server.
	OnAnswer func(backend string, h http.Header, took time.Duration)
	// Age returns how long ago the configuration in force was last confirmed.
	Age func() time.Duration

	begin   beginner // in place of Rollouts, for tests
	leaving atomic.Bool
	calls   calls
	running atomic.Int64
	carried atomic.Int64
}

// Leave makes each further answer the last one on its connection.
func (p *Proxy) Leave() { p.leaving.Store(true) }

// Running returns the number of requests in flight.
func (p *Proxy) Running() int64 { return p.running.Load() }

// headBytes is the usual size of the heads of a request and its answer.
const headBytes = 700

// Carried returns the bytes that went through the instance's link, about: the larger of
// what came in and what went out, which are nearly the same since all is passed on.
func (p *Proxy) Carried() int64 { return p.carried.Load() }

// Bounds of what is held in memory, in bytes.
const (
	// maxHeldBody is the size up to which a request's body is held whole if there is room, so
	// that it can be sent again.
	maxHeldBody = 1 << 20
	// maxHeldAnswer is the size up to which an answer is held whole if there is room.
	maxHeldAnswer = 1 << 20
)

// answerMargin is how long before its deadline a request is answered, so that
// the answer arrives in time.
const answerMargin = 5 * time.Millisecond

// call is one request on its way.
type call struct {
	w     http.ResponseWriter
	r     *http.Request
	id    string
	route *version.RouteView
	// workspace is that of the caller's key; nil: none.
	workspace *version.WorkspaceView
	counted   bool           // a token of its rate was taken
	overQuota *quota.Refusal // why no token was had; nil: one was
	keyed     bool           // there are workspaces, so that callers show keys
	service   string
	version   int64 // of the configuration that decided; zero: none
	deadline  time.Time
	own       bool // the deadline is the caller's, below the route's timeout
	began     time.Time
	// now is a clock that goes on while the machine is suspended, and begun is began by it.
	now      func() time.Duration
	begun    time.Duration
	reading  reading
	lease    *held.Lease // of what is held of it
	cut      atomic.Bool // its caller was cut off
	body     *body
	print    request.Fingerprint // zero: the body was not read
	why      *balance.Why        // what the last choice saw, if it found no backend server
	attempts int                 // of which a byte may have left
	runs     int                 // of them, those that may have run
	met      request.Notice      // what answers to its attempts asked for
}

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.running.Add(1)
	p.carried.Add(headBytes)
	defer p.running.Add(-1)
	if p.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{w: w, r: r, id: r.Header.Get(p.Names.ID), began: time.Now()}
	if c.id == "" && p.NewID != nil {
		c.id = p.NewID()
	}
	if c.id != "" {
		w.Header().Set(p.Names.ID, c.id)
	}
	if res := p.classify(c); res != nil {
		p.finish(c, res)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if res := p.admit(c, cancel); res != nil {
		p.finish(c, res)
		return
	}
	defer c.lease.End()
	p.calls.add(c, cancel)
	defer p.calls.remove(c)
	if res := p.takeQuota(ctx, c); res != nil {
		p.finish(c, res)
		return
	}
	if res := p.readBody(c); res != nil {
		p.settleQuota(c)
		p.finish(c, res)
		return
	}
	c.print = c.fingerprint()
	if res := p.quarantined(c); res != nil {
		p.settleQuota(c)
		p.finish(c, res)
		return
	}
	a, res := p.run(ctx, c)
	p.settleQuota(c)
	c.body = nil // no further attempt needs it
	c.lease.Free(held.Bodies)
	if res != nil {
		p.finish(c, res)
		return
	}
	p.relay(c, a)
}

// classify finds route and deadline, or a refusal.
func (p *Proxy) classify(c *call) *request.Result {
	routing := p.Table.Routing()
	if routing == nil {
		return refuse(request.NoVersion, time.Second)
	}
	c.version = routing.Seq
	if p.Fresh != nil && !p.Fresh() {
		return refuse(request.Unconfirmed, minRetry)
	}
	c.route = routing.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return refuse(request.UnknownRoute, 0)
	}
	if res := p.identify(c, routing); res != nil {
		return res
	}
	c.route = routing.RestrictRoute(c.route, c.workspace)
	l := routing.Limits
	if l.MaxHeader > 0 && headerSize(c.r) > l.MaxHeader {
		return refuse(request.HeaderTooLarge, 0)
	}
	if l.MaxBody > 0 && c.r.ContentLength > l.MaxBody {
		return refuse(request.TooLarge, 0)
	}
	if l.MaxBody > 0 {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, l.MaxBody)
	}
	if c.r.Header.Get("Upgrade") != "" || c.r.Method == http.MethodConnect {
		return refuse(request.BadRequest, 0)
	}
	c.now, c.begun = p.Now, p.Now()-time.Since(c.began)
	c.deadline = c.began.Add(time.Duration(c.route.Timeout))
	if ms, err := strconv.ParseInt(c.r.Header.Get(p.Names.Deadline), 10, 64); err == nil && ms >= 0 {
		left := time.Duration(ms) * time.Millisecond
		if d := c.began.Add(left); d.Before(c.deadline) {
			c.deadline, c.own = d, true
		}
	}
	c.deadline = c.deadline.Add(-answerMargin)
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

func refuse(code request.Code, retry time.Duration) *request.Result {
	r := request.NotRun(code, retry)
	return &r
}

// body is a request's body: whole, or a beginning and a rest.
type body struct {
	whole  []byte
	rest   io.Reader // nil when whole is all of it
	length int64     // -1 when not known
	used   bool      // rest was given to an attempt
}

// again reports whether the body can be sent once more.
func (b *body) again() bool { return b.rest == nil || !b.used }

// reader returns the body for one attempt.
func (b *body) reader() io.ReadCloser {
	if b.rest == nil && len(b.whole) == 0 {
		return http.NoBody
	}
	whole := bytes.NewReader(b.whole)
	if b.rest == nil {
		return io.NopCloser(whole)
	}
	b.used = true
	return io.NopCloser(io.MultiReader(whole, b.rest))
}

// readBody reads the body up to maxHeldBody, or as far as there is room.
func (p *Proxy) readBody(c *call) *request.Result {
	c.body = &body{}
	if c.r.ContentLength == 0 {
		return nil
	}
	c.reads(time.Now().Add(c.left()))
	text, whole, err := held.Read(c.lease, held.Bodies, waitedFor{c.r.Body, c.lease}, c.r.ContentLength, maxHeldBody)
	c.body.whole = text
	if err != nil {
		return bodyResult(err)
	}
	c.body.length = int64(len(text))
	p.carried.Add(max(c.body.length, c.r.ContentLength))
	if !whole {
		c.body.rest = c.r.Body
		c.body.length = c.r.ContentLength
	}
	c.reads(time.Time{})
	return nil
}

// bodyResult is the end of a request whose body could not be read.
func bodyResult(err error) *request.Result {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refuse(request.TooLarge, 0)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(request.BodyLate, 0)
	}
	return refuse(request.CallerGone, 0)
}

// object returns the hash of the object that a request concerns, or zero. It
// is of the service too, since objects of two services are not the same.
func (p *Proxy) object(c *call) uint64 {
	key := c.r.Header.Get(p.Names.Affinity)
	if key == "" {
		return 0
	}
	return xxhash.Sum64String(c.service + "\x00" + key)
}
