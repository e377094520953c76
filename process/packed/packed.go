// SPDX-License-Identifier: MIT

/*
Package packed checks messages in MessagePack before they are decoded.

A decoder allocates as many elements as a message declares for a list, so a message
of a few bytes that declares four billion crashes the process. Check rejects messages
that declare more elements than they can hold: each element takes at least one byte.
*/
package packed

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// maxDepth is the maximum nesting depth of lists and maps.
const maxDepth = 16

// Check reports an error unless the bytes are exactly one complete value in which no list, map or text
// declares a length beyond the remaining bytes.
func Check(b []byte) error {
	rest, err := skipValue(b, 0)
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("%d trailing bytes after the value", len(rest))
	}
	return err
}

// errTruncated is returned for a value that is longer than the remaining bytes.
const errTruncated = errors.ConstError("value is longer than its message")

// skipValue returns the bytes after the first value.
func skipValue(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 {
		return nil, errTruncated
	}
	if depth > maxDepth {
		return nil, errors.New("lists and maps are nested too deeply")
	}
	c, b := b[0], b[1:]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3: // small numbers, nil, false, true
		return b, nil
	case c <= 0x8f:
		return skipElements(b, 2*int(c&0x0f), depth)
	case c <= 0x9f:
		return skipElements(b, int(c&0x0f), depth)
	case c <= 0xbf:
		return skipBytes(b, int(c&0x1f))
	}
	h, known := headers[c]
	if !known {
		return nil, errors.Errorf("byte %#x does not start a value", c)
	}
	if len(b) < h.lengthBytes {
		return nil, errTruncated
	}
	n := decodeLength(b[:h.lengthBytes])
	b = b[h.lengthBytes:]
	switch {
	case h.valuesPerElement > 0:
		if n > len(b) {
			return nil, errTruncated
		}
		return skipElements(b, h.valuesPerElement*n, depth)
	case h.lengthBytes > 0:
		return skipBytes(b, n+h.extraBytes)
	}
	return skipBytes(b, h.extraBytes)
}

// header describes what follows the first byte of a value: a length of lengthBytes bytes, then
// valuesPerElement times that many values, or as many bytes, plus extraBytes bytes.
type header struct{ lengthBytes, valuesPerElement, extraBytes int }

var headers = map[byte]header{
	0xc4: {lengthBytes: 1}, 0xc5: {lengthBytes: 2}, 0xc6: {lengthBytes: 4}, // bytes
	0xc7: {lengthBytes: 1, extraBytes: 1}, 0xc8: {lengthBytes: 2, extraBytes: 1}, 0xc9: {lengthBytes: 4, extraBytes: 1}, // extensions
	0xca: {extraBytes: 4}, 0xcb: {extraBytes: 8}, // floats
	0xcc: {extraBytes: 1}, 0xcd: {extraBytes: 2}, 0xce: {extraBytes: 4}, 0xcf: {extraBytes: 8}, // unsigned
	0xd0: {extraBytes: 1}, 0xd1: {extraBytes: 2}, 0xd2: {extraBytes: 4}, 0xd3: {extraBytes: 8}, // signed
	0xd4: {extraBytes: 2}, 0xd5: {extraBytes: 3}, 0xd6: {extraBytes: 5}, 0xd7: {extraBytes: 9}, 0xd8: {extraBytes: 17}, // fixed extensions
	0xd9: {lengthBytes: 1}, 0xda: {lengthBytes: 2}, 0xdb: {lengthBytes: 4}, // texts
	0xdc: {lengthBytes: 2, valuesPerElement: 1}, 0xdd: {lengthBytes: 4, valuesPerElement: 1}, // lists
	0xde: {lengthBytes: 2, valuesPerElement: 2}, 0xdf: {lengthBytes: 4, valuesPerElement: 2}, // maps
}

func decodeLength(b []byte) int {
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

// skipElements skips n values.
func skipElements(b []byte, n, depth int) ([]byte, error) {
	if n > len(b) {
		return nil, errTruncated
	}
	for range n {
		var err error
		if b, err = skipValue(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// skipBytes skips n bytes.
func skipBytes(b []byte, n int) ([]byte, error) {
	if n > len(b) {
		return nil, errTruncated
	}
	return b[n:], nil
}
