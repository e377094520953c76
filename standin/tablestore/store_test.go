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

func write(t *testing.T, s *Store, x map[string]any) (int, map[string]any) {
	t.Helper()
	b, err := json.Marshal(x)
	assert.NilError(t, err)
	res, err := http.Post("http://"+s.Address()+pathWrite, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	var out map[string]any
	_ = json.NewDecoder(res.Body).Decode(&out) // some answers have no body
	return res.StatusCode, out
}

func put(key string) map[string]any {
	return map[string]any{"table": "t", "privateKey": key, "value": "dg=="}
}

func TestConditionsAreChecked(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	absent := map[string]any{"table": "t", "privateKey": "k", "ver": 0}
	status, _ := write(t, s, map[string]any{"expectedRevision": []any{absent}, "put": []any{put("k")}})
	assert.Equal(t, status, http.StatusOK)
	status, out := write(t, s, map[string]any{"expectedRevision": []any{absent}, "put": []any{put("k")}})
	assert.Equal(t, status, http.StatusPreconditionFailed)
	assert.Equal(t, len(out["rows"].([]any)), 1)
	status, _ = write(t, s, map[string]any{"put": []any{map[string]any{"table": "servers", "privateKey": "x"}}})
	assert.Equal(t, status, http.StatusForbidden)
	part := put("p")
	part["part"] = "other"
	status, _ = write(t, s, map[string]any{"put": []any{put("q"), part}})
	assert.Equal(t, status, http.StatusBadRequest, "two parts")
	status, _ = write(t, s, map[string]any{"put": []any{put("q"), part}, "across": true})
	assert.Equal(t, status, http.StatusOK)
}

// TestLateWriteKeepsItsCondition checks that a write whose answer was lost is
// carried out later only if what it expects still holds.
func TestLateWriteKeepsItsCondition(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	absent := func(key string) map[string]any { return map[string]any{"table": "t", "privateKey": key, "ver": 0} }
	s.SetFault(Fault{CommitDelay: 150 * time.Millisecond})
	for _, key := range []string{"a", "b"} {
		status, _ := write(t, s, map[string]any{"expectedRevision": []any{absent(key)}, "put": []any{put(key)}})
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

func TestCallsBeyondTheRatesAreRefused(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	s.SetRateLimits(0, 2)
	refused := 0
	for range 12 {
		if status, _ := write(t, s, map[string]any{"put": []any{put("k")}}); status == http.StatusTooManyRequests {
			refused++
		}
	}
	assert.Assert(t, refused >= 8, "%d refused", refused) // the calls may fall into two seconds
}

// TestAnswersCarryASteadyClock checks that each answer about rows tells a clock that
// runs as the process's does.
func TestAnswersCarryASteadyClock(t *testing.T) {
	s := Start()
	t.Cleanup(s.Close)
	clock := func() float64 {
		_, out := write(t, s, map[string]any{"put": []any{put("k")}})
		return out["now_s"].(float64)
	}
	begun, first := time.Now(), clock()
	time.Sleep(200 * time.Millisecond)
	passed := clock() - first
	assert.Assert(t, passed >= 0.2 && passed <= time.Since(begun).Seconds()+0.001, "%g s", passed)
	for _, path := range []string{"/v1/rows-get?table=t", "/v1/rows-feed?table=t&after=0&waitMs=1"} {
		res, err := http.Get("http://" + s.Address() + path)
		assert.NilError(t, err)
		var out map[string]any
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&out))
		res.Body.Close()
		assert.Assert(t, out["now_s"].(float64) >= first+passed, path)
	}
	assert.Equal(t, s.TableReads("t"), 2)
}
