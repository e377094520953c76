// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "unordered". The route, the deadline, the slots and the work are those of the site's kind bid-actions.
const (
	bidDeadline  = 3 * time.Second
	bidPause     = 25 * time.Millisecond // between two requests of all clients
	bidWork      = 640 * time.Millisecond
	bidBytes     = 5000
	oldVersion   = "v1"
	newVersion   = "v2" // which nobody has ordered
	newServers   = 2
	releaseGap   = time.Second
	serveOn      = 2500 * time.Millisecond // drainS and a little longer
	releaseShare = 2                       // a release replaces one server in so many
)

// unordered is the case of servers of a version that nobody has ordered yet.
func unordered(s *site, trouble bool) (broken bool, err error) {
	s.rollouts = true
	s.putConfig(1, "bidbook", route{
		"host": "jepu9.example", "pathPrefix": "/bid/", "kind": "non_idempotent", "timeoutS": 1, "targetLatencyS": 0.4, "priority": 1,
		"service": "bidbook", "maxAttempts": 2, "sticky": true, "homeRegions": []string{},
	})
	halls := []string{"north-a", "north-b", "central-a", "central-b", "south-a", "south-b"}
	for _, zone := range append(halls, halls...) {
		if _, err := s.startUpstream("bidbook", zone, oldVersion, slots, bidBytes, bidWork); err != nil {
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
	clients.Go(func() { s.send(stop, http.MethodPost, "/bid/", bidDeadline, bidPause, ends) })
	before := s.upstreams
	for i := range newServers {
		if _, err := s.startUpstream("bidbook", halls[i], newVersion, slots, bidBytes, bidWork); err != nil {
			return false, err
		}
	}
	time.Sleep(contactS)
	if trouble {
		for n := range releaseShare {
			if err := s.release(before, n); err != nil {
				return false, err
			}
			time.Sleep(contactS)
		}
	}
	s.log("servers of %s have run %d requests before the restarts", newVersion, s.countRuns(newVersion))
	for _, m := range s.machines {
		if err := m.roll(); err != nil {
			return false, err
		}
	}
	time.Sleep(contactS)
	stopClients()
	clients.Wait()
	n := s.countRuns(newVersion)
	s.log("servers of %s, which nobody ordered, have run %d requests, those of %s %d", newVersion, n, oldVersion, s.countRuns(oldVersion))
	return n > 0, nil
}

// release replaces every releaseShare-th of the servers from the first on, one at a time: the new one starts first, the old one drains.
func (s *site) release(old []*upstream, first int) error {
	var drains sync.WaitGroup
	defer drains.Wait()
	for i := first; i < len(old); i += releaseShare {
		u := old[i]
		if _, err := s.startUpstream(u.service, u.zone, u.version, u.slots, u.bytes, u.work); err != nil {
			return err
		}
		drains.Go(func() { _ = u.drain(serveOn) }) // its row can be encoded
		time.Sleep(releaseGap)
	}
	return nil
}

// countRuns returns how many requests the upstreams of a version have begun to work on.
func (s *site) countRuns(version string) (runs int) {
	for _, u := range s.upstreams {
		u.mu.Lock()
		if u.version == version {
			runs += u.runs
		}
		u.mu.Unlock()
	}
	return runs
}
