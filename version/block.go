// SPDX-License-Identifier: MIT

package version

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/juju/errors"
)

// NoSite is the result of a lookup of an address that no block contains.
const NoSite uint16 = 1<<16 - 1

// Block is a block of client addresses and the site that serves it.
type Block struct {
	Prefix netip.Prefix
	Site   uint16
}

// BlockTable maps client addresses to sites by longest prefix match. IPv6
// prefixes have at most 64 bits. A table is immutable; the zero value is empty.
//
// Nested blocks are flattened into disjoint ranges: range i begins at starts[i],
// ends before starts[i+1] and belongs to sites[i]. index limits the binary search
// to the ranges that share the top 16 bits of the address.
type BlockTable struct {
	v4 ranges
	v6 ranges
}

type ranges struct {
	starts []uint64 // IPv4: address in the top 32 bits; IPv6: the top 64 bits
	sites  []uint16
	index  []uint32 // index[top] is the number of starts below top<<48
}

// NewBlockTable builds a table. It fails for invalid prefixes and for IPv6
// prefixes of more than 64 bits.
func NewBlockTable(blocks []Block) (BlockTable, error) {
	var v4, v6 []span
	for _, b := range blocks {
		p := b.Prefix.Masked()
		if !p.IsValid() || (p.Addr().Is6() && p.Bits() > 64) {
			return BlockTable{}, errors.Errorf("block %s: want an IPv4 prefix or an IPv6 prefix of at most 64 bits", b.Prefix)
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

// Lookup returns the site of the longest block that contains the address, or NoSite.
func (t *BlockTable) Lookup(a netip.Addr) uint16 {
	a = a.Unmap()
	if a.Is4() {
		return t.v4.lookup(top64(a))
	}
	return t.v6.lookup(top64(a))
}

// top64 returns the leading 64 bits of an IPv6 address, or an IPv4 address in the
// upper 32 bits.
func top64(a netip.Addr) uint64 {
	if a.Is4() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:])) << 32
	}
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// lookup returns the site of the last range that starts at or before the key.
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

// flatten converts nested spans into disjoint ranges.
func flatten(spans []span) ranges {
	slices.SortFunc(spans, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.bits, b.bits))
	})
	var r ranges
	var open []span
	// closeBefore ends the open spans that end before first, or all of them.
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

// add starts a new range. If the last range starts at the same key, its site is
// replaced; if it has the same site, it is extended.
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

// buildIndex counts the starts below each value of the top 16 bits.
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
