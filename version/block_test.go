// SPDX-License-Identifier: MIT

package version

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveLookup is a linear search over all blocks.
func naiveLookup(blocks []Block, a netip.Addr) uint16 {
	site, bits := NoSite, -1
	for _, b := range blocks {
		if b.Prefix.Contains(a) && b.Prefix.Bits() > bits {
			site, bits = b.Site, b.Prefix.Bits()
		}
	}
	return site
}

// TestBlockTableMatchesLinearSearch compares lookups in random tables with a linear search.
func TestBlockTableMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addr := rapid.Custom(func(t *rapid.T) netip.Addr {
			if rapid.Bool().Draw(t, "v6") {
				var b [16]byte
				b[0] = 0x20
				b[7] = rapid.Byte().Draw(t, "low")
				return netip.AddrFrom16(b)
			}
			return netip.AddrFrom4([4]byte{10, rapid.SampledFrom([]byte{0, 1, 255}).Draw(t, "b"), 0, rapid.Byte().Draw(t, "d")})
		})
		used := map[netip.Prefix]bool{}
		var blocks []Block
		for i := range rapid.IntRange(0, 20).Draw(t, "blocks") {
			a := addr.Draw(t, "block")
			maxBits := 32
			if a.Is6() {
				maxBits = 64
			}
			p := netip.PrefixFrom(a, rapid.IntRange(0, maxBits).Draw(t, "bits")).Masked()
			if !used[p] {
				used[p] = true
				blocks = append(blocks, Block{Prefix: p, Site: uint16(i)})
			}
		}
		table, err := NewBlockTable(blocks)
		assert.NilError(t, err)
		for range 20 {
			a := addr.Draw(t, "address")
			assert.Equal(t, table.Lookup(a), naiveLookup(blocks, a), "%s in %v", a, blocks)
		}
	})
}

// testBlocks returns n blocks of 256 addresses, distributed over 110 sites.
func testBlocks(n int) []Block {
	blocks := make([]Block, n)
	for i := range blocks {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], 0x0A000000+uint32(i)*256*7)
		blocks[i] = Block{Prefix: netip.PrefixFrom(netip.AddrFrom4(b), 24), Site: uint16(i % 110)}
	}
	return blocks
}

// BenchmarkBlockLookup measures a lookup and the memory of a table at three sizes.
func BenchmarkBlockLookup(b *testing.B) {
	for _, n := range []int{65_000, 325_000, 650_000} {
		b.Run(sizeName(n), func(b *testing.B) {
			blocks := testBlocks(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table, err := NewBlockTable(blocks)
			assert.NilError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes := float64(after.HeapAlloc - before.HeapAlloc)
			b.ReportAllocs()
			random := uint32(1)
			for b.Loop() {
				random = random*1664525 + 1013904223
				var a [4]byte
				binary.BigEndian.PutUint32(a[:], 0x0A000000+random%uint32(n*256*7))
				table.Lookup(netip.AddrFrom4(a))
			}
			b.ReportMetric(bytes/float64(n), "B/block")
			b.ReportMetric(bytes/1e6, "MB")
			runtime.KeepAlive(blocks)
		})
	}
}

// BenchmarkBlockBuild measures building a table, which each change of a block requires.
func BenchmarkBlockBuild(b *testing.B) {
	for _, n := range []int{65_000, 325_000, 650_000} {
		b.Run(sizeName(n), func(b *testing.B) {
			blocks := testBlocks(n)
			for b.Loop() {
				_, err := NewBlockTable(blocks)
				assert.NilError(b, err)
			}
		})
	}
}

func sizeName(n int) string {
	return map[int]string{65_000: "65k", 325_000: "325k", 650_000: "650k"}[n]
}
