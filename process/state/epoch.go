// SPDX-License-Identifier: MIT

package state

// A store may be restored from an older copy and assign the versions since then a second time. Its
// epoch increases each time. A version of this package holds the epoch in its high bits and the
// store's own number in the low bits, so that a version of a later epoch always compares higher.

// numberBits is the size of a store's own version number.
const numberBits = 44

// MaxEpoch is the largest epoch that a version can hold.
const MaxEpoch = 1<<(63-numberBits) - 1

// VersionOf returns the version for a store's own number in an epoch.
func VersionOf(epoch, number int64) int64 { return epoch<<numberBits | number }

// Epoch returns the epoch of a version.
func Epoch(version int64) int64 { return version >> numberBits }

// Number returns the store's own number in a version.
func Number(version int64) int64 { return version & (1<<numberBits - 1) }
