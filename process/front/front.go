// SPDX-License-Identifier: MIT

package front

import (
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
	"shalewick/process/member"
	"shalewick/process/metric"
	"shalewick/process/steer"
	"shalewick/process/ticket"
	"shalewick/request"
	"shalewick/retry"
	"shalewick/version"
)

// Reserved is the path prefix of the system's own calls.
const Reserved = "/.shalewick/"

// HeaderEntry tells a caller that the instance is leaving.
const HeaderEntry = "Shalewick-Entry"

// Front serves callers. The fields are set before use.
type Front struct {
	Steer   *steer.Steerer
	Ledger  *ticket.Ledger
	Members *member.Registry
	Metrics *metric.Set
	Log     zerolog.Logger
	Now     func() time.Duration

	tiers   tierCache
	closed  atomic.Bool // takes no new requests
	running atomic.Int64
	mu      sync.Mutex
	peers   map[string]*conn.Pool    // to other instances' fronts, by address
	budgets map[string]*retry.Budget // retries, by service
}

// Close makes the front refuse new requests. Those in flight go on.
func (f *Front) Close() { f.closed.Store(true) }

// Running returns the number of requests in flight.
func (f *Front) Running() int64 { return f.running.Load() }

// call is one caller's request on its way.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	service  string
	route    *version.ServiceRoute
	deadline time.Time
	once     bool
	started  time.Time
}

// ServeHTTP serves one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if id := r.Header.Get(request.HeaderID); id != "" {
		w.Header().Set(request.HeaderID, id) // the caller can tell that the answer is its own
	}
	if f.Members.Leaving() {
		w.Header().Set(HeaderEntry, conn.StateLeaving)
	}
	if strings.HasPrefix(r.URL.Path, Reserved) {
		f.serveReserved(w, r)
		return
	}
	c := &call{w: w, r: r, id: rand.Text(), started: time.Now()}
	if res := f.classify(c); res != nil {
		if r.Header.Get(request.HeaderTicket) != "" {
			res.Ran = request.RanUnknown // an earlier call with the ticket may have run
		}
		f.finish(c, *res)
		return
	}
	if c.once {
		f.serveOnce(c)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	a, res := f.run(ctx, c)
	if res != nil {
		f.finish(c, *res)
		return
	}
	f.relay(c, a)
}

// classify finds service, route and deadline, or a refusal.
func (f *Front) classify(c *call) *request.Result {
	if f.closed.Load() {
		return refusal(request.Leaving, minRetry)
	}
	b := f.Steer.Active()
	if b == nil {
		return refusal(request.NoVersion, time.Second)
	}
	v := b.View
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
	if headerSize(c.r) > maxHeader {
		return refusal(request.HeaderTooLarge, 0)
	}
	if c.r.ContentLength > c.route.MaxBody {
		return refusal(request.TooLarge, 0)
	}
	if len(c.r.Header.Values("Upgrade")) > 0 || c.r.Method == http.MethodConnect {
		return refusal(request.BadRequest, 0)
	}
	c.r.Body = http.MaxBytesReader(c.w, c.r.Body, c.route.MaxBody)
	c.once = !c.route.Repeatable || c.r.Header.Get(request.HeaderOnce) == "true"
	c.deadline = c.started.Add(time.Duration(c.route.Deadline))
	if ms, err := strconv.ParseInt(c.r.Header.Get(request.HeaderDeadline), 10, 64); err == nil && ms > 0 {
		if d := c.started.Add(time.Duration(ms) * time.Millisecond); d.Before(c.deadline) {
			c.deadline = d
		}
	}
	// A caller that sends its body too slowly is given up at the deadline.
	_ = http.NewResponseController(c.w).SetReadDeadline(c.deadline.Add(conn.ReleaseMargin))
	return nil
}

// maxHeader bounds the headers of a request, in bytes.
const maxHeader = 64 << 10

func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

const minRetry = 100 * time.Millisecond

func refusal(c request.Code, retry time.Duration) *request.Result {
	r := request.NotRun(c, retry)
	return &r
}

// finish answers with a result.
func (f *Front) finish(c *call, res request.Result) {
	f.count(c, res.Code)
	res.Write(c.w)
}

// count adds the request to the metrics.
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
