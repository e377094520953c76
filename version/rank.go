// SPDX-License-Identifier: MIT

package version

// RendezvousRank mixes the hash of a name with a number (the finalizer of MurmurHash3). The
// owner of a numbered item is the one whose rank is the lowest.
func RendezvousRank(hash, number uint64) uint64 {
	x := hash ^ (number+1)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
