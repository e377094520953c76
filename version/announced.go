// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AnnouncedBackend is a backend server that registers itself, with values that are computed
// only once. It is immutable, so that versions can share it.
type AnnouncedBackend struct {
	Name string
	// Version is the version of the row that the backend server was read from.
	Version int64
	Backend *Backend
	address string
	hash    uint64
}

// NewAnnouncedBackend returns an AnnouncedBackend with its address and hash computed.
func NewAnnouncedBackend(name string, version int64, b *Backend) *AnnouncedBackend {
	return &AnnouncedBackend{Name: name, Version: version, Backend: b, address: b.Address.String(), hash: xxhash.Sum64String(name)}
}

// Backends returns all backend servers of the configuration, declared as resources or announced,
// ordered by name.
func (c *Config) Backends() []*AnnouncedBackend {
	declared := c.List(KindBackend)
	if len(declared) == 0 {
		return c.Announced
	}
	out := slices.Clone(c.Announced)
	for _, x := range declared {
		out = append(out, NewAnnouncedBackend(x.Name, x.Version, x.Backend))
	}
	slices.SortFunc(out, func(a, b *AnnouncedBackend) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// CheckBackend validates one announced backend server.
func (c *Config) CheckBackend(name string, b *Backend) error {
	k := checker{c: c, key: Key{Kind: KindBackend, Name: name}}
	k.backend(b)
	return k.err
}

// newestByAddress removes the backend servers whose address is also used by a newer one.
// The resource API rejects duplicate addresses, but announced backend servers may reuse
// the address of an earlier one.
func newestByAddress(backends []*AnnouncedBackend) []*AnnouncedBackend {
	if !mayShareAddress(backends) {
		return backends
	}
	newest := make(map[netip.AddrPort]*AnnouncedBackend, len(backends))
	for _, x := range backends {
		address := x.Backend.Address
		if old, taken := newest[address]; !taken || old.Version < x.Version {
			newest[address] = x
		}
	}
	out := make([]*AnnouncedBackend, 0, len(newest))
	for _, x := range backends {
		if newest[x.Backend.Address] == x {
			out = append(out, x)
		}
	}
	return out
}

// mayShareAddress reports whether two backend servers may have the same address. It compares
// hashes, so it can return a false positive but no false negative. Most versions have no
// duplicate, and a table of hashes is far faster than a map of addresses.
func mayShareAddress(backends []*AnnouncedBackend) bool {
	size := 1 << bits.Len(uint(2*len(backends)))
	taken := make([]uint64, size)
	for _, x := range backends {
		hash := hashAddress(x.Backend.Address) | 1 // zero marks a free entry
		i := int(hash>>1) & (size - 1)
		for taken[i] != 0 {
			if taken[i] == hash {
				return true
			}
			i = (i + 1) & (size - 1)
		}
		taken[i] = hash
	}
	return false
}

func hashAddress(a netip.AddrPort) uint64 {
	ip := a.Addr().As16()
	return xxhash.Sum64(ip[:]) ^ uint64(a.Port())*0x9e3779b97f4a7c15
}
