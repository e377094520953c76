// SPDX-License-Identifier: MIT

package request

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Fingerprint is what all attempts at the same request have in common: the workspace
// that sends it, host, method, path with query, and body. Each attempt has an id of its
// own, comes to any instance, and goes to any backend server; so what a request does
// wherever it runs can be told only by its fingerprint. Zero: not known.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. Body is its beginning, as far as it
// is held, and length that of all of it in bytes, -1 when it is not known.
func FingerprintOf(workspace, host, method, target string, body []byte, length int64) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{workspace, host, method, target} {
		_, _ = d.WriteString(part) // it never fails
		_, _ = d.Write([]byte{0})
	}
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(length))
	_, _ = d.Write(n[:])
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// String returns 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, errors.Errorf("fingerprint %q is not 16 hexadecimal digits", text)
	}
	return Fingerprint(n), nil
}
