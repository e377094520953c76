// SPDX-License-Identifier: MIT

package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// The range lies below the ephemeral ports of the kernel, so that no outgoing connection takes a
// free port before its server starts.
const (
	firstPort = 12000
	lastPort  = 32000
	portTries = 100
)

// Ports allocates addresses, each of them once. The zero value is ready to use, by several goroutines at once.
type Ports struct {
	mu   sync.Mutex
	next int
}

// loopback is the default loopback address.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Allocate returns n loopback addresses with consecutive ports on which nothing listens.
func (p *Ports) Allocate(n int) ([]netip.AddrPort, error) { return p.AllocateAt(loopback, n) }

// AllocateAt returns n addresses at an IP address with consecutive ports on which nothing listens.
func (p *Ports) AllocateAt(ip netip.Addr, n int) ([]netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == 0 {
		p.next = firstPort + rand.IntN(lastPort-firstPort)
	}
	for range portTries {
		if p.next+n > lastPort {
			p.next = firstPort
		}
		addresses := make([]netip.AddrPort, n)
		for i := range addresses {
			addresses[i] = netip.AddrPortFrom(ip, uint16(p.next+i))
		}
		p.next += n
		if allFree(addresses) {
			return addresses, nil
		}
	}
	return nil, errors.Errorf("no range of %d free ports found", n)
}

func allFree(addresses []netip.AddrPort) bool {
	// A process that was started meanwhile would have the listeners open until it runs its program. Package os starts one
	// without the lock when it is first asked for a process.
	if _, err := os.FindProcess(os.Getpid()); err != nil {
		return false
	}
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			return false
		}
		if l.Close() != nil {
			return false
		}
	}
	return true
}
