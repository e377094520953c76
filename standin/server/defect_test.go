// SPDX-License-Identifier: MIT

package server

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
)

const (
	testWork     = 4 * time.Millisecond
	testRequests = 200
)

func startServer(t *testing.T, defect Defect) *Server {
	t.Helper()
	s := &Server{Name: "i", Names: request.OwnNames, Slots: 8, Queue: 100, Work: testWork, Software: "2.0", Defect: defect, Seed: 7}
	assert.NilError(t, s.Start())
	t.Cleanup(s.Kill)
	return s
}

// get sends a request and returns the status and the response time.
func get(t *testing.T, s *Server, id, path string) (int, time.Duration) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Address()+path, nil)
	assert.NilError(t, err)
	req.Header.Set(s.Names.ID, id)
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(s.Names.Seal), "seal-"+id)
	return res.StatusCode, time.Since(start)
}

// failures sends testRequests requests and returns the ids of those that failed.
func failures(t *testing.T, s *Server, path string) []string {
	t.Helper()
	var out []string
	for i := range testRequests {
		id := fmt.Sprintf("x%d", i)
		if status, _ := get(t, s, id, path); status != http.StatusOK {
			assert.Equal(t, status, http.StatusInternalServerError)
			out = append(out, id)
		}
	}
	return out
}

// TestFailureFraction checks the fraction of failed responses, that a seed always fails the same
// requests, and the counts of responses and arrivals.
func TestFailureFraction(t *testing.T) {
	start := time.Now()
	s := startServer(t, Defect{FailureFraction: 0.4})
	got := failures(t, s, "/a")
	assert.Assert(t, len(got) > testRequests*3/10 && len(got) < testRequests/2, "%d of %d", len(got), testRequests)
	assert.DeepEqual(t, failures(t, startServer(t, Defect{FailureFraction: 0.4}), "/a"), got)
	assert.Equal(t, len(s.DefectiveResponses()), len(got))
	assert.Equal(t, len(s.ArrivalTimes()), testRequests)
	sum := 0
	for _, n := range s.ArrivalsPerSecond(start, 60) {
		sum += n
	}
	assert.Equal(t, sum, testRequests)
}

func TestSlowFraction(t *testing.T) {
	s := startServer(t, Defect{SlowdownFactor: 8, SlowFraction: 0.5})
	slow := 0
	for i := range 40 {
		if _, took := get(t, s, fmt.Sprint(i), "/a"); took >= 8*testWork {
			slow++
		}
	}
	assert.Assert(t, slow >= len(s.DefectiveResponses()) && len(s.DefectiveResponses()) > 10 && len(s.DefectiveResponses()) < 30, "%d of 40, %d recorded as slow", slow, len(s.DefectiveResponses()))
	assert.Assert(t, !s.DefectiveResponses()[0].Failed)
}

func TestDefectOnsetAndPathPrefix(t *testing.T) {
	s := startServer(t, Defect{FailureFraction: 1, PathPrefix: "/b/"})
	s.SetDefect(s.Defect, time.Now())
	assert.Equal(t, len(failures(t, s, "/a/x")), 0)
	assert.Equal(t, len(failures(t, s, "/b/x")), testRequests)
	s.SetDefect(Defect{FailureFraction: 1, Onset: time.Hour}, time.Now())
	assert.Equal(t, len(failures(t, s, "/a/x")), 0)
	s.SetDefect(Defect{FailureFraction: 1, Onset: time.Hour}, time.Now().Add(-time.Hour))
	assert.Equal(t, len(failures(t, s, "/a/x")), testRequests)
}

// TestDefectMinRunning sends requests one at a time, which must not fail, and then six at once.
func TestDefectMinRunning(t *testing.T) {
	s := startServer(t, Defect{FailureFraction: 1, MinRunning: 3})
	assert.Equal(t, len(failures(t, s, "/a")), 0)
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			for i := range 20 {
				get(t, s, fmt.Sprintf("c%d-%d", c, i), "/a")
			}
		})
	}
	clients.Wait()
	assert.Assert(t, len(s.DefectiveResponses()) > 0)
}

// TestKillBreaksRequestsInFlight kills the backend server while a request runs, which must get no
// response.
func TestKillBreaksRequestsInFlight(t *testing.T) {
	s := startServer(t, Defect{SlowdownFactor: 100})
	time.AfterFunc(20*time.Millisecond, s.Kill)
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/a", nil)
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		res.Body.Close()
	}
	assert.Assert(t, err != nil)
}

func TestRowValueIncludesVersion(t *testing.T) {
	s := startServer(t, Defect{})
	want := fmt.Sprintf(`{"address":%q,"info":{"service":"s","zone":"z","slots":8,"version":"2.0"},"status":{"state":"ready","sequence":1,"coldRemainingS":0}}`, s.Address())
	assert.Equal(t, s.RowValue(Row{Service: "s", Zone: "z", State: "ready"}), want)
}
