// SPDX-License-Identifier: MIT

package tablestore

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func commit(t *testing.T, s *Store, x map[string]any) (int, map[string]any) {
	t.Helper()
	b, err := json.Marshal(x)
	assert.NilError(t, err)
	res, err := http.Post("http://"+s.Address()+pathWrite, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	var out map[string]any
	_ = json.NewDecoder(res.Body).Decode(&out) // some responses have no body
	return res.StatusCode, out
}

func putOp(key string) map[string]any {
	return map[string]any{"table": "t", "privateKey": key, "value": "dg=="}
}

func TestTransactionChecksExpectedVersions(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	absent := map[string]any{"table": "t", "privateKey": "k", "ver": 0}
	status, _ := commit(t, s, map[string]any{"expectedRevision": []any{absent}, "put": []any{putOp("k")}})
	assert.Equal(t, status, http.StatusOK)
	status, out := commit(t, s, map[string]any{"expectedRevision": []any{absent}, "put": []any{putOp("k")}})
	assert.Equal(t, status, http.StatusPreconditionFailed)
	assert.Equal(t, len(out["rows"].([]any)), 1)
	status, _ = commit(t, s, map[string]any{"put": []any{map[string]any{"table": "servers", "privateKey": "x"}}})
	assert.Equal(t, status, http.StatusForbidden)
	part := putOp("p")
	part["part"] = "other"
	status, _ = commit(t, s, map[string]any{"put": []any{putOp("q"), part}})
	assert.Equal(t, status, http.StatusBadRequest, "two parts")
	status, _ = commit(t, s, map[string]any{"put": []any{putOp("q"), part}, "across": true})
	assert.Equal(t, status, http.StatusOK)
}

// TestLateCommitChecksExpectedVersions guards against a delayed transaction, whose response was lost,
// that overwrites a row which changed meanwhile.
func TestLateCommitChecksExpectedVersions(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	absent := func(key string) map[string]any { return map[string]any{"table": "t", "privateKey": key, "ver": 0} }
	s.SetFault(Fault{CommitDelay: 150 * time.Millisecond})
	for _, key := range []string{"a", "b"} {
		status, _ := commit(t, s, map[string]any{"expectedRevision": []any{absent(key)}, "put": []any{putOp(key)}})
		assert.Equal(t, status, 0)
	}
	s.Put("t", "b", "other")
	time.Sleep(400 * time.Millisecond)
	a, found := s.Value("t", "a")
	assert.Assert(t, found)
	assert.Equal(t, string(a), "v")
	b, _ := s.Value("t", "b")
	assert.Equal(t, string(b), "other")
}

func TestRateLimitRejectsCalls(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	s.SetRateLimits(0, 2)
	rejected := 0
	for range 12 {
		if status, _ := commit(t, s, map[string]any{"put": []any{putOp("k")}}); status == http.StatusTooManyRequests {
			rejected++
		}
	}
	assert.Assert(t, rejected >= 8, "%d rejected", rejected) // the calls may fall into two seconds
}

// TestResponsesCarryMonotonicClock checks that the clock in responses advances at the rate of the
// test's own clock, for transactions, reads and feeds.
func TestResponsesCarryMonotonicClock(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	clock := func() float64 {
		_, out := commit(t, s, map[string]any{"put": []any{putOp("k")}})
		return out["now_s"].(float64)
	}
	start, first := time.Now(), clock()
	time.Sleep(200 * time.Millisecond)
	elapsed := clock() - first
	assert.Assert(t, elapsed >= 0.2 && elapsed <= time.Since(start).Seconds()+0.001, "%g s", elapsed)
	for _, path := range []string{"/v1/rows-get?table=t", "/v1/rows-feed?table=t&after=0&waitMs=1"} {
		res, err := http.Get("http://" + s.Address() + path)
		assert.NilError(t, err)
		var out map[string]any
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&out))
		res.Body.Close()
		assert.Assert(t, out["now_s"].(float64) >= first+elapsed, path)
	}
	assert.Equal(t, s.TableReads("t"), 2)
}
