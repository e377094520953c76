// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/front"
	"shalewick/request"
)

// slowEntries starts instances that answer look-ups at once and requests only
// after a time; it returns their addresses and the count of requests.
func startSlowInstances(t *testing.T, n int, answer time.Duration) (addresses []string, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	for range n {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(request.HeaderID, r.Header.Get(request.HeaderID))
			if r.URL.Path == front.Reserved+"lookup" {
				var l front.Lookup
				for _, a := range addresses {
					l.Entries = append(l.Entries, front.Entry{Address: a})
				}
				_ = json.NewEncoder(w).Encode(l)
				return
			}
			calls.Add(1)
			time.Sleep(answer)
		}))
		t.Cleanup(s.Close)
		addresses = append(addresses, s.Listener.Addr().String())
	}
	return addresses, calls
}

// TestOverloadIsNotMadeWorse: when all instances are slow, requests are not
// sent again and again.
func TestSlowInstancesCauseNoRetryStorm(t *testing.T) {
	addresses, calls := startSlowInstances(t, 3, 600*time.Millisecond)
	c := New(addresses)
	const n = 100
	var all sync.WaitGroup
	var answered atomic.Int64
	for range n {
		all.Go(func() {
			if _, err := c.Do(context.Background(), &Request{Service: "s", Method: "GET", Path: "/", Timeout: 1600 * time.Millisecond}); err == nil {
				answered.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	all.Wait()
	t.Logf("%d requests, %d calls, %d answered", n, calls.Load(), answered.Load())
	assert.Assert(t, calls.Load() <= 2*n, "%d calls for %d requests", calls.Load(), n)
	assert.Assert(t, answered.Load() >= n*8/10)
}

// TestInstancesThatFailedAreBetterThanNone: when all instances failed lately, one
// of them is used all the same.
func TestFailedInstanceIsUsedWithoutAlternative(t *testing.T) {
	addresses, _ := startSlowInstances(t, 2, 0)
	c := New(addresses)
	for _, a := range addresses {
		c.markFailed(a)
	}
	begun := time.Now()
	_, err := c.Do(context.Background(), &Request{Service: "s", Method: "GET", Path: "/", Timeout: avoidDuration / 2})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begun) < avoidDuration/2)
}

// TestOneLookupServesAll: requests that come together look up once.
func TestConcurrentRequestsShareLookup(t *testing.T) {
	var lookups atomic.Int64
	var address string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.HeaderID, r.Header.Get(request.HeaderID))
		if r.URL.Path == front.Reserved+"lookup" {
			lookups.Add(1)
			time.Sleep(50 * time.Millisecond)
			_ = json.NewEncoder(w).Encode(front.Lookup{Entries: []front.Entry{{Address: address}}, LifeMs: 60000})
		}
	}))
	t.Cleanup(s.Close)
	address = s.Listener.Addr().String()
	c := New([]string{address})
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			_, err := c.Do(context.Background(), &Request{Service: "s", Method: "GET", Path: "/", Timeout: 2 * time.Second})
			assert.Check(t, err)
		})
	}
	all.Wait()
	assert.Equal(t, lookups.Load(), int64(1))
}
