// SPDX-License-Identifier: MIT

package request

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFingerprintsDifferPerRequest checks that each part of a request affects the fingerprint, and
// that adjacent parts are separated.
func TestFingerprintsDifferPerRequest(t *testing.T) {
	of := func(workspace, host, method, target, body string) Fingerprint {
		return FingerprintOf(workspace, host, method, target, []byte(body), int64(len(body)))
	}
	base := of("w", "a.example", "POST", "/x/1", "body")
	assert.Equal(t, base, of("w", "a.example", "POST", "/x/1", "body"))
	for _, other := range []Fingerprint{
		of("", "a.example", "POST", "/x/1", "body"),
		of("w", "b.example", "POST", "/x/1", "body"),
		of("w", "a.example", "PUT", "/x/1", "body"),
		of("w", "a.example", "POST", "/x/2", "body"),
		of("w", "a.example", "POST", "/x/1", "bodz"),
		of("w", "a.example", "POST", "/x/1", ""),
		of("wa", ".example", "POST", "/x/1", "body"),
		FingerprintOf("w", "a.example", "POST", "/x/1", []byte("body"), 5),
	} {
		assert.Assert(t, base != other)
	}
}

// TestFingerprintRoundTrip checks that a parsed fingerprint equals the original, and that malformed
// ones are errors.
func TestFingerprintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fingerprint(rapid.Uint64().Draw(t, "fingerprint"))
		got, err := ParseFingerprint(f.String())
		assert.NilError(t, err)
		assert.Equal(t, got, f)
	})
	for _, text := range []string{"", "12", "00112233445566778", "g011223344556677", "+011223344556677"} {
		_, err := ParseFingerprint(text)
		assert.Assert(t, err != nil, text)
	}
}

// BenchmarkFingerprint measures the cost of a fingerprint, which is computed for every request.
func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"none": 0, "300B": 300, "60kB": 60_000, "1MB": 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				FingerprintOf("w", "a.example", "POST", "/catalogue/items/17?page=2", body, int64(size))
			}
		})
	}
}
