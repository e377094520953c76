// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/front"
	"shalewick/request"
)

// startSlowInstances starts instances that respond to lookups at once and to
// requests after a delay. It returns their addresses and a count of requests.
func startSlowInstances(t *testing.T, n int, delay time.Duration) (addresses []string, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	for range n {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(request.HeaderID, r.Header.Get(request.HeaderID))
			if r.URL.Path == front.ReservedPrefix+"lookup" {
				var l front.Lookup
				for _, a := range addresses {
					l.Entries = append(l.Entries, front.Entry{Address: a})
				}
				_ = json.NewEncoder(w).Encode(l)
				return
			}
			calls.Add(1)
			time.Sleep(delay)
		}))
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	return addresses, calls
}

// Retries at other instances must not multiply the load when all instances
// respond more slowly than the time limit of an attempt.
func TestSlowInstancesCauseNoRetryStorm(t *testing.T) {
	addresses, calls := startSlowInstances(t, 3, 600*time.Millisecond)
	c := New(addresses)
	const n = 100
	var wg sync.WaitGroup
	var answered atomic.Int64
	for range n {
		wg.Go(func() {
			if _, err := c.Do(context.Background(), &Request{Service: "s", Method: "GET", Path: "/", Timeout: 1600 * time.Millisecond}); err == nil {
				answered.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d requests, %d calls, %d answered", n, calls.Load(), answered.Load())
	assert.Assert(t, calls.Load() <= 2*n, "%d calls for %d requests", calls.Load(), n)
	assert.Assert(t, answered.Load() >= n*8/10)
}

// When all instances failed recently, one of them is used without waiting until
// its avoidance expires.
func TestFailedInstanceIsUsedWithoutAlternative(t *testing.T) {
	addresses, _ := startSlowInstances(t, 2, 0)
	c := New(addresses)
	for _, a := range addresses {
		c.markFailed(a)
	}
	start := time.Now()
	_, err := c.Do(context.Background(), &Request{Service: "s", Method: "GET", Path: "/", Timeout: avoidDuration / 2})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) < avoidDuration/2)
}

// Concurrent requests of a new client share one lookup.
func TestConcurrentRequestsShareLookup(t *testing.T) {
	var lookups atomic.Int64
	var address string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.HeaderID, r.Header.Get(request.HeaderID))
		if r.URL.Path == front.ReservedPrefix+"lookup" {
			lookups.Add(1)
			time.Sleep(50 * time.Millisecond)
			_ = json.NewEncoder(w).Encode(front.Lookup{Entries: []front.Entry{{Address: address}}, LifeMs: 60000})
		}
	}))
	t.Cleanup(s.Close)
	address = s.Listener.Addr().String()
	c := New([]string{address})
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			_, err := c.Do(context.Background(), &Request{Service: "s", Method: "GET", Path: "/", Timeout: 2 * time.Second})
			assert.Check(t, err)
		})
	}
	wg.Wait()
	assert.Equal(t, lookups.Load(), int64(1))
}

// TestHeadOfResponseIsLimited guards against a response whose head takes 10 MB of a caller's memory, the default limit of
// net/http, and checks that what an instance passes on from a backend server is accepted.
func TestHeadOfResponseIsLimited(t *testing.T) {
	for _, x := range []struct {
		size     int
		accepted bool
	}{{conn.MaxHeadBytes, true}, {2 * maxHeadBytes, false}} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Large", strings.Repeat("x", x.size))
			_, _ = io.WriteString(w, "{}")
		}))
		var l front.Lookup
		err := New(nil).callInstance(context.Background(), s.Listener.Addr().String(), "lookup", &l)
		assert.Equal(t, err == nil, x.accepted, "%d bytes: %v", x.size, err)
		s.Close()
	}
}
