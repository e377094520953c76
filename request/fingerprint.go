// SPDX-License-Identifier: MIT

package request

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Fingerprint identifies equal requests: it is a hash of the workspace that sends the request,
// host, method, path with query, and body. Each attempt has its own id, may arrive at any instance
// and go to any backend server, so only the fingerprint relates the effects of a request in
// different places. Zero means unknown.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. Body is as much of the beginning of the body
// as is buffered; length is the length of the whole body in bytes, or -1 if unknown.
func FingerprintOf(workspace, host, method, target string, body []byte, length int64) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{workspace, host, method, target} {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.Write([]byte{0})
	}
	var encodedLength [8]byte
	binary.LittleEndian.PutUint64(encodedLength[:], uint64(length))
	_, _ = digest.Write(encodedLength[:])
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the format that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, errors.Errorf("fingerprint %q is not 16 hexadecimal digits", text)
	}
	return Fingerprint(n), nil
}
