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
	nonceSize = 16
	macSize   = 16
	fixedSize = nonceSize + 8 + macSize
	maxText   = 256
)

// Life is how long after its issue a ticket may be used first. It is longer
// than any request's deadline.
const Life = 15 * time.Minute

// Nonce tells the tickets of one member apart.
type Nonce [nonceSize]byte

// Ticket is a parsed ticket, not yet verified.
type Ticket struct {
	Member string // the member that alone may dispatch it
	Nonce  Nonce
	Issued time.Duration // age of the member when it issued it
	mac    [macSize]byte
}

// Malformed is the error for text that is no ticket.
const Malformed = errors.ConstError("not a ticket")

// String returns the form for the header.
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

// Parse reads the form for the header.
func Parse(text string) (Ticket, error) {
	var t Ticket
	if len(text) > maxText {
		return t, Malformed
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) <= fixedSize {
		return t, Malformed
	}
	rest := b[len(b)-fixedSize:]
	t.Member = string(b[:len(b)-fixedSize])
	copy(t.Nonce[:], rest)
	t.Issued = time.Duration(binary.BigEndian.Uint64(rest[nonceSize:]))
	copy(t.mac[:], rest[nonceSize+8:])
	return t, nil
}

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
