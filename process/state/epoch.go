// SPDX-License-Identifier: MIT

package state

// A store may come back from an older copy, and give the versions since out again. Each time its
// epoch rises. A version of this package has the epoch in its high bits and the store's own number
// below, so that versions compare as the histories follow each other.

// numberBits is the size of a store's own number.
const numberBits = 44

// MostEpoch is the largest epoch.
const MaxEpoch = 1<<(63-numberBits) - 1

// VersionOf returns the version of a number that a store gave out in an epoch.
func VersionOf(epoch, number int64) int64 { return epoch<<numberBits | number }

// Epoch returns the epoch of a version.
func Epoch(version int64) int64 { return version >> numberBits }

// Number returns the store's own number of a version.
func Number(version int64) int64 { return version & (1<<numberBits - 1) }
