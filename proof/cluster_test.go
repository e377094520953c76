// SPDX-License-Identifier: MIT

package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/caller"
	"shalewick/load"
	"shalewick/operator"
	"shalewick/process/admin"
	"shalewick/process/platform"
	"shalewick/standin/backend"
	"shalewick/standin/fleet"
	standplatform "shalewick/standin/platform"
	"shalewick/standin/program"
	"shalewick/version"
)

// cluster is a whole deployment as separate processes.
type cluster struct {
	t        testing.TB
	size     fleet.Size
	platform *program.Process
	base     string              // URL of the platform
	regions  [3]*program.Process // backends of each region
	backends []backendInfo       // by number
	entries  []*instance
	listed   []platform.Instance
	op       *operator.Client
	grace    time.Duration
	queue    bool
	journal  string
	ports    fleet.Ports
}

// serverInfo is one backend server.
type backendInfo struct {
	name       string
	listen     netip.AddrPort // of the stand-in
	configured netip.AddrPort // in the configuration
	region     int
}

// instance is one entry.
type instance struct {
	*program.Process
	name  string
	hall  string
	front string
	peer  string
	admin string
}

// shape says what a cluster is made of.
type clusterOptions struct {
	size    fleet.Size
	entries int
	work    time.Duration
	// through, if set, returns the address to configure for a backend server.
	proxy func(netip.AddrPort) netip.AddrPort
	grace time.Duration
	queue bool // backends queue what is beyond their slots
}

const hallCount = 6

func newCluster(t testing.TB, s clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, size: s.size, grace: s.grace, queue: s.queue, journal: filepath.Join(t.TempDir(), "journal")}
	listen := c.takeAddresses(1)[0]
	c.base = "http://" + listen.String()
	c.platform = startCommand(t, "platform", "standin", "platform", "--listen", listen.String())
	c.backends = make([]backendInfo, s.size.Backends())
	for region := range c.regions {
		c.startBackends(region, s.work, s.proxy)
	}
	program.Eventually(t, 10*time.Second, "the platform listens", func() bool {
		return putJSON(c.base+"/standin/fault", standplatform.Fault{}) == nil
	})
	for i := range s.entries {
		c.startEntry(fmt.Sprintf("entry-%d", i), i)
	}
	c.waitReady()
	c.apply(s.size.Resources(c.configuredAddresses())...)
	c.waitTokensOwned()
	return c
}

// take returns n adjoining free addresses.
func (c *cluster) takeAddresses(n int) []netip.AddrPort {
	c.t.Helper()
	ps, err := c.ports.Take(n)
	assert.NilError(c.t, err)
	return ps
}

// numbers returns the numbers of the backend servers of a region.
func (c *cluster) backendNumbers(region int) []int {
	var out []int
	for i := range c.backends {
		if i%hallCount/2 == region {
			out = append(out, i)
		}
	}
	return out
}

func (c *cluster) startBackends(region int, work time.Duration, through func(netip.AddrPort) netip.AddrPort) {
	ns := c.backendNumbers(region)
	ps := c.takeAddresses(len(ns))
	prefix := c.size.Regions[region] + "/"
	for j, n := range ns {
		info := backendInfo{name: prefix + strconv.Itoa(j), listen: ps[j], configured: ps[j], region: region}
		if through != nil {
			info.configured = through(ps[j])
		}
		c.backends[n] = info
	}
	c.runBackends(region, work)
	program.Eventually(c.t, 10*time.Second, "the backend servers listen", func() bool {
		return putJSON("http://"+ps[len(ps)-1].String()+"/standin/fault", backend.Fault{}) == nil
	})
}

// runBackends starts the process of a region's backend servers, also after a kill.
func (c *cluster) runBackends(region int, work time.Duration) {
	ns := c.backendNumbers(region)
	c.regions[region] = startCommand(c.t, "backends-"+c.size.Regions[region], "standin", "backend",
		"--queue="+strconv.FormatBool(c.queue), "--listen", c.backends[ns[0]].listen.String(), "--name", c.size.Regions[region]+"/",
		"--count", strconv.Itoa(len(ns)), "--slots", strconv.Itoa(c.size.Slots), "--work", work.String(),
		"--journal", c.journal)
}

func (c *cluster) configuredAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, u := range c.backends {
		out = append(out, u.configured)
	}
	return out
}

// place returns service and region of a backend server by its name in records.
func (c *cluster) serviceAndRegion(name string) (service, region string) {
	for i, u := range c.backends {
		if u.name == name {
			return c.size.ServiceOf(i), c.size.Regions[u.region]
		}
	}
	return "", ""
}

// startEntry starts an entry in the hall of a number and lists it.
func (c *cluster) startEntry(name string, number int) *instance {
	ps := c.takeAddresses(3)
	e := &instance{
		name: name, hall: c.size.Hall(number),
		front: ps[0].String(), peer: ps[1].String(), admin: ps[2].String(),
	}
	c.listed = append(c.listed, platform.Instance{Name: name, State: platform.StateLive})
	c.publishInstances()
	c.runEntry(e)
	c.entries = append(c.entries, e)
	var admins []string
	for _, e := range c.entries {
		admins = append(admins, e.admin)
	}
	c.op = operator.New(admins)
	return e
}

// runEntry starts the process of an entry, also after its end.
func (c *cluster) runEntry(e *instance) {
	args := []string{
		"entry", "--instance", e.name, "--hall", e.hall, "--front", e.front, "--peer", e.peer,
		"--admin", e.admin, "--platform", c.base,
	}
	for _, other := range c.entries {
		args = append(args, "--peers", other.peer)
	}
	if c.grace > 0 {
		args = append(args, "--grace", c.grace.String())
	}
	e.Process = startCommand(c.t, e.name, args...)
}

// list tells the platform the present list of instances.
func (c *cluster) publishInstances() {
	_ = putJSON(c.base+"/standin/instances", c.listed) // fails before the platform is up, when it does not matter
}

// unlist takes an instance off the list.
func (c *cluster) removeInstance(name string) {
	var keep []platform.Instance
	for _, i := range c.listed {
		if i.Name != name {
			keep = append(keep, i)
		}
	}
	c.listed = keep
	c.publishInstances()
}

// ready waits until all entries serve.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, e := range c.entries {
		c.waitEntryReady(e)
	}
}

func (c *cluster) waitEntryReady(e *instance) {
	c.t.Helper()
	program.Eventually(c.t, 20*time.Second, e.name+" is ready", func() bool {
		res, err := http.Get("http://" + e.admin + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// apply writes resources and waits until they are in force everywhere.
func (c *cluster) apply(rs ...version.Resource) admin.ApplyResponse {
	c.t.Helper()
	applied, err := c.op.Apply(context.Background(), rs)
	assert.NilError(c.t, err)
	_, err = c.op.WaitInForce(context.Background(), applied.Version, 13*time.Second)
	assert.NilError(c.t, err)
	return applied
}

// settle waits until every token has a home.
func (c *cluster) waitTokensOwned() {
	c.t.Helper()
	program.Eventually(c.t, 20*time.Second, "every token has a home", func() bool {
		st, err := c.op.Status(context.Background())
		if err != nil {
			return false
		}
		home, size := make(map[string]int32), make(map[string]int32)
		for _, e := range st.Entries {
			for _, p := range e.Pools {
				home[p.Pool] += p.Home
				size[p.Pool] = p.Size
			}
		}
		for pool, n := range size {
			if home[pool] < n {
				return false
			}
		}
		return len(size) > 0
	})
}

// callers returns one client for each hall, that starts from all entries.
func (c *cluster) callers(hallNumbers ...int) []*caller.Client {
	var known []string
	for _, e := range c.entries {
		known = append(known, e.front)
	}
	if len(hallNumbers) == 0 {
		hallNumbers = []int{0, 1, 2, 3, 4, 5}
	}
	var out []*caller.Client
	for _, h := range hallNumbers {
		cl := caller.New(known)
		cl.Address = c.size.Client(h)
		out = append(out, cl)
	}
	return out
}

// mix returns requests of all classes.
func (c *cluster) mix() []load.Kind {
	s := &c.size
	return []load.Kind{
		{Name: "read", Service: s.Read, Method: "GET", Path: "/lots", Weight: 70, ResponseSize: 4096, Timeout: 4 * time.Second},
		{Name: "commit", Service: s.Ledger, Method: "POST", Path: "/bids", Weight: 20, AtMostOnce: true, BodySize: 200, ResponseSize: 200, Timeout: 6 * time.Second},
		{Name: "upload", Service: s.Upload, Method: "POST", Path: "/videos", Weight: 10, BodySize: 200 << 10, ResponseSize: 100, Timeout: 12 * time.Second},
	}
}

// underLoad runs a script while load is sent, and judges the outcomes.
func (c *cluster) runUnderLoad(o load.Options, script func()) (*load.Report, []load.Outcome) {
	c.t.Helper()
	var outcomes []load.Outcome
	var err error
	done := make(chan struct{})
	go func() {
		outcomes, err = load.Run(context.Background(), o)
		close(done)
	}()
	script()
	<-done
	assert.NilError(c.t, err)
	rep := load.Verify(o.Mix, outcomes, c.records())
	var table bytes.Buffer
	rep.Print(&table)
	c.t.Logf("\n%s", table.String())
	return rep, outcomes
}

// records returns what the backend servers ran, from their journal. A record that
// has no end, since its backend server was killed, ends at the last line's time.
func (c *cluster) records() []backend.Record {
	c.t.Helper()
	time.Sleep(50 * time.Millisecond) // lets the last lines be written
	b, err := os.ReadFile(c.journal)
	assert.NilError(c.t, err)
	type key struct {
		backend string
		seq     int
		start   time.Time
	}
	place := make(map[key]int)
	var out []backend.Record
	dec := json.NewDecoder(bytes.NewReader(b))
	for dec.More() {
		var r backend.Record
		if dec.Decode(&r) != nil {
			break // the last line of a killed process
		}
		k := key{r.Backend, r.Seq, r.Start}
		if i, ok := place[k]; ok {
			out[i] = r
			continue
		}
		place[k] = len(out)
		out = append(out, r)
	}
	return out
}

// peak returns the most requests that ran at once at any backend server.
func (c *cluster) peakConcurrency() int {
	c.t.Helper()
	most := 0
	for _, r := range c.records() {
		most = max(most, r.AtOnce)
	}
	return most
}

func (c *cluster) platformFault(f standplatform.Fault) {
	c.t.Helper()
	assert.NilError(c.t, putJSON(c.base+"/standin/fault", f))
}

func (c *cluster) backendFault(i int, f backend.Fault) {
	c.t.Helper()
	assert.NilError(c.t, putJSON("http://"+c.backends[i].listen.String()+"/standin/fault", f))
}

// put sends a value as JSON.
func putJSON(url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// getJSON reads a JSON answer.
func getJSON(url string, v any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(v)
}
