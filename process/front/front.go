// SPDX-License-Identifier: MIT

package front

import (
	"cmp"
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"shalewick/conn"
	"shalewick/process/drain"
	"shalewick/process/forward"
	"shalewick/process/logging"
	"shalewick/process/member"
	"shalewick/process/metric"
	"shalewick/process/steer"
	"shalewick/process/ticket"
	"shalewick/process/upload"
	"shalewick/request"
	"shalewick/retry"
	"shalewick/version"
)

// ReservedPrefix is the path prefix of the endpoints that instances serve themselves.
const ReservedPrefix = "/.shalewick/"

// HeaderEntry is the response header that announces that the instance is leaving.
const HeaderEntry = "Shalewick-Entry"

// Front serves callers. The exported fields must be set before use.
type Front struct {
	Steer   *steer.Steerer
	Ledger  *ticket.Ledger
	Members *member.Registry
	Metrics *metric.Set
	// Forward, if set, chooses the instances that requests are forwarded to whose backend servers this
	// one can't reach.
	Forward *forward.Targets
	Log     zerolog.Logger
	Now     func() time.Duration
	// PlannedStop, if set, logs the planned stop of the process.
	PlannedStop *drain.Stop

	tierCache    tierCache
	closing      atomic.Bool // new requests are refused
	inFlight     atomic.Int64
	mu           sync.Mutex
	peerPools    map[string]*conn.Pool    // connections to the fronts of other instances, by address
	retryBudgets map[string]*retry.Budget // by service
}

// Close makes the front refuse new requests. Requests in flight continue.
func (f *Front) Close() { f.closing.Store(true) }

// Running returns the number of requests in flight.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// call holds the state of one caller's request.
type call struct {
	w             http.ResponseWriter
	r             *http.Request
	id            string
	tracked       drain.Request
	cancel        context.CancelFunc // set before the work begins
	service       string
	route         *version.ServiceRoute
	deadline      time.Time
	nonRepeatable bool
	started       time.Time
	body          *upload.Body // nil until it has been read
	framed        bool         // the response has a length
}

// ServeHTTP serves one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, id: rand.Text(), started: time.Now()}
	defer logging.HandlerPanic(&f.Log, &c.id)
	f.serve(c)
	if !c.framed || c.unread() == 0 {
		return
	}
	if http.NewResponseController(w).Flush() == nil {
		c.tracked.SetWritten()
	}
	kept := upload.Drain(w, r, c.deadline)
	f.Metrics.UnreadBody(c.service, kept)
	if !kept {
		panic(http.ErrAbortHandler)
	}
}

// serve serves one request.
func (f *Front) serve(c *call) {
	w, r := c.w, c.r
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if id := r.Header.Get(request.HeaderID); id != "" {
		w.Header().Set(request.HeaderID, id) // lets the caller match response and request
	}
	if f.Members.Leaving() {
		w.Header().Set(HeaderEntry, conn.StateLeaving)
	}
	c.tracked.Begin(r.Context(), cmp.Or(r.Header.Get(request.HeaderID), c.id), c.started)
	if strings.HasPrefix(r.URL.Path, ReservedPrefix) {
		f.serveReserved(w, r)
		return
	}
	upload.Respond(w, r)
	if res := f.classify(c); res != nil {
		if r.Header.Get(request.HeaderTicket) != "" {
			res.Ran = request.RanUnknown // an earlier call with the ticket may have run
		}
		f.finish(c, *res)
		return
	}
	if c.nonRepeatable {
		f.serveNonRepeatable(c)
		return
	}
	ctx, cancel := c.begin(r.Context())
	defer cancel()
	resp, res := f.forward(ctx, c)
	if res != nil {
		f.finish(c, *res)
		return
	}
	f.relay(c, resp)
}

// begin returns the context of the work for the request. It ends at the deadline, or when the stop of the process ends the
// request.
func (c *call) begin(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(parent, c.deadline)
	c.cancel = cancel
	if !c.tracked.SetAborter(c) {
		c.Abort()
	}
	return ctx, cancel
}

// aLongTimeAgo is a deadline that interrupts pending I/O immediately.
var aLongTimeAgo = time.Unix(1, 0)

// Abort implements drain.Aborter.
func (c *call) Abort() {
	c.cancel()
	_ = http.NewResponseController(c.w).SetReadDeadline(aLongTimeAgo) // an error means that the caller has disconnected
}

// result returns the result that the request ends with: res, unless the stop of the process has ended the request.
func (c *call) result(res request.Result) request.Result {
	switch {
	case !c.tracked.Ended():
		return res
	case res.Ran == request.RanNo:
		return request.NotRun(request.Leaving, minRetryAfter)
	default:
		return request.Unknown(request.Leaving)
	}
}

// classify sets service, route and deadline of the call. It returns a result
// if the request is refused.
func (f *Front) classify(c *call) *request.Result {
	if f.closing.Load() {
		return refusal(request.Leaving, minRetryAfter)
	}
	bound := f.Steer.Active()
	if bound == nil {
		return refusal(request.NoVersion, time.Second)
	}
	v := bound.View
	svc := v.Service(c.r.Header.Get(request.HeaderService))
	if svc == version.None {
		svc = v.Host(c.r.Host)
	}
	if svc == version.None {
		return refusal(request.UnknownService, 0)
	}
	c.service = v.Services[svc].Name
	c.route = v.Services[svc].Route(c.r.Method, c.r.URL.Path)
	if c.route == nil {
		return refusal(request.UnknownRoute, 0)
	}
	c.tracked.SetService(&v.Services[svc].Name, c.route.Class)
	if headerSize(c.r) > maxHeaderBytes {
		return refusal(request.HeaderTooLarge, 0)
	}
	if c.r.ContentLength > c.route.MaxBody {
		return refusal(request.TooLarge, 0)
	}
	if len(c.r.Header.Values("Upgrade")) > 0 || c.r.Method == http.MethodConnect {
		return refusal(request.BadRequest, 0)
	}
	c.nonRepeatable = !c.route.Repeatable || c.r.Header.Get(request.HeaderOnce) == "true"
	c.deadline = c.started.Add(time.Duration(c.route.Deadline))
	if ms, err := strconv.ParseInt(c.r.Header.Get(request.HeaderDeadline), 10, 64); err == nil && ms > 0 {
		if d := c.started.Add(time.Duration(ms) * time.Millisecond); d.Before(c.deadline) {
			c.deadline = d
		}
	}
	// Stops reading from a caller that has not sent its body by the deadline.
	_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline.Add(conn.ReleaseMargin))
	return nil
}

// maxHeaderBytes limits the size of a request's headers.
const maxHeaderBytes = 64 << 10

// headerSize returns the size of the request URI and of all header fields in bytes.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

const minRetryAfter = 100 * time.Millisecond

// refusal returns the result of a request that was refused without running.
func refusal(c request.Code, retryAfter time.Duration) *request.Result {
	r := request.NotRun(c, retryAfter)
	return &r
}

// finish counts the request and responds with a result.
func (f *Front) finish(c *call, res request.Result) {
	ended := !c.tracked.BeginAnswer()
	res = c.result(res)
	f.count(c, res.Code)
	if res.Code == request.Leaving && !ended {
		f.PlannedStop.CountRejected()
	}
	c.framed = true
	if ended || upload.EndsConnection(c.unread(), c.body != nil, true) {
		c.w.Header().Set("Connection", "close")
	}
	res.Write(c.w)
}

// count records the request in the metrics and logs it if it was not OK.
func (f *Front) count(c *call, code request.Code) {
	class := request.ClassInvalid
	if c.route != nil {
		class = c.route.Class
	}
	f.Metrics.Request(c.service, class, code, time.Since(c.started))
	if code != request.OK {
		f.Log.Debug().Str("service", c.service).Int("code", int(code)).
			Str("result", code.Info().Name).Dur("took", time.Since(c.started)).Msg("refused")
	}
}
