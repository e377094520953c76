// SPDX-License-Identifier: MIT

package packed

import (
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestEncodedValuesAreAccepted encodes values of all kinds, and checks that the encoding is accepted, and
// truncated or extended encodings are rejected.
func TestEncodedValuesAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := struct {
			A int64
			B uint64
			C float64
			D string
			E []byte
			F []map[string]int
			G bool
		}{
			A: rapid.Int64().Draw(t, "a"), B: rapid.Uint64().Draw(t, "b"), C: rapid.Float64().Draw(t, "c"),
			D: rapid.StringN(0, 400, -1).Draw(t, "d"), E: rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "e"),
			F: rapid.SliceOfN(rapid.MapOf(rapid.String(), rapid.IntRange(-300, math.MaxInt)), 0, 20).Draw(t, "f"),
		}
		text, err := msgpack.Marshal(v)
		assert.NilError(t, err)
		assert.NilError(t, Check(text))
		assert.Assert(t, Check(text[:rapid.IntRange(0, len(text)-1).Draw(t, "cut")]) != nil)
		assert.Assert(t, Check(append(text, 0)) != nil)
	})
}

// TestOversizedLengthsAreRejected checks lists, maps and bytes that declare more than they contain.
func TestOversizedLengthsAreRejected(t *testing.T) {
	for _, text := range []string{
		"\x92\xc2\xdd\xeb\xe5\xf7\x38\x00", "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff\x00", "\xdc\xff\xff", "\xc6\xff\xff\xff\xff", "\xc1", "",
		"\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01",
	} {
		assert.Assert(t, Check([]byte(text)) != nil, "%q", text)
	}
}

// FuzzCheck decodes what Check accepts: the result must not be larger than the input can explain.
func FuzzCheck(f *testing.F) {
	f.Add([]byte("\x93\x01\xa1a\xc0"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if Check(text) != nil {
			return
		}
		var out []struct{ A, B, C uint64 }
		_ = msgpack.Unmarshal(text, &out) // the value may be of another type
		assert.Assert(t, len(out) <= len(text))
	})
}
