// SPDX-License-Identifier: MIT

package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/juju/errors"
)

// The first byte of a message. Other messages of the process use different values.
const (
	kindRequest  = 9
	kindResponse = 10
	kindReport   = 11 // a permit request that only reports a limit and is not answered
)

const (
	// limitBytes is the size of an observed limit: the limit and the ages of both ends of its
	// interval.
	limitBytes = 3 * 4
	// requestBytes is the size of a permit request without the region name, responseBytes
	// that of a response.
	requestBytes  = 1 + 4 + 8 + 1 + limitBytes
	responseBytes = 1 + 4 + 8 + 1 + 2 + limitBytes
	// noAge replaces the ages if there is no observed limit.
	noAge = math.MaxUint32
	// maxTransit is the longest transit time of a datagram, by which received ages may be too low.
	maxTransit = 100 * time.Millisecond
)

// status is an owner's response to a permit request.
type status byte

const (
	denied status = iota
	granted
	notOwner // the receiver considers another instance the owner
)

// permitRequest requests one permit.
type permitRequest struct {
	seq             uint32
	incarnationHash uint64 // of the backend server
	priority        byte
	observed        observedLimit
	region          string // of the backend server
}

// permitResponse is the response to a permit request.
type permitResponse struct {
	seq             uint32
	incarnationHash uint64
	status          status
	wait            time.Duration
	observed        observedLimit
}

func (x permitRequest) encode(kind byte, now time.Duration) []byte {
	out := make([]byte, 0, requestBytes+len(x.region))
	out = append(out, kind)
	out = binary.LittleEndian.AppendUint32(out, x.seq)
	out = binary.LittleEndian.AppendUint64(out, x.incarnationHash)
	out = append(out, x.priority)
	out = x.observed.append(out, now)
	return append(out, x.region...)
}

func decodeRequest(text []byte, now time.Duration) (permitRequest, error) {
	if len(text) < requestBytes {
		return permitRequest{}, errors.Errorf("permit request of %d bytes", len(text))
	}
	observed, err := decodeLimit(text[requestBytes-limitBytes:requestBytes], now)
	return permitRequest{
		seq: binary.LittleEndian.Uint32(text[1:]), incarnationHash: binary.LittleEndian.Uint64(text[5:]), priority: text[13],
		observed: observed, region: string(text[requestBytes:]),
	}, err
}

func (x permitResponse) encode(now time.Duration) []byte {
	out := make([]byte, 0, responseBytes)
	out = append(out, kindResponse)
	out = binary.LittleEndian.AppendUint32(out, x.seq)
	out = binary.LittleEndian.AppendUint64(out, x.incarnationHash)
	out = append(out, byte(x.status))
	out = binary.LittleEndian.AppendUint16(out, uint16(min(x.wait.Milliseconds(), math.MaxUint16)))
	return x.observed.append(out, now)
}

func decodeResponse(text []byte, now time.Duration) (permitResponse, error) {
	if len(text) != responseBytes {
		return permitResponse{}, errors.Errorf("permit response of %d bytes", len(text))
	}
	observed, err := decodeLimit(text[responseBytes-limitBytes:], now)
	return permitResponse{
		seq: binary.LittleEndian.Uint32(text[1:]), incarnationHash: binary.LittleEndian.Uint64(text[5:]), status: status(text[13]),
		wait: time.Duration(binary.LittleEndian.Uint16(text[14:])) * time.Millisecond, observed: observed,
	}, err
}

// append appends the limit and the ages of its interval.
func (o observedLimit) append(out []byte, now time.Duration) []byte {
	from, to := uint32(noAge), uint32(noAge)
	if o.present() {
		from, to = age(o.from, now), age(o.to, now)
	}
	out = binary.LittleEndian.AppendUint32(out, math.Float32bits(float32(o.limit)))
	out = binary.LittleEndian.AppendUint32(out, from)
	return binary.LittleEndian.AppendUint32(out, to)
}

// age returns how long ago a time was, in ms.
func age(at, now time.Duration) uint32 {
	return uint32(min(max(0, (now-at).Milliseconds()), noAge-1))
}

func decodeLimit(text []byte, now time.Duration) (observedLimit, error) {
	from, to := binary.LittleEndian.Uint32(text[4:]), binary.LittleEndian.Uint32(text[8:])
	if to == noAge {
		return observedLimit{}, nil
	}
	limit := float64(math.Float32frombits(binary.LittleEndian.Uint32(text)))
	if math.IsNaN(limit) || limit < 0 || from < to {
		return observedLimit{}, errors.Errorf("invalid rate limit %g, observed %d to %d ms ago", limit, from, to)
	}
	o := observedLimit{limit: limit, from: now - time.Duration(from)*time.Millisecond - maxTransit, to: now - time.Duration(to)*time.Millisecond}
	if o.to <= 0 {
		return observedLimit{}, nil // older than this process
	}
	return o, nil
}
