// SPDX-License-Identifier: MIT

package region

import (
	"bytes"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// carryTime returns how long it takes until all bytes have arrived over a path.
func carryTime(t *testing.T, p *Path, size int) time.Duration {
	start := time.Now()
	r := p.Carry(bytes.NewReader(make([]byte, size)), start)
	defer r.Close()
	got, err := io.Copy(io.Discard, r)
	assert.Check(t, err)
	assert.Check(t, got == int64(size), "%d of %d bytes arrived", got, size)
	return time.Since(start)
}

func TestPathDelaysEachWayOnce(t *testing.T) {
	n := NewNetwork()
	n.Connect("a", "b", 50*time.Millisecond, 0)
	for _, p := range []*Path{n.Path("a", "b"), n.Path("b", "a")} {
		took := carryTime(t, p, 1<<20)
		assert.Assert(t, took >= 50*time.Millisecond && took < 2*time.Second, "%s", took)
	}
	assert.Assert(t, n.Path("a", "c") == nil)
	assert.Equal(t, n.Path("a", "c").Delay(), time.Duration(0))
	carryTime(t, nil, 1<<20)
}

func TestConnectionsShareBandwidth(t *testing.T) {
	n := NewNetwork()
	n.Connect("a", "b", time.Second, 8e6) // 1 MB a second each way
	there, back := n.Path("a", "b"), n.Path("b", "a")
	first := there.send(10e6)
	assert.Equal(t, there.send(20e6).Sub(first), 20*time.Second)
	start := time.Now()
	took := back.send(10e6).Sub(start)
	assert.Assert(t, took >= 11*time.Second && took < 16*time.Second, "the other way: %s", took)
}
