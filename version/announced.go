// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Announced is a backend server that announces itself, with what is computed of it once. It is
// not changed once made, so that versions share it.
type AnnouncedBackend struct {
	Name string
	// Version is that of the row that announced it.
	Version int64
	Backend *Backend
	address string
	hash    uint64
}

// NewAnnounced returns a backend server that announces itself.
func NewAnnouncedBackend(name string, version int64, b *Backend) *AnnouncedBackend {
	return &AnnouncedBackend{Name: name, Version: version, Backend: b, address: b.Address.String(), hash: xxhash.Sum64String(name)}
}

// Backends returns the backend servers of a configuration, those that are resources and those
// that announce themselves, ordered by name.
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

// CheckBackend applies the rules of one backend server that announces itself.
func (c *Config) CheckBackend(name string, b *Backend) error {
	k := checker{c: c, key: Key{Kind: KindBackend, Name: name}}
	k.backend(b)
	return k.err
}

// newestByAddress leaves out the backend servers whose address a newer one has taken.
// The resource API accepts no two at one address, but backend servers that announce
// themselves may follow each other there.
func newestByAddress(all []*AnnouncedBackend) []*AnnouncedBackend {
	if !mayShareAddress(all) {
		return all
	}
	newest := make(map[netip.AddrPort]*AnnouncedBackend, len(all))
	for _, x := range all {
		address := x.Backend.Address
		if old, taken := newest[address]; !taken || old.Version < x.Version {
			newest[address] = x
		}
	}
	out := make([]*AnnouncedBackend, 0, len(newest))
	for _, x := range all {
		if newest[x.Backend.Address] == x {
			out = append(out, x)
		}
	}
	return out
}

// sharedAddresses reports whether two backend servers may have one address. For most versions
// that is all there is to do, and a table of hashes is far quicker than a map of addresses.
func mayShareAddress(all []*AnnouncedBackend) bool {
	size := 1 << bits.Len(uint(2*len(all)))
	taken := make([]uint64, size)
	for _, x := range all {
		hash := hashAddress(x.Backend.Address) | 1 // zero: not taken
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
