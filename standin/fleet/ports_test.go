// SPDX-License-Identifier: MIT

package fleet

import (
	"net"
	"net/netip"
	"os/exec"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAllocatedPortsStayFree guards against tests that fail beside others that start processes: a port that was found free was still in use,
// since a process that was being started had inherited its listener.
func TestAllocatedPortsStayFree(t *testing.T) {
	t.Parallel()
	const starters = 4
	end := time.Now().Add(time.Second)
	var wait sync.WaitGroup
	for range starters {
		wait.Go(func() {
			for time.Now().Before(end) {
				assert.Check(t, exec.Command("true").Run())
			}
		})
	}
	defer wait.Wait()
	var ports Ports
	for time.Now().Before(end) {
		addresses, err := ports.AllocateAt(netip.AddrFrom4([4]byte{127, 0, 4, 1}), 6)
		assert.NilError(t, err)
		for _, a := range addresses {
			l, err := net.Listen("tcp", a.String())
			assert.NilError(t, err)
			assert.NilError(t, l.Close())
		}
	}
}
