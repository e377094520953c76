// SPDX-License-Identifier: MIT

/*
Command 3 is a case of the review. The platform stops and starts the instances in turn, with SIGTERM.
Clients keep a connection for many requests, and some hold the answers of the directory for three times
their time. It checks that no request is lost that an instance had passed on to an upstream.
*/
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"shalewick/review/harness"
)

const (
	instances = 6
	upstreams = 40
	slots     = 8

	// clients keep one connection each and send a request on it every minPeriod to minPeriod+periodSpread.
	clients      = 2000
	minPeriod    = 5 * time.Second
	periodSpread = time.Second
	// One client in longHolders holds an answer for holdFactor times its time.
	longHolders = 3
	holdFactor  = 3
	maxTTL      = 5 * time.Second // ttl_max_s
	// failedFor is how long a client skips an address that has failed.
	failedFor = 2 * time.Second

	budget     = 3 * time.Second
	timeout    = 2500 * time.Millisecond // of the route
	meanWork   = 640 * time.Millisecond
	workSpread = 100 * time.Millisecond

	stops       = 7
	warmUp      = 12 * time.Second        // until the clients have their connections
	pauseAfter  = 3200 * time.Millisecond // between a restart and the next stop, longer than contactS
	restartTime = time.Second
	grace       = 6 * time.Second // graceS, after which the platform kills a process
	drainTime   = 4 * time.Second

	// Requests that were sent up to excusedSent after SIGTERM, and at which the upstream is at work
	// in the last sixth of the grace period, may be cut. So may those that have used usedShare of
	// their time.
	excusedSent = 3 * time.Second
	lastSixth   = grace - grace/6
	usedShare   = 0.7

	host   = "jepu9.example"
	path   = "/xapu221/ny95/2f"
	prefix = "/xapu221/ny95/"
)

// request is what was seen of a request.
type request struct {
	instance string
	sentAt   time.Time // its last byte
	ranAt    time.Time // zero: it did not run
	endedAt  time.Time // when the client got an answer, or the connection ended
	answer   harness.Answer
}

// stop is a SIGTERM to an instance.
type stop struct {
	instance string
	at       time.Time
}

// site holds what the stand-ins saw.
type site struct {
	record     *harness.Record
	deployment *harness.Deployment

	mu       sync.Mutex
	requests map[string]*request
	stops    []stop
}

func (s *site) with(id string, f func(*request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[id] == nil {
		s.requests[id] = new(request)
	}
	f(s.requests[id])
}

// handle serves a request at an upstream.
func (s *site) handle(u *harness.Upstream, c net.Conn, r *http.Request) bool {
	id := r.Header.Get(harness.Wire.ID)
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		return false
	}
	s.with(id, func(x *request) { x.ranAt = time.Now() })
	s.record.Printf("ran %s at %s", id, u.ID)
	time.Sleep(meanWork - workSpread + rand.N(2*workSpread))
	text := "answer to " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\n%s: 1,0,8\r\nContent-Length: %d\r\n\r\n%s",
		harness.Wire.ID, id, harness.Wire.Seal, id, harness.Wire.Load, len(text), text)
	return err == nil
}

// client is one client with its answer of the directory and its connection.
type client struct {
	site *site
	n    int
	zone string
	hold time.Duration // factor of the time of an answer

	addresses []string
	until     time.Time // when the answer expires
	conn      harness.Client
	address   string               // that conn is open to
	failed    map[string]time.Time // addresses that refused a connection lately
}

// refresh asks the directory again if the answer has expired, the nearest instances first.
func (c *client) refresh() {
	if time.Now().Before(c.until) {
		return
	}
	asked := 0
	for _, near := range []bool{true, false} {
		for _, x := range c.site.deployment.Instances {
			if (x.Zone == c.zone) != near || asked == 3 {
				continue
			}
			asked++
			addresses, ttl, err := resolve(x.Directory, c.zone)
			if err != nil {
				continue
			}
			c.addresses, c.until = addresses, time.Now().Add(min(ttl, maxTTL)*c.hold)
			if !slices.Contains(addresses, c.address) {
				c.conn.Close()
			}
			return
		}
	}
}

// directoryClient asks the directory.
var directoryClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// resolve asks the directory at an address.
func resolve(address, zone string) (addresses []string, ttl time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q := url.Values{"name": {host}, "region": {harness.Zones[zone]}, "zone": {zone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+harness.Wire.Resolve+"?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	res, err := directoryClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	if res.StatusCode != http.StatusOK || len(out.Addresses) == 0 {
		return nil, 0, errors.New("no addresses")
	}
	return out.Addresses, time.Duration(out.TTL * float64(time.Second)), nil
}

// open chooses an address for a new connection unless one is open, and reports whether there is any.
func (c *client) open() bool {
	if c.conn.Conn() != nil {
		return true
	}
	usable := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return time.Since(c.failed[a]) < failedFor })
	if len(usable) == 0 {
		return false
	}
	c.address = usable[rand.IntN(len(usable))]
	return true
}

// run sends a request in each period until a time.
func (c *client) run(until time.Time) {
	defer c.conn.Close()
	period := minPeriod + rand.N(periodSpread)
	next := time.Now().Add(rand.N(2 * period)) // the answers of the directory expire at different times then
	for i := 0; next.Before(until); i++ {
		time.Sleep(time.Until(next))
		next = next.Add(period)
		c.refresh()
		if c.open() {
			c.send(fmt.Sprintf("c%04d.%04d", c.n, i))
		}
	}
}

// send sends a request.
func (c *client) send(id string) {
	r := harness.Request{Method: http.MethodPost, Host: host, Path: path, ID: id, Key: id, Budget: budget}
	if err := c.conn.Open(c.address, budget); err != nil {
		c.failed[c.address] = time.Now()
		return
	}
	body := bytes.Repeat([]byte{'c'}, 300)
	if _, err := c.conn.Conn().Write(append(r.Head(fmt.Sprintf("Content-Length: %d", len(body))), body...)); err != nil {
		c.conn.Close()
		return
	}
	sent := time.Now()
	name := c.site.nameOf(c.address)
	c.site.with(id, func(x *request) { x.instance, x.sentAt = name, sent })
	c.site.record.Printf("sent %s to %s", id, name)
	answer := c.conn.Read(r.Method)
	ended := time.Now()
	c.site.with(id, func(x *request) { x.endedAt, x.answer = ended, answer })
	c.site.record.Printf("answered %s after %d ms: %d %v", id, ended.Sub(sent).Milliseconds(), answer.Status, answer.Err)
}

func (s *site) nameOf(front string) string {
	for _, x := range s.deployment.Instances {
		if x.Front == front {
			return x.Name
		}
	}
	return front
}

// roll stops and starts the instances in turn.
func (s *site) roll() error {
	for n := range stops {
		x := s.deployment.Instances[n%instances]
		at := time.Now()
		s.record.Printf("SIGTERM to %s", x.Name)
		x.Signal(syscall.SIGTERM)
		select {
		case <-x.Done():
		case <-time.After(grace):
			s.record.Printf("SIGKILL to %s", x.Name)
			x.Kill()
		}
		s.record.Printf("%s has ended after %d ms", x.Name, time.Since(at).Milliseconds())
		s.mu.Lock()
		s.stops = append(s.stops, stop{instance: x.Name, at: at})
		s.mu.Unlock()
		time.Sleep(restartTime)
		if err := x.Restart(); err != nil {
			return err
		}
		if err := x.AwaitReady(); err != nil {
			return err
		}
		time.Sleep(pauseAfter)
	}
	return nil
}

// lost returns the requests that were lost around a stop.
func (s *site) lost() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, x := range s.requests {
		if x.answer.Status != 0 || x.sentAt.IsZero() || x.endedAt.IsZero() || x.ranAt.IsZero() {
			continue // answered, or not passed on
		}
		took := x.endedAt.Sub(x.sentAt)
		if took >= time.Duration(usedShare*float64(timeout)) {
			continue
		}
		for _, t := range s.stops {
			sent, ended := x.sentAt.Sub(t.at), x.endedAt.Sub(t.at)
			if t.instance != x.instance || ended < 0 || ended > grace+time.Second {
				continue
			}
			if sent <= excusedSent && ended >= lastSixth {
				continue
			}
			out = append(out, fmt.Sprintf("%s, sent to %s %d ms after its SIGTERM, ran from %d ms on; its connection ended at %d ms (%v)",
				id, x.instance, sent.Milliseconds(), x.ranAt.Sub(t.at).Milliseconds(), ended.Milliseconds(), x.answer.Err))
		}
	}
	slices.Sort(out)
	return out
}

func main() { os.Exit(runCase()) }

func runCase() int {
	record, err := harness.NewRecord(filepath.Join("review", "3", "record.txt"))
	if err != nil {
		return harness.Fail(err)
	}
	defer record.Close()
	d, err := harness.Start(instances, harness.Config{
		Version: "00000007",
		Routes: map[string]harness.Route{"r-exd9dnn": {
			Host: host, PathPrefix: prefix, Kind: "non_idempotent", TimeoutS: timeout.Seconds(), TargetLatencyS: 1, Priority: 1, Service: "wuno96b", MaxAttempts: 2,
		}},
		Services: map[string]harness.Service{"wuno96b": harness.DefaultService()},
		Limits:   harness.DefaultLimits(),
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return harness.Fail(err)
	}
	s := &site{record: record, deployment: d, requests: make(map[string]*request)}
	started, err := d.StartUpstreams("wuno96b", upstreams, slots, s.handle)
	if err != nil {
		return harness.Fail(err)
	}
	for _, u := range started {
		defer u.Close()
	}
	if err := d.AwaitReady(); err != nil {
		return harness.Fail(err)
	}
	time.Sleep(4 * time.Second) // contactS, and the end of the start
	until := time.Now().Add(warmUp + stops*(grace+restartTime+pauseAfter))
	var group sync.WaitGroup
	for n := range clients {
		c := &client{
			site: s, n: n, zone: d.Instances[n%len(harness.Zones)].Zone, hold: 1,
			conn: harness.Client{Source: harness.ClientIP(n)}, failed: make(map[string]time.Time),
		}
		if n/len(harness.Zones)%longHolders == 0 {
			c.hold = holdFactor
		}
		group.Go(func() { c.run(until) })
	}
	time.Sleep(warmUp)
	if harness.Trouble() {
		if err := s.roll(); err != nil {
			return harness.Fail(err)
		}
	}
	group.Wait()
	time.Sleep(drainTime)
	return s.report()
}

// report writes the outcome, and returns the exit code.
func (s *site) report() int {
	lost := s.lost()
	served := 0
	for _, x := range s.requests {
		if x.answer.Status == http.StatusOK {
			served++
		}
	}
	summary := fmt.Sprintf("%d requests, %d served, %d stops", len(s.requests), served, len(s.stops))
	s.record.Printf("%s", summary)
	fmt.Println(summary)
	for _, line := range lost {
		s.record.Printf("LOST broken: %s", line)
	}
	if len(lost) > 0 {
		fmt.Printf("LOST broken %d times, first: %s\n", len(lost), lost[0])
	}
	if served < len(s.requests)/2 || served == 0 {
		return harness.Fail(errors.New("less than half of the requests are served"))
	}
	if len(lost) > 0 {
		return harness.ExitBroken
	}
	return harness.ExitHeld
}
