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

// BenchmarkControl measures what control costs an entry without any load, by
// the number of entries: processor time, memory, bytes between entries, and
// calls of the platform. docs/CAPACITY.md is made from it.
func BenchmarkControl(b *testing.B) {
	const length = 10 * time.Second
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(b, clusterOptions{size: fleet.Caroni(), entries: n, work: time.Millisecond})
			time.Sleep(3 * time.Second) // the start is over
			for range b.N {
				cpu, bytes, calls := c.controlCost(b)
				time.Sleep(length)
				cpu2, bytes2, calls2 := c.controlCost(b)
				per := length.Seconds() * float64(n)
				b.ReportMetric((cpu2-cpu)/per*100, "%core/entry")
				b.ReportMetric((bytes2-bytes)/per, "B/s/entry")
				b.ReportMetric((calls2-calls)/length.Seconds(), "platform-calls/s")
				b.ReportMetric(c.residentMemory(b)/float64(n), "MB/entry")
			}
		})
	}
}

// cost returns processor seconds, bytes between entries, and the calls of the
// platform so far.
func (c *cluster) controlCost(b *testing.B) (cpu, bytes, calls float64) {
	b.Helper()
	const ticks = 100 // a second, in /proc
	for _, e := range c.entries {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.ID()))
		assert.NilError(b, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
		for _, at := range []int{11, 12} { // user and system time
			n, err := strconv.ParseFloat(fields[at], 64)
			assert.NilError(b, err)
			cpu += n / ticks
		}
		bytes += c.metric(b, "http://"+e.admin+"/metrics", "shalewick_peer_bytes_in ") + c.metric(b, "http://"+e.admin+"/metrics", "shalewick_peer_bytes_out ")
	}
	for _, kind := range []string{"get", "scan", "commit", "instances"} {
		calls += c.metric(b, c.base+"/standin/count", "\""+kind+"\":")
	}
	return cpu, bytes, calls
}

// metric returns the number behind a name in a page.
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
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.ID()))
		assert.NilError(b, err)
		pages, err := strconv.ParseFloat(strings.Fields(string(stat))[1], 64)
		assert.NilError(b, err)
		sum += pages * float64(os.Getpagesize()) / 1e6
	}
	return sum
}
