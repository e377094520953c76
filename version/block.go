// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/juju/errors"
)

// NoSite is the site of an address that lies in no block.
const NoSite uint16 = 1<<16 - 1

// Block is a block of client addresses and the site that serves it.
type Block struct {
	Prefix netip.Prefix
	Site   uint16
}

// BlockTable finds the site of a client address. Of nested blocks the longest
// prefix holds. IPv6 prefixes are at most 64 bits long. The zero value knows
// no block. A table is never changed.
//
// The blocks are flattened into ranges: starts holds the first address of each
// range and sites its site, up to the next start. index narrows the search by
// the top 16 bits.
type BlockTable struct {
	v4 ranges
	v6 ranges
}

type ranges struct {
	starts []uint64 // IPv4: address in the top 32 bits; IPv6: the top 64 bits
	sites  []uint16
	index  []uint32 // by the top 16 bits: number of starts below
}

// NewBlockTable builds a table.
func NewBlockTable(blocks []Block) (BlockTable, error) {
	var v4, v6 []span
	for _, b := range blocks {
		p := b.Prefix.Masked()
		if !p.IsValid() || (p.Addr().Is6() && p.Bits() > 64) {
			return BlockTable{}, errors.Errorf("block %s is not a prefix of at most 64 bits", b.Prefix)
		}
		s := span{first: top64(p.Addr()), bits: p.Bits(), site: b.Site}
		if p.Addr().Is4() {
			v4 = append(v4, s)
			continue
		}
		v6 = append(v6, s)
	}
	return BlockTable{v4: flatten(v4), v6: flatten(v6)}, nil
}

// Lookup returns the site of an address, or NoSite.
func (t *BlockTable) Lookup(a netip.Addr) uint16 {
	a = a.Unmap()
	if a.Is4() {
		return t.v4.lookup(top64(a))
	}
	return t.v6.lookup(top64(a))
}

// top64 returns the leading 64 bits of an address, an IPv4 address in the top 32.
func top64(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:])) << 32
	}
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

func (r *ranges) lookup(key uint64) uint16 {
	if len(r.starts) == 0 {
		return NoSite
	}
	top := key >> 48
	lo, hi := r.index[top], r.index[top+1]
	for lo < hi {
		mid := (lo + hi) / 2
		if r.starts[mid] <= key {
			lo = mid + 1
			continue
		}
		hi = mid
	}
	if lo == 0 {
		return NoSite
	}
	return r.sites[lo-1]
}

// span is a block as a range of 64-bit keys.
type span struct {
	first uint64
	bits  int
	site  uint16
}

// last returns the highest key of the span.
func (s span) last() uint64 {
	return s.first | (^uint64(0) >> s.bits)
}

// flatten turns nested spans into ranges that do not overlap.
func flatten(spans []span) ranges {
	slices.SortFunc(spans, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.bits, b.bits))
	})
	var r ranges
	var open []span
	closeBefore := func(first uint64, all bool) {
		for len(open) > 0 {
			end := open[len(open)-1].last()
			if !all && end >= first {
				return
			}
			open = open[:len(open)-1]
			if end == ^uint64(0) {
				continue
			}
			site := NoSite
			if len(open) > 0 {
				site = open[len(open)-1].site
			}
			r.add(end+1, site)
		}
	}
	for _, s := range spans {
		closeBefore(s.first, false)
		r.add(s.first, s.site)
		open = append(open, s)
	}
	closeBefore(0, true)
	r.buildIndex()
	return r
}

// add begins a range. A range that begins where the last one did replaces it,
// and one with the same site as the last continues it.
func (r *ranges) add(first uint64, site uint16) {
	n := len(r.starts)
	if n > 0 && r.starts[n-1] == first {
		r.sites[n-1] = site
		return
	}
	if n > 0 && r.sites[n-1] == site {
		return
	}
	r.starts = append(r.starts, first)
	r.sites = append(r.sites, site)
}

func (r *ranges) buildIndex() {
	if len(r.starts) == 0 {
		return
	}
	r.index = make([]uint32, 1<<16+1)
	for _, s := range r.starts {
		r.index[s>>48+1]++
	}
	for i := 1; i < len(r.index); i++ {
		r.index[i] += r.index[i-1]
	}
	r.starts = slices.Clip(r.starts)
	r.sites = slices.Clip(r.sites)
}
