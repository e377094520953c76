// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "dead-listed".
const (
	lostMachine  = "edge-north-b-2"
	lostFor      = contactS + 3*time.Second // of the rule
	lostMargin   = 2 * time.Second
	rollGap      = 1300 * time.Millisecond // gap_s of roll_term in the site file
	rolls        = 2
	restartDelay = 300 * time.Millisecond
	maxHold      = 2 * time.Second // ttlS of the answers
	askTimeout   = time.Second
	maxAsked     = 3
	maxDeadNamed = 3 // of the rule
)

// clientsIn holds the number of clients in each zone of the region, as in the site file.
var clientsIn = map[string]int{"north-a": 39, "north-b": 47}

// machineZones are the zones of the site's machines.
var machineZones = []string{
	"north-a", "north-a", "north-a", "central-a", "central-a", "south-a", "south-a", "north-b", "north-b", "north-b", "central-b", "south-b",
}

// listing counts the answers of the directory that name a machine which was lost.
type listing struct {
	site *site

	mu     sync.Mutex
	lost   *machine // nil: none
	lostAt time.Time
	asked  int
	named  map[string]int // by the machine that answered
}

// deadListed is the case of a machine that is lost for good before others are restarted.
func deadListed(s *site, trouble bool) (broken bool, err error) {
	s.putConfig(1, "catalogue", route{
		"host": "jepu9.example", "pathPrefix": "/lot/", "kind": "idempotent", "timeoutS": 0.8, "targetLatencyS": 0.3, "priority": 2,
		"service": "catalogue", "maxAttempts": 2, "sticky": true, "homeRegions": []string{},
	})
	for _, zone := range machineZones {
		if _, err := s.startUpstream("catalogue", zone, "v1", slots, 1000, 100*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.startMachines(machineZones...); err != nil {
		return false, err
	}
	time.Sleep(2 * contactS)
	x := &listing{site: s, named: make(map[string]int)}
	stop, stopClients := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopClients()
	for zone, count := range clientsIn {
		for range count {
			clients.Go(func() { x.askRepeatedly(stop, zone) })
		}
	}
	if trouble {
		x.lose(lostMachine)
	}
	time.Sleep(lostFor + lostMargin)
	for range rolls {
		if err := s.rollRegion("north"); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * contactS)
	return x.judge(), nil
}

// rollRegion stops and starts the machines of a region in turn, except for the one that is lost.
func (s *site) rollRegion(region string) error {
	for _, m := range s.machines {
		if zones[m.zone] != region || m.name == lostMachine {
			continue
		}
		if err := m.roll(); err != nil {
			return err
		}
	}
	return nil
}

// lose kills a machine for good.
func (x *listing) lose(name string) {
	i := slices.IndexFunc(x.site.machines, func(m *machine) bool { return m.name == name })
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lost, x.lostAt = x.site.machines[i], time.Now()
	x.lost.kill()
}

// roll stops a machine as planned, starts it again and waits for rollGap.
func (m *machine) roll() error {
	m.signal(syscall.SIGTERM)
	m.awaitEnd()
	m.site.log("%s has ended", m.name)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		return err
	}
	time.Sleep(rollGap)
	return nil
}

// askRepeatedly is one client of a zone. It asks again when the answer that it holds has expired.
func (x *listing) askRepeatedly(stop context.Context, zone string) {
	for stop.Err() == nil {
		x.askNearest(zone)
		select {
		case <-time.After(maxHold + rand.N(maxHold/10)):
		case <-stop.Done():
		}
	}
}

// askNearest asks up to maxAsked machines, those of the zone first, until one answers.
func (x *listing) askNearest(zone string) {
	near := slices.Clone(x.site.machines)
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	distance := func(m *machine) int {
		switch {
		case m.zone == zone:
			return 0
		case zones[m.zone] == zones[zone]:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(near, func(a, b *machine) int { return distance(a) - distance(b) })
	for _, m := range near[:maxAsked] {
		if addresses := ask(m, zone); len(addresses) > 0 {
			x.record(m, zone, addresses, time.Now())
			return
		}
	}
}

// ask asks one machine. It returns no addresses if that fails.
func ask(m *machine, zone string) []string {
	c := http.Client{Timeout: askTimeout}
	q := url.Values{"name": {"jepu9.example"}, "region": {zones[zone]}, "zone": {zone}}
	res, err := c.Get("http://" + m.listen["directory"] + wire.Resolve + "?" + q.Encode())
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// record counts an answer if the rule counts it.
func (x *listing) record(m *machine, zone string, addresses []string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.asked++
	if x.lost == nil || !slices.Contains(addresses, x.lost.listen["front"]) {
		return
	}
	dead, since := now.Sub(x.lostAt), m.undisturbed(now)
	beside := slices.ContainsFunc(x.site.machines, func(o *machine) bool { return o.running() && slices.Contains(addresses, o.listen["front"]) })
	counts := dead > lostFor && since >= contactS && beside
	x.site.log("%s, undisturbed for %.3f s, names %s, dead for %.3f s, among %d to a client of %s: counts %t",
		m.name, since.Seconds(), x.lost.name, dead.Seconds(), len(addresses), zone, counts)
	if counts {
		x.named[m.name]++
	}
}

// judge reports whether more answers than the rule allows name the machine.
func (x *listing) judge() (broken bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, count := range x.named {
		n += count
	}
	x.site.log("%d answers, %d of machines in touch name a machine that was lost before, beside one that runs: %v", x.asked, n, x.named)
	return n > maxDeadNamed
}
