// SPDX-License-Identifier: MIT

package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

const (
	nonceSize   = 16
	macSize     = 16
	fixedSize   = nonceSize + 8 + macSize
	maxTextSize = 256
)

// Lifetime is how long after its issue a ticket may be used for the first time. It
// is longer than any request's deadline.
const Lifetime = 15 * time.Minute

// Nonce distinguishes the tickets of one member.
type Nonce [nonceSize]byte

// Ticket is a parsed ticket. Its signature is verified by Ledger.Begin.
type Ticket struct {
	Member string // the only member that may dispatch it
	Nonce  Nonce
	Issued time.Duration // age of the member at the time of issue
	mac    [macSize]byte
}

// ErrMalformed is returned for text that is not a ticket.
const ErrMalformed = errors.ConstError("not a ticket")

// String returns the encoding that the header carries.
func (t Ticket) String() string {
	b := append(t.signed(), t.mac[:]...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// signed returns the bytes that the signature covers.
func (t *Ticket) signed() []byte {
	b := make([]byte, 0, len(t.Member)+fixedSize)
	b = append(b, t.Member...)
	b = append(b, t.Nonce[:]...)
	return binary.BigEndian.AppendUint64(b, uint64(t.Issued))
}

// Parse decodes a ticket from a header. It does not verify the signature.
func Parse(text string) (Ticket, error) {
	var t Ticket
	if len(text) > maxTextSize {
		return t, ErrMalformed
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) <= fixedSize {
		return t, ErrMalformed
	}
	fixed := b[len(b)-fixedSize:]
	t.Member = string(b[:len(b)-fixedSize])
	copy(t.Nonce[:], fixed)
	t.Issued = time.Duration(binary.BigEndian.Uint64(fixed[nonceSize:]))
	copy(t.mac[:], fixed[nonceSize+8:])
	return t, nil
}

// sum returns the truncated HMAC of the ticket.
func (t *Ticket) sum(key []byte) [macSize]byte {
	h := hmac.New(sha256.New, key)
	h.Write(t.signed())
	var mac [macSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

func newKey() []byte {
	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key) // never fails, see crypto/rand
	return key
}
