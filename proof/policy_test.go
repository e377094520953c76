// SPDX-License-Identifier: MIT

package proof

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/request"
	"shalewick/standin/backend"
	"shalewick/standin/fleet"
)

// The policy benchmark sends the same arrivals through this project's entries and through
// baseline entries with simpler load balancing policies. All use the same backend servers,
// slow old ones and fast new ones, which queue the requests beyond their slots and shed
// requests when too many wait.

const (
	policyMeanWork     = 40 * time.Millisecond  // mean time of work at a new backend server
	policyOldExtraWork = 120 * time.Millisecond // added at an old backend server
	policyDeadline     = 2 * time.Second
	policyDuration     = 8 * time.Second
	policyEntries      = 6
)

// baselineBackend is a backend server as seen by a baseline entry.
type baselineBackend struct {
	pool             *conn.Pool
	inFlight         atomic.Int64 // requests from this entry
	reportedInFlight atomic.Int64 // requests in flight by the last load report
}

// policyFunc chooses the backend server for the request with the given number.
type policyFunc func(bs []*baselineBackend, number uint64) *baselineBackend

func roundRobin(bs []*baselineBackend, number uint64) *baselineBackend {
	return bs[number%uint64(len(bs))]
}

// leastReported chooses the backend server with the least reported load, and one at random
// among equals.
func leastReported(bs []*baselineBackend, _ uint64) *baselineBackend {
	start := rand.IntN(len(bs))
	best := bs[start]
	for i := range bs {
		if b := bs[(start+i)%len(bs)]; b.reportedInFlight.Load() < best.reportedInFlight.Load() {
			best = b
		}
	}
	return best
}

// twoChoices chooses the less loaded of two random backend servers, by the sum of the
// reported load and the requests in flight from this entry.
func twoChoices(bs []*baselineBackend, _ uint64) *baselineBackend {
	a, b := bs[rand.IntN(len(bs))], bs[rand.IntN(len(bs))]
	if a.inFlight.Load()+a.reportedInFlight.Load() <= b.inFlight.Load()+b.reportedInFlight.Load() {
		return a
	}
	return b
}

// baselineEntry is an entry with a simple load balancing policy.
type baselineEntry struct {
	choose   policyFunc
	backends []*baselineBackend
	requests atomic.Uint64
}

func (e *baselineEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := e.choose(e.backends, e.requests.Add(1))
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	out := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: r.Header.Clone()}
	out.Header.Set(request.HeaderDeadline, strconv.FormatInt(policyDeadline.Milliseconds(), 10))
	ex, err := b.pool.Dispatch(r.Context(), out, conn.Options{
		Deadline: time.Now().Add(policyDeadline), Allowed: func() bool { return true }, Release: func(bool) {},
	})
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer ex.Close()
	w.WriteHeader(ex.Response.StatusCode)
	_, _ = io.Copy(w, ex.Response.Body)
}

// probe refreshes the load reports until the context is cancelled.
func (e *baselineEntry) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range e.backends {
			if rep, err := conn.Probe(ctx, http.DefaultClient, b.pool.Address); err == nil {
				b.reportedInFlight.Store(int64(rep.InFlight))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// startBaselineEntries starts entries that use a policy for the backend servers of the read
// service, and returns their addresses.
func (c *cluster) startBaselineEntries(b *testing.B, choose policyFunc) []string {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var out []string
	for range policyEntries {
		e := &baselineEntry{choose: choose}
		for _, u := range c.backends[:c.size.ReadBackends] {
			e.backends = append(e.backends, &baselineBackend{pool: &conn.Pool{Address: u.listen.String()}})
		}
		go e.probe(ctx)
		srv := httptest.NewServer(e)
		b.Cleanup(srv.Close)
		out = append(out, srv.Listener.Addr().String())
	}
	return out
}

// outcomes holds the latencies that callers measured.
type outcomes struct {
	mu       sync.Mutex
	answered *hdrhistogram.Histogram // microseconds
	failed   *hdrhistogram.Histogram // rejected, failed or late requests
	sent     int
}

// sendReads sends reads at a rate to random entries, without retries. The seed makes the
// arrivals the same for each policy.
func (c *cluster) sendReads(entries []string, rate float64, seed uint64) *outcomes {
	o := &outcomes{answered: hdrhistogram.New(1, 1e8, 3), failed: hdrhistogram.New(1, 1e8, 3)}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	rnd := rand.New(rand.NewPCG(seed, 0))
	var requests sync.WaitGroup
	start := time.Now()
	for due := time.Duration(0); due < policyDuration; due += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(due)))
		scheduled := start.Add(due)
		entry := entries[rnd.IntN(len(entries))]
		o.sent++
		requests.Go(func() { o.record(scheduled, c.sendRead(client, entry)) })
	}
	requests.Wait()
	client.CloseIdleConnections()
	return o
}

// sendRead sends one read and reports whether it got a complete response with status 200.
func (c *cluster) sendRead(client *http.Client, entry string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry+"/lots?size=500", nil)
	if err != nil {
		return false
	}
	req.Header.Set(request.HeaderService, c.size.ReadService)
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

func (o *outcomes) record(scheduled time.Time, ok bool) {
	latency := time.Since(scheduled)
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.failed
	if ok && latency <= policyDeadline {
		h = o.answered
	}
	_ = h.RecordValue(latency.Microseconds())
}

// BenchmarkPolicies compares the policies at several loads, given as fractions of the
// capacity of the slots. Run it with -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	size := fleet.Caroni()
	size.LinkCap = 200 // raised, since the baselines have no caps
	c := newCluster(b, clusterOptions{size: size, entries: policyEntries, work: policyMeanWork, queue: true})
	capacity := 0.0
	for i := range size.ReadBackends {
		mean := policyMeanWork
		if i%2 == 1 {
			mean += policyOldExtraWork
			c.backendFault(i, backend.Fault{SlowMs: int(policyOldExtraWork.Milliseconds())})
		}
		capacity += float64(size.Slots) / mean.Seconds()
	}
	var own []string
	for _, e := range c.entries {
		own = append(own, e.front)
	}
	for _, share := range []float64{0.5, 0.8, 1.0, 1.2, 1.5} {
		for _, p := range []struct {
			name    string
			entries []string
		}{
			{"shalewick", own},
			{"round-robin", c.startBaselineEntries(b, roundRobin)},
			{"least-reported", c.startBaselineEntries(b, leastReported)},
			{"two-choices", c.startBaselineEntries(b, twoChoices)},
		} {
			b.Run(fmt.Sprintf("load=%.1f/%s", share, p.name), func(b *testing.B) {
				for range b.N {
					o := c.sendReads(p.entries, share*capacity, 7)
					ideal := math.Min(float64(o.sent), capacity*policyDuration.Seconds())
					ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
					b.ReportMetric(ms(o.answered, 50), "p50-ms")
					b.ReportMetric(ms(o.answered, 99), "p99-ms")
					b.ReportMetric(float64(o.answered.TotalCount())/ideal, "goodput")
					b.ReportMetric(ms(o.failed, 50), "refused-p50-ms")
				}
			})
			time.Sleep(time.Second) // until the queues are empty
		}
	}
	assert.Assert(b, capacity > 0)
}
