// SPDX-License-Identifier: MIT

package quota

import (
	"encoding/binary"
	"math"

	"github.com/juju/errors"
)

// The first byte of a message is the kind of its entries.
const (
	kindRequest  = 1
	kindResponse = 2
)

const (
	// requestBytes and responseBytes are the sizes of an entry.
	requestBytes  = 8 + 1 + 1 + 2 + 2 + 2
	responseBytes = 8 + 1 + 1 + 2 + 2
	// maxEntries limits the entries of a message, so that it fits in a datagram.
	maxEntries = 60
	// usageUnit is the unit of tokenResponse.usage on the wire.
	usageUnit = 1.0 / 1024
)

// Flags of entries.
const (
	flagRelease = 1
	flagScarce  = 1
)

// tokenRequest is what an instance sends to the owner of a workspace.
type tokenRequest struct {
	hash       uint64 // of the workspace name
	seq        byte   // increases with each token request of the instance for the workspace
	unreported uint16 // requests admitted without a token
	wanted     uint16 // tokens requested
	returned   uint16 // tokens returned
	release    bool   // no more requests are expected
}

// tokenResponse is the owner's answer to a token request.
type tokenResponse struct {
	hash    uint64
	seq     byte // of the token request
	granted uint16
	scarce  bool    // the bucket is less than half full
	usage   float64 // total usage of all instances, relative to the rate
}

// toCount rounds a count up and limits it to the range of the wire format.
func toCount(n float64) uint16 { return uint16(min(math.MaxUint16, max(0, math.Ceil(n)))) }

func flagByte(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func encodeRequests(list []tokenRequest) []byte {
	out := []byte{kindRequest}
	for _, r := range list {
		out = binary.LittleEndian.AppendUint64(out, r.hash)
		out = append(out, r.seq, flagByte(r.release, flagRelease))
		out = binary.LittleEndian.AppendUint16(out, r.unreported)
		out = binary.LittleEndian.AppendUint16(out, r.wanted)
		out = binary.LittleEndian.AppendUint16(out, r.returned)
	}
	return out
}

func encodeResponses(list []tokenResponse) []byte {
	out := []byte{kindResponse}
	for _, r := range list {
		out = binary.LittleEndian.AppendUint64(out, r.hash)
		out = append(out, r.seq, flagByte(r.scarce, flagScarce))
		out = binary.LittleEndian.AppendUint16(out, r.granted)
		out = binary.LittleEndian.AppendUint16(out, uint16(min(math.MaxUint16, r.usage/usageUnit)))
	}
	return out
}

// decode parses a message into token requests or responses.
func decode(payload []byte) (requests []tokenRequest, responses []tokenResponse, err error) {
	if len(payload) == 0 {
		return nil, nil, errors.New("empty message")
	}
	entries := payload[1:]
	switch kind := payload[0]; {
	case kind == kindRequest && len(entries)%requestBytes == 0 && len(entries) <= maxEntries*requestBytes:
		for ; len(entries) > 0; entries = entries[requestBytes:] {
			requests = append(requests, tokenRequest{
				hash: binary.LittleEndian.Uint64(entries), seq: entries[8], release: entries[9]&flagRelease != 0,
				unreported: binary.LittleEndian.Uint16(entries[10:]), wanted: binary.LittleEndian.Uint16(entries[12:]),
				returned: binary.LittleEndian.Uint16(entries[14:]),
			})
		}
	case kind == kindResponse && len(entries)%responseBytes == 0 && len(entries) <= maxEntries*responseBytes:
		for ; len(entries) > 0; entries = entries[responseBytes:] {
			responses = append(responses, tokenResponse{
				hash: binary.LittleEndian.Uint64(entries), seq: entries[8], scarce: entries[9]&flagScarce != 0,
				granted: binary.LittleEndian.Uint16(entries[10:]),
				usage:   float64(binary.LittleEndian.Uint16(entries[12:])) * usageUnit,
			})
		}
	default:
		return nil, nil, errors.Errorf("invalid message of kind %d with %d bytes", payload[0], len(payload))
	}
	return requests, responses, nil
}
