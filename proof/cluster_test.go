// SPDX-License-Identifier: MIT

package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
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

// cluster is a complete deployment that runs as separate processes: the platform
// stand-in, the backend servers of three regions, and the entries.
type cluster struct {
	t        testing.TB
	size     fleet.Spec
	platform *program.Process
	base     string              // URL of the platform stand-in
	regions  [3]*program.Process // process of the backend servers of each region
	backends []backendInfo       // index is the number of the backend server
	entries  []*instance
	listed   []platform.Instance // instances on the list of the platform
	op       *operator.Client
	grace    time.Duration
	queue    bool
	journal  string
	ports    fleet.Ports
}

// backendInfo describes one backend server.
type backendInfo struct {
	name       string
	listen     netip.AddrPort // address on which the stand-in listens
	configured netip.AddrPort // address in the configuration
	region     int
}

// instance is one entry process and its addresses.
type instance struct {
	*program.Process
	name  string
	hall  string
	front string
	peer  string
	admin string
}

// clusterOptions are the size and the settings of a cluster.
type clusterOptions struct {
	size    fleet.Spec
	entries int
	work    time.Duration // mean time of work for one request at a backend server
	// proxy, if set, returns the address to configure for a backend server that
	// listens on the given address.
	proxy func(netip.AddrPort) netip.AddrPort
	grace time.Duration // grace period of the entries; 0 means the default
	queue bool          // backend servers queue the requests beyond their slots
}

const hallCount = 6 // two in each region

// newCluster starts a cluster, applies its configuration, and waits until the
// configuration is in force and every token has an owner.
func newCluster(t testing.TB, o clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, size: o.size, grace: o.grace, queue: o.queue, journal: filepath.Join(t.TempDir(), "journal")}
	listen := c.takeAddresses(1)[0]
	c.base = "http://" + listen.String()
	c.platform = startCommand(t, "platform", "standin", "platform", "--listen", listen.String())
	c.backends = make([]backendInfo, o.size.Backends())
	for region := range c.regions {
		c.startBackends(region, o.work, o.proxy)
	}
	program.Eventually(t, 10*time.Second, "the platform listens", func() bool {
		return putJSON(c.base+"/standin/fault", standplatform.Fault{}) == nil
	})
	for i := range o.entries {
		c.startEntry(fmt.Sprintf("entry-%d", i), i)
	}
	c.waitReady()
	c.apply(o.size.Resources(c.configuredAddresses())...)
	c.waitTokensOwned()
	return c
}

// takeAddresses returns n free addresses with consecutive ports.
func (c *cluster) takeAddresses(n int) []netip.AddrPort {
	c.t.Helper()
	ps, err := c.ports.Allocate(n)
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

// startBackends assigns addresses to the backend servers of a region, starts them
// and waits until they listen. proxy may be nil.
func (c *cluster) startBackends(region int, work time.Duration, proxy func(netip.AddrPort) netip.AddrPort) {
	ns := c.backendNumbers(region)
	ps := c.takeAddresses(len(ns))
	prefix := c.size.Regions[region] + "/"
	for j, n := range ns {
		info := backendInfo{name: prefix + strconv.Itoa(j), listen: ps[j], configured: ps[j], region: region}
		if proxy != nil {
			info.configured = proxy(ps[j])
		}
		c.backends[n] = info
	}
	c.runBackends(region, work)
	program.Eventually(c.t, 10*time.Second, "the backend servers listen", func() bool {
		return putJSON("http://"+ps[len(ps)-1].String()+"/standin/fault", backend.Fault{}) == nil
	})
}

// runBackends starts the process of a region's backend servers. It also restarts
// them after a kill.
func (c *cluster) runBackends(region int, work time.Duration) {
	ns := c.backendNumbers(region)
	c.regions[region] = startCommand(c.t, "backends-"+c.size.Regions[region], "standin", "backend",
		"--queue="+strconv.FormatBool(c.queue), "--listen", c.backends[ns[0]].listen.String(), "--name", c.size.Regions[region]+"/",
		"--count", strconv.Itoa(len(ns)), "--slots", strconv.Itoa(c.size.Slots), "--work", work.String(),
		"--journal", c.journal)
}

// configuredAddresses returns the addresses of all backend servers in the
// configuration, by number.
func (c *cluster) configuredAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, u := range c.backends {
		out = append(out, u.configured)
	}
	return out
}

// serviceAndRegion returns the service and the region of the backend server that
// has the given name in records.
func (c *cluster) serviceAndRegion(name string) (service, region string) {
	for i, u := range c.backends {
		if u.name == name {
			return c.size.ServiceOf(i), c.size.Regions[u.region]
		}
	}
	return "", ""
}

// startEntry adds an entry in the hall with the given number to the platform's
// list of instances and starts it.
func (c *cluster) startEntry(name string, number int) *instance {
	ps := c.takeAddresses(3)
	e := &instance{
		name: name, hall: c.size.HallOf(number),
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

// runEntry starts the process of an entry. It also restarts one that has ended.
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

// publishInstances sends the current list of instances to the platform stand-in.
func (c *cluster) publishInstances() {
	_ = putJSON(c.base+"/standin/instances", c.listed) // fails while the platform is not yet up, which does no harm
}

// removeInstance removes an instance from the platform's list.
func (c *cluster) removeInstance(name string) {
	var remaining []platform.Instance
	for _, i := range c.listed {
		if i.Name != name {
			remaining = append(remaining, i)
		}
	}
	c.listed = remaining
	c.publishInstances()
}

// waitReady waits until all entries are ready.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, e := range c.entries {
		c.waitEntryReady(e)
	}
}

// waitEntryReady waits until an entry reports that it is ready.
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

// apply writes resources and waits until they are in force at all entries.
func (c *cluster) apply(rs ...version.Resource) admin.ApplyResponse {
	c.t.Helper()
	applied, err := c.op.Apply(context.Background(), rs)
	assert.NilError(c.t, err)
	_, err = c.op.WaitInForce(context.Background(), applied.Version, 13*time.Second)
	assert.NilError(c.t, err)
	return applied
}

// waitTokensOwned waits until every token has an owner.
func (c *cluster) waitTokensOwned() {
	c.t.Helper()
	program.Eventually(c.t, 20*time.Second, "every token has an owner", func() bool {
		st, err := c.op.Status(context.Background())
		if err != nil {
			return false
		}
		owned, size := make(map[string]int32), make(map[string]int32)
		for _, e := range st.Entries {
			for _, p := range e.Pools {
				owned[p.Pool] += p.Home
				size[p.Pool] = p.Size
			}
		}
		for pool, n := range size {
			if owned[pool] < n {
				return false
			}
		}
		return len(size) > 0
	})
}

// callers returns one client for each of the halls, by default for all of them.
// Each client knows the addresses of all entries.
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
		cl.Address = c.size.ClientAddress(h)
		out = append(out, cl)
	}
	return out
}

// mix returns the kinds of requests that tests send: reads, commits that may run at
// most once, and uploads.
func (c *cluster) mix() []load.Kind {
	s := &c.size
	return []load.Kind{
		{Name: "read", Service: s.ReadService, Method: "GET", Path: "/lots", Weight: 70, ResponseSize: 4096, Timeout: 4 * time.Second},
		{Name: "commit", Service: s.LedgerService, Method: "POST", Path: "/bids", Weight: 20, AtMostOnce: true, BodySize: 200, ResponseSize: 200, Timeout: 6 * time.Second},
		{Name: "upload", Service: s.UploadService, Method: "POST", Path: "/videos", Weight: 10, BodySize: 200 << 10, ResponseSize: 100, Timeout: 12 * time.Second},
	}
}

// runUnderLoad runs a script while load is sent. It verifies the outcomes against
// the records of the backend servers. The load generator is a process of the command:
// in the test's own process, which has the race detector, it needs several times the
// processor time of the entries, and on a busy machine its requests time out before
// they are sent.
func (c *cluster) runUnderLoad(o load.Options, script func()) (*load.Report, []load.Outcome) {
	c.t.Helper()
	file := filepath.Join(c.t.TempDir(), "outcomes")
	args := []string{"load", "--outcomes", file, "--rate", strconv.FormatFloat(o.Rate, 'g', -1, 64), "--duration", o.Duration.String()}
	args = append(args, "--entries", strings.Join(o.Clients[0].Seeds, ","))
	for _, cl := range o.Clients {
		args = append(args, "--clients", cl.Address)
	}
	for _, k := range o.Mix {
		args = append(args, "--kind", k.String())
	}
	generator := startCommand(c.t, "load", args...)
	script()
	<-generator.Done()
	b, err := os.ReadFile(file)
	assert.NilError(c.t, err, "%s", generator.Log(c.t))
	var outcomes []load.Outcome
	assert.NilError(c.t, json.Unmarshal(b, &outcomes))
	rep := load.Verify(o.Mix, outcomes, c.records())
	var table bytes.Buffer
	rep.Print(&table)
	c.t.Logf("\n%s", table.String())
	c.logDelays()
	return rep, outcomes
}

// logDelays logs where requests spent their time at the entries: the metrics of stages and of
// scheduling delay, over all entries that run.
func (c *cluster) logDelays() {
	type sum struct{ count, total, p50, p99 float64 }
	sums := make(map[string]*sum)
	for _, e := range c.entries {
		res, err := http.Get("http://" + e.admin + "/metrics")
		if err != nil {
			continue // it was killed
		}
		lines := bufio.NewScanner(res.Body)
		for lines.Scan() {
			m := delayMetric.FindStringSubmatch(lines.Text())
			if m == nil {
				continue
			}
			if sums[m[2]] == nil {
				sums[m[2]] = &sum{}
			}
			s := sums[m[2]]
			v, err := strconv.ParseFloat(m[4], 64)
			assert.NilError(c.t, err)
			switch m[1] + m[3] {
			case "_count":
				s.count += v
			case "_sum":
				s.total += v
			case "0.5":
				s.p50 = max(s.p50, v)
			case "0.99":
				s.p99 = max(s.p99, v)
			}
		}
		_ = res.Body.Close()
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		s := sums[name]
		c.t.Logf("%-10s %8.0f times, mean %8.2f ms, largest p50 %8.2f ms, largest p99 %8.2f ms", name, s.count, s.total/s.count/1000, s.p50/1000, s.p99/1000)
	}
}

// delayMetric matches the samples of the histograms of delays: suffix, label, quantile and value.
var delayMetric = regexp.MustCompile(`^shalewick_(?:stage|scheduling_delay)_us(_count|_sum|)\{(?:stage|source)="([a-z-]+)"(?:,quantile="(0\.[0-9]+)")?\} ([0-9]+)$`)

// records returns the requests that the backend servers ran, from their journal. A
// record that has no end, since its backend server was killed, ends at the last line's time.
func (c *cluster) records() []backend.Record {
	c.t.Helper()
	time.Sleep(50 * time.Millisecond) // until the last lines are written
	b, err := os.ReadFile(c.journal)
	assert.NilError(c.t, err)
	type key struct {
		backend string
		seq     int
		start   time.Time
	}
	index := make(map[key]int)
	var out []backend.Record
	dec := json.NewDecoder(bytes.NewReader(b))
	for dec.More() {
		var r backend.Record
		if dec.Decode(&r) != nil {
			break // a killed process left its last line incomplete
		}
		k := key{r.Backend, r.Seq, r.Start}
		if i, ok := index[k]; ok {
			out[i] = r
			continue
		}
		index[k] = len(out)
		out = append(out, r)
	}
	return out
}

// peakConcurrency returns the maximum number of requests that ran concurrently at
// one backend server.
func (c *cluster) peakConcurrency() int {
	c.t.Helper()
	peak := 0
	for _, r := range c.records() {
		peak = max(peak, r.Concurrent)
	}
	return peak
}

// platformFault replaces the fault of the platform stand-in.
func (c *cluster) platformFault(f standplatform.Fault) {
	c.t.Helper()
	assert.NilError(c.t, putJSON(c.base+"/standin/fault", f))
}

// backendFault replaces the fault of the backend server with a number.
func (c *cluster) backendFault(i int, f backend.Fault) {
	c.t.Helper()
	assert.NilError(c.t, putJSON("http://"+c.backends[i].listen.String()+"/standin/fault", f))
}

// putJSON sends a value as JSON with PUT.
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

// getJSON decodes a JSON response into v.
func getJSON(url string, v any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(v)
}
