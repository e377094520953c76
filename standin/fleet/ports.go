// SPDX-License-Identifier: MIT

package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// Ports below those that the kernel gives to outgoing connections, so that a
// free one stays free until its server starts.
const (
	firstPort = 12000
	lastPort  = 32000
	portTries = 100
)

// Ports returns n adjoining loopback addresses that nothing listens on.
func Ports(n int) ([]netip.AddrPort, error) {
	for range portTries {
		first := firstPort + rand.IntN(lastPort-firstPort-n)
		addresses := make([]netip.AddrPort, n)
		for i := range addresses {
			addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(first+i))
		}
		if allFree(addresses) {
			return addresses, nil
		}
	}
	return nil, errors.Errorf("no %d adjoining free ports", n)
}

func allFree(addresses []netip.AddrPort) bool {
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
