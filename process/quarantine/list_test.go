// SPDX-License-Identifier: MIT

package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shalewick/request"
)

func drawEntry(t *rapid.T, requests int) Entry {
	f := rapid.IntRange(1, requests).Draw(t, "request")
	stamp := rapid.Uint32Range(1, 4).Draw(t, "stamp")
	return Entry{Request: request.Fingerprint(f), Stamp: stamp, At: int64(f*10) + int64(stamp)}
}

// TestListsConverge checks that neither the order of entries nor duplicates matter, and that the
// digests of lists are equal if and only if the lists are.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry { return drawEntry(t, 8) }), 0, 30).Draw(t, "entries")
		a, b := newList(), newList()
		for _, e := range entries {
			a.merge(e)
		}
		for _, e := range rapid.Permutation(append(entries, entries...)).Draw(t, "order") {
			b.merge(e)
		}
		assert.DeepEqual(t, a.sorted(), b.sorted())
		assert.Equal(t, a.digest, b.digest)
		if len(entries) > 0 {
			e := entries[0]
			e.Stamp = 9
			b.merge(e)
			assert.Assert(t, a.digest != b.digest)
		}
	})
}

// TestListKeepsNewestEntries checks the limit, and that lists drop the same entries.
func TestListKeepsNewestEntries(t *testing.T) {
	a, b := newList(), newList()
	n := 2 * MaxEntries
	for i := range n {
		a.merge(Entry{Request: request.Fingerprint(i + 1), Stamp: 1, At: int64(i)})
		b.merge(Entry{Request: request.Fingerprint(n - i), Stamp: 1, At: int64(n - 1 - i)})
	}
	assert.Equal(t, len(a.entries), MaxEntries)
	assert.DeepEqual(t, a.sorted(), b.sorted())
	assert.Equal(t, a.digest, b.digest)
	assert.Equal(t, a.sorted()[0].At, int64(n-MaxEntries))
	assert.Assert(t, !a.merge(Entry{Request: 1, Stamp: 1}), "an entry that is dropped at once is not new")
}
