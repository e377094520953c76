// SPDX-License-Identifier: MIT

/*
Package packed checks messages in MessagePack before they are decoded.

A decoder makes room for as many elements as a message says that a list has, so a
message of a few bytes that says four billion ends the process. Check refuses what
says more than it can hold: each element takes a byte at least.
*/
package packed

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// mostDepth bounds how deep lists and maps may lie in each other.
const mostDepth = 16

// Check reports whether the bytes are one whole value whose lists, maps and texts are no
// longer than the bytes that are left for them.
func Check(b []byte) error {
	rest, err := skip(b, 0)
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("%d bytes are left", len(rest))
	}
	return err
}

// short is the error of a value that is longer than its bytes.
const short = errors.ConstError("a value is longer than its message")

// skip returns what follows the first value.
func skip(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 {
		return nil, short
	}
	if depth > mostDepth {
		return nil, errors.New("lists lie too deep in each other")
	}
	c, b := b[0], b[1:]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3: // small numbers, nil, false, true
		return b, nil
	case c <= 0x8f:
		return elements(b, 2*int(c&0x0f), depth)
	case c <= 0x9f:
		return elements(b, int(c&0x0f), depth)
	case c <= 0xbf:
		return drop(b, int(c&0x1f))
	}
	f, known := formats[c]
	if !known {
		return nil, errors.Errorf("byte %#x begins no value", c)
	}
	if len(b) < f.size {
		return nil, short
	}
	n := lengthOf(b[:f.size])
	b = b[f.size:]
	switch {
	case f.each > 0:
		if n > len(b) {
			return nil, short
		}
		return elements(b, f.each*n, depth)
	case f.size > 0:
		return drop(b, n+f.more)
	}
	return drop(b, f.more)
}

// format is how the value that begins with a byte goes on: a length of size bytes, then as
// many values times each, or as many bytes, and more bytes besides.
type format struct{ size, each, more int }

var formats = map[byte]format{
	0xc4: {size: 1}, 0xc5: {size: 2}, 0xc6: {size: 4}, // bytes
	0xc7: {size: 1, more: 1}, 0xc8: {size: 2, more: 1}, 0xc9: {size: 4, more: 1}, // extensions
	0xca: {more: 4}, 0xcb: {more: 8}, // floats
	0xcc: {more: 1}, 0xcd: {more: 2}, 0xce: {more: 4}, 0xcf: {more: 8}, // unsigned
	0xd0: {more: 1}, 0xd1: {more: 2}, 0xd2: {more: 4}, 0xd3: {more: 8}, // signed
	0xd4: {more: 2}, 0xd5: {more: 3}, 0xd6: {more: 5}, 0xd7: {more: 9}, 0xd8: {more: 17}, // fixed extensions
	0xd9: {size: 1}, 0xda: {size: 2}, 0xdb: {size: 4}, // texts
	0xdc: {size: 2, each: 1}, 0xdd: {size: 4, each: 1}, // lists
	0xde: {size: 2, each: 2}, 0xdf: {size: 4, each: 2}, // maps
}

func lengthOf(b []byte) int {
	switch len(b) {
	case 1:
		return int(b[0])
	case 2:
		return int(binary.BigEndian.Uint16(b))
	case 4:
		return int(binary.BigEndian.Uint32(b))
	}
	return 0
}

// elements skips n values.
func elements(b []byte, n, depth int) ([]byte, error) {
	if n > len(b) {
		return nil, short
	}
	for range n {
		var err error
		if b, err = skip(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// drop skips n bytes.
func drop(b []byte, n int) ([]byte, error) {
	if n > len(b) {
		return nil, short
	}
	return b[n:], nil
}
