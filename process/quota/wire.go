// SPDX-License-Identifier: MIT

package quota

import (
	"encoding/binary"
	"math"

	"github.com/juju/errors"
)

// The first byte of a message says what its entries are.
const (
	kindRequest  = 1
	kindResponse = 2
)

const (
	// askBytes and answerBytes are the sizes of an entry.
	requestBytes  = 8 + 1 + 1 + 2 + 2 + 2
	responseBytes = 8 + 1 + 1 + 2 + 2
	// mostEntries bounds the entries of a message, so that it fits in a datagram.
	maxEntries = 60
	// usedUnit is the unit of answer.used on the wire.
	usageUnit = 1.0 / 1024
)

// Flags of entries.
const (
	flagRelease = 1
	flagScarce  = 1
)

// ask is what an instance tells the owner of a workspace.
type tokenRequest struct {
	hash       uint64 // of the workspace's name
	seq        byte   // rises with each ask of the instance for the workspace
	unreported uint16 // requests that came in without a token
	wanted     uint16 // tokens wanted
	returned   uint16 // tokens given back
	release    bool   // no more requests come
}

// answer is what the owner says.
type tokenResponse struct {
	hash    uint64
	seq     byte // of the ask
	granted uint16
	scarce  bool    // the bucket is less than half full
	usage   float64 // what all instances use, relative to the rate
}

// whole returns the whole number of a count.
func toCount(n float64) uint16 { return uint16(min(math.MaxUint16, max(0, math.Ceil(n)))) }

func flagByte(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func encodeRequests(list []tokenRequest) []byte {
	out := []byte{kindRequest}
	for _, x := range list {
		out = binary.LittleEndian.AppendUint64(out, x.hash)
		out = append(out, x.seq, flagByte(x.release, flagRelease))
		out = binary.LittleEndian.AppendUint16(out, x.unreported)
		out = binary.LittleEndian.AppendUint16(out, x.wanted)
		out = binary.LittleEndian.AppendUint16(out, x.returned)
	}
	return out
}

func encodeResponses(list []tokenResponse) []byte {
	out := []byte{kindResponse}
	for _, x := range list {
		out = binary.LittleEndian.AppendUint64(out, x.hash)
		out = append(out, x.seq, flagByte(x.scarce, flagScarce))
		out = binary.LittleEndian.AppendUint16(out, x.granted)
		out = binary.LittleEndian.AppendUint16(out, uint16(min(math.MaxUint16, x.usage/usageUnit)))
	}
	return out
}

// decode reads a message: asks or answers.
func decode(text []byte) (asks []tokenRequest, answers []tokenResponse, err error) {
	if len(text) == 0 {
		return nil, nil, errors.New("empty message")
	}
	entries := text[1:]
	switch kind := text[0]; {
	case kind == kindRequest && len(entries)%requestBytes == 0 && len(entries) <= maxEntries*requestBytes:
		for ; len(entries) > 0; entries = entries[requestBytes:] {
			asks = append(asks, tokenRequest{
				hash: binary.LittleEndian.Uint64(entries), seq: entries[8], release: entries[9]&flagRelease != 0,
				unreported: binary.LittleEndian.Uint16(entries[10:]), wanted: binary.LittleEndian.Uint16(entries[12:]),
				returned: binary.LittleEndian.Uint16(entries[14:]),
			})
		}
	case kind == kindResponse && len(entries)%responseBytes == 0 && len(entries) <= maxEntries*responseBytes:
		for ; len(entries) > 0; entries = entries[responseBytes:] {
			answers = append(answers, tokenResponse{
				hash: binary.LittleEndian.Uint64(entries), seq: entries[8], scarce: entries[9]&flagScarce != 0,
				granted: binary.LittleEndian.Uint16(entries[10:]),
				usage:   float64(binary.LittleEndian.Uint16(entries[12:])) * usageUnit,
			})
		}
	default:
		return nil, nil, errors.Errorf("message of kind %d with %d bytes", text[0], len(text))
	}
	return asks, answers, nil
}
