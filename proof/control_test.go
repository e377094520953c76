// SPDX-License-Identifier: MIT

package proof

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/standin/fleet"
)

// BenchmarkControl measures the overhead of the control plane without load, by the number
// of entries: CPU time and memory of each entry, traffic between entries, and calls to the
// platform.
// Its results are published in docs/CAPACITY.md.
func BenchmarkControl(b *testing.B) {
	const interval = 10 * time.Second
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(b, clusterOptions{size: fleet.Caroni(), entries: n, work: time.Millisecond})
			time.Sleep(3 * time.Second) // until the startup work has ended
			for range b.N {
				cpu, bytes, calls := c.controlCost(b)
				time.Sleep(interval)
				cpu2, bytes2, calls2 := c.controlCost(b)
				entrySeconds := interval.Seconds() * float64(n)
				b.ReportMetric((cpu2-cpu)/entrySeconds*100, "%core/entry")
				b.ReportMetric((bytes2-bytes)/entrySeconds, "B/s/entry")
				b.ReportMetric((calls2-calls)/interval.Seconds(), "platform-calls/s")
				b.ReportMetric(c.residentMemory(b)/float64(n), "MB/entry")
			}
		})
	}
}

// controlCost returns the CPU seconds of all entries, the bytes that they exchanged, and
// the calls to the platform, all since the start.
func (c *cluster) controlCost(b *testing.B) (cpu, bytes, calls float64) {
	b.Helper()
	const ticksPerSecond = 100 // unit of the times in /proc
	for _, e := range c.entries {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.PID()))
		assert.NilError(b, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
		for _, field := range []int{11, 12} { // user and system time
			n, err := strconv.ParseFloat(fields[field], 64)
			assert.NilError(b, err)
			cpu += n / ticksPerSecond
		}
		bytes += c.metric(b, "http://"+e.admin+"/metrics", "shalewick_peer_bytes_in ") + c.metric(b, "http://"+e.admin+"/metrics", "shalewick_peer_bytes_out ")
	}
	for _, kind := range []string{"get", "scan", "commit", "instances"} {
		calls += c.metric(b, c.base+"/standin/count", "\""+kind+"\":")
	}
	return cpu, bytes, calls
}

// metric returns the number that follows a name in a page, or 0 if the page lacks the name.
func (c *cluster) metric(b *testing.B, url, name string) float64 {
	b.Helper()
	res, err := http.Get(url)
	assert.NilError(b, err)
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		_, rest, ok := strings.Cut(lines.Text(), name)
		if !ok {
			continue
		}
		end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
		if end >= 0 {
			rest = rest[:end]
		}
		n, err := strconv.ParseFloat(rest, 64)
		assert.NilError(b, err)
		return n
	}
	return 0
}

// memory returns the resident memory of all entries, in MB.
func (c *cluster) residentMemory(b *testing.B) float64 {
	b.Helper()
	sum := 0.0
	for _, e := range c.entries {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.PID()))
		assert.NilError(b, err)
		pages, err := strconv.ParseFloat(strings.Fields(string(stat))[1], 64)
		assert.NilError(b, err)
		sum += pages * float64(os.Getpagesize()) / 1e6
	}
	return sum
}
