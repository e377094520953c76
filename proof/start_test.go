// SPDX-License-Identifier: MIT

package proof

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/startup"
	"shalewick/standin/fleet"
	"shalewick/standin/program"
)

// entryStartTime is the longest time that an entry may take to start, or to give up.
const entryStartTime = startup.DefaultTimeout

// startHosts numbers the IP addresses of the tests of the start, which run in parallel.
var startHosts atomic.Int32

// freeAddresses returns addresses for callers, other instances and operators, at an IP address that no other test uses.
func freeAddresses(t *testing.T) []netip.AddrPort {
	t.Helper()
	var ports fleet.Ports
	a, err := ports.AllocateAt(netip.AddrFrom4([4]byte{127, 0, 3, byte(startHosts.Add(1))}), 3)
	assert.NilError(t, err)
	return a
}

// launchEntry starts an entry without a platform.
func launchEntry(t *testing.T, a []netip.AddrPort, more ...string) *program.Process {
	t.Helper()
	return startCommand(t, "entry", append([]string{"entry", "--instance", "e", "--hall", "h", "--platform", "http://127.0.0.1:1", "--grace", "0s",
		"--front", a[0].String(), "--peer", a[1].String(), "--admin", a[2].String()}, more...)...)
}

// awaitLog waits until a text is in the log of a process.
func awaitLog(t *testing.T, p *program.Process, text string) {
	t.Helper()
	program.Eventually(t, entryStartTime, text+" is logged", func() bool { return bytes.Contains(p.Log(t), []byte(text)) })
}

// TestEntryWaitsForAddress guards against an entry that ends since one of its addresses is in use for a moment.
func TestEntryWaitsForAddress(t *testing.T) {
	t.Parallel()
	for i := range 3 {
		a := freeAddresses(t)
		l, err := net.Listen("tcp", a[i].String())
		assert.NilError(t, err)
		p := launchEntry(t, a)
		awaitLog(t, p, "event=start-waiting")
		assert.Check(t, i == 0 || !accepts(a[0].String()), "it accepts callers before it can serve them")
		assert.NilError(t, l.Close())
		awaitLog(t, p, "event=started")
		start := time.Now()
		p.Signal(syscall.SIGTERM)
		p.CheckExit(t, start, entryStopTime)
	}
}

// TestEntryGivesUpWaiting guards against an entry that waits forever for an address that it doesn't get, or doesn't tell why it ends.
func TestEntryGivesUpWaiting(t *testing.T) {
	t.Parallel()
	a := freeAddresses(t)
	l, err := net.Listen("tcp", a[0].String())
	assert.NilError(t, err)
	defer l.Close()
	p := launchEntry(t, a, "--start-timeout", "300ms")
	assert.Equal(t, p.AwaitExit(t, entryStartTime), startup.ExitUnavailable)
	for _, want := range []string{"front: listen tcp " + a[0].String(), "address already in use", "another process", "--start-timeout"} {
		assert.Check(t, bytes.Contains(p.Log(t), []byte(want)), "%s in %s", want, p.Log(t))
	}
}

// TestStopEndsStartOfEntry guards against an entry that can't be stopped while it waits for an address.
func TestStopEndsStartOfEntry(t *testing.T) {
	t.Parallel()
	a := freeAddresses(t)
	l, err := net.Listen("tcp", a[1].String())
	assert.NilError(t, err)
	defer l.Close()
	p := launchEntry(t, a, "--start-timeout", "1h")
	awaitLog(t, p, "event=start-waiting")
	p.Signal(syscall.SIGTERM)
	assert.Equal(t, p.AwaitExit(t, time.Second), 0)
}

// TestEntryWaitsForCredentials guards against an entry that ends since one of its files is replaced while it starts.
func TestEntryWaitsForCredentials(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "workspaces.yaml")
	p := launchEntry(t, freeAddresses(t), "--workspace-tokens", path)
	awaitLog(t, p, "event=start-waiting")
	assert.NilError(t, os.WriteFile(path, []byte("workspaces: []\n"), 0o600))
	awaitLog(t, p, "event=started")
	p = launchEntry(t, freeAddresses(t), "--workspace-tokens", path+".missing", "--start-timeout", "300ms")
	assert.Equal(t, p.AwaitExit(t, entryStartTime), startup.ExitFailure)
	assert.Check(t, bytes.Contains(p.Log(t), []byte("--workspace-tokens")), "%s", p.Log(t))
}
