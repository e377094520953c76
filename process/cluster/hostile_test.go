// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"

	"github.com/klauspost/compress/s2"
	"gotest.tools/v3/assert"

	"shalewick/process/state"
)

// TestDatagramWithHugeListIsRejected guards against a datagram of a few bytes that declares a list of
// four billion members: allocating it would crash the process.
func TestDatagramWithHugeListIsRejected(t *testing.T) {
	_, err := decodeDatagram([]byte("\x81\xa1r\xdd\xff\xff\xff\xf0"))
	assert.Assert(t, err != nil)
}

// TestDecompressedTablesAreBoundedTogether guards against a response of some kB whose tables need any amount of memory when they
// are decompressed.
func TestDecompressedTablesAreBoundedTogether(t *testing.T) {
	const size = 1 << 20
	delta, err := marshal(state.Delta{Rows: []state.Row{{Key: "k", Value: make([]byte, size), Version: 1}}, Version: 1})
	assert.NilError(t, err)
	parts := make(map[string]encodedTable)
	encode := func() []byte {
		b, err := marshal(parts)
		assert.NilError(t, err)
		return b
	}
	for i := range maxResponseBytes/size - 1 {
		parts[fmt.Sprint(i)] = encodedTable{Delta: s2.Encode(nil, delta)}
	}
	out, err := decodeResponse(encode())
	assert.NilError(t, err)
	assert.Equal(t, len(out), len(parts))
	for i := range maxResponseBytes / size {
		parts[fmt.Sprint("more-", i)] = encodedTable{Delta: s2.Encode(nil, delta)}
	}
	b := encode()
	_, err = decodeResponse(b)
	assert.Assert(t, err != nil, "%d bytes are decompressed to %d", len(b), len(parts)*size)
}

// TestInstancesAreBounded guards against any number of instances that are remembered because datagrams or lists name them. Room
// returns when they are forgotten.
func TestInstancesAreBounded(t *testing.T) {
	m, c := newMembers()
	var list []Member
	for i := range maxInstances + 10 {
		list = append(list, member(fmt.Sprintf("x%05d", i), "north", 1))
	}
	m.Merge(false, list...)
	assert.Equal(t, len(m.Others()), maxInstances)
	assert.Equal(t, m.Ignored(), int64(10))
	m.Merge(true, member("x00000", "north", 2))
	assert.Equal(t, m.Others()[0].Incarnation, int64(2))
	c.now += forgetAfter + forgetInterval
	m.Merge(true, member("x00000", "north", 2))
	m.Merge(true, member("late", "north", 1))
	assert.Equal(t, len(m.Others()), 2)
}
