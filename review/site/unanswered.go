// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "unanswered". The route, the deadline, the servers and their work are those of the site's kind lot-reads, and the
// requests a second for each machine.
const (
	timeout        = 800 * time.Millisecond  // timeoutS of the route
	clientDeadline = 2500 * time.Millisecond // X-Time-Budget-Ms
	answerBytes    = 3 << 20
	answerWork     = 480 * time.Millisecond
	requestPause   = 17 * time.Millisecond // between two requests of all clients
	servers        = 20
	slots          = 6
	darkServers    = 3 // of these at a time: a share of 0.15
	darkFor        = 4500 * time.Millisecond
	darkPause      = 4 * time.Second
	darkTimes      = 6

	unansweredSlack = 500 * time.Millisecond // of the rule
	minUnanswered   = 8                      // of the rule
)

// end says how one attempt of a client ended.
type end struct {
	took   time.Duration
	status int
	bytes  int64
	err    error
}

// unanswered is the case of servers that fall silent within a large answer.
func unanswered(s *site, trouble bool) (broken bool, err error) {
	s.putConfig(1, "catalogue", route{
		"host": "jepu9.example", "pathPrefix": "/lot/", "kind": "idempotent", "timeoutS": timeout.Seconds(), "targetLatencyS": 0.3, "priority": 2,
		"service": "catalogue", "maxAttempts": 2, "sticky": true, "homeRegions": []string{},
	})
	halls := []string{"north-a", "north-b", "central-a", "central-b", "south-a", "south-b"}
	for i := range servers {
		if _, err := s.startUpstream("catalogue", halls[i%len(halls)], "v1", slots, answerBytes, answerWork); err != nil {
			return false, err
		}
	}
	if err := s.startMachines("north-a", "central-a", "south-a"); err != nil {
		return false, err
	}
	time.Sleep(2 * contactS)
	ends := make(chan end, 100000)
	stop, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	var clients sync.WaitGroup
	clients.Go(func() { s.send(stop, http.MethodGet, "/lot/", clientDeadline, requestPause, ends) })
	for n := range darkTimes {
		time.Sleep(darkPause)
		first := n * darkServers
		if err := s.fallSilent(trouble, s.upstreams[first:first+darkServers]...); err != nil {
			return false, err
		}
	}
	time.Sleep(darkPause)
	stopClients()
	clients.Wait()
	close(ends)
	return s.judgeEnds(ends), nil
}

// fallSilent makes upstreams silent for darkFor.
func (s *site) fallSilent(trouble bool, upstreams ...*upstream) error {
	if !trouble {
		time.Sleep(darkFor)
		return nil
	}
	for _, u := range upstreams {
		u.fall()
	}
	time.Sleep(darkFor)
	for _, u := range upstreams {
		if err := u.restart(); err != nil {
			return err
		}
	}
	return nil
}

// judgeEnds reports whether requests that outlast timeoutS get no final answer.
func (s *site) judgeEnds(ends <-chan end) (broken bool) {
	total, outlast, open := 0, 0, 0
	for e := range ends {
		total++
		if e.took > timeout {
			outlast++
		}
		if e.took > timeout+unansweredSlack {
			open++
		}
	}
	s.log("%d requests, %d outlast timeoutS, %d of these have no final answer %s later", total, outlast, open, unansweredSlack)
	return open >= minUnanswered && 4*open > outlast
}

// send sends requests to the machines in turn until the context is done, each from a client of its own.
func (s *site) send(stop context.Context, method, prefix string, deadline, pause time.Duration, ends chan<- end) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; stop.Err() == nil; n++ {
		m := s.machines[n%len(s.machines)]
		open.Go(func() {
			id := fmt.Sprintf("%016x", n+1)
			s.log("send %s to %s", id, m.name)
			e := request(method, m.listen["front"], prefix, id, n%40, deadline)
			s.log("end %s after %.3f s: status %d, %d bytes, %v", id, e.took.Seconds(), e.status, e.bytes, e.err)
			ends <- e
		})
		time.Sleep(pause)
	}
}

// request sends one request and reads its answer. It leaves at its deadline.
func request(method, front, prefix, id string, object int, deadline time.Duration) (e end) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	start := time.Now()
	defer func() { e.took = time.Since(start) }()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s%d", front, prefix, object), nil)
	if err != nil {
		return end{err: err}
	}
	req.Host = "jepu9.example"
	req.Header.Set(wire.ID, id)
	req.Header.Set(wire.Affinity, fmt.Sprint(object))
	req.Header.Set(wire.Budget, fmt.Sprint(deadline.Milliseconds()))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return end{err: err}
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	return end{status: res.StatusCode, bytes: n, err: err}
}
