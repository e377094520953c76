// SPDX-License-Identifier: MIT

package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/juju/errors"
)

// The first byte of a message; no other part of the process has these.
const (
	kindRequest = 9
	kindAnswer  = 10
	kindReport  = 11 // an ask for nothing, which is not answered
)

const (
	// wordBytes is the size of a word: limit and both ages.
	limitBytes = 3 * 4
	// askBytes is the size of an ask before the name of its region, and answerBytes that of an answer.
	requestBytes = 1 + 4 + 8 + 1 + limitBytes
	answerBytes  = 1 + 4 + 8 + 1 + 2 + limitBytes
	// noAge stands in the place of the age of a word that there is not.
	noAge = math.MaxUint32
	// transit is how long a datagram may be under way, by which the age of a word is too low.
	maxTransit = 100 * time.Millisecond
)

// status is what an owner answers.
type status byte

const (
	denied status = iota
	granted
	notOwner // the instance that was asked takes another one for the owner
)

// ask asks for one permit.
type permitRequest struct {
	seq      uint32
	start    uint64 // of the backend server
	priority byte
	observed observedLimit
	region   string // of the backend server
}

// answer answers an ask.
type answer struct {
	seq      uint32
	start    uint64
	status   status
	wait     time.Duration
	observed observedLimit
}

func (x permitRequest) encode(kind byte, now time.Duration) []byte {
	out := make([]byte, 0, requestBytes+len(x.region))
	out = append(out, kind)
	out = binary.LittleEndian.AppendUint32(out, x.seq)
	out = binary.LittleEndian.AppendUint64(out, x.start)
	out = append(out, x.priority)
	out = x.observed.append(out, now)
	return append(out, x.region...)
}

func decodeRequest(text []byte, now time.Duration) (permitRequest, error) {
	if len(text) < requestBytes {
		return permitRequest{}, errors.Errorf("an ask of %d bytes", len(text))
	}
	w, err := decodeLimit(text[requestBytes-limitBytes:requestBytes], now)
	return permitRequest{
		seq: binary.LittleEndian.Uint32(text[1:]), start: binary.LittleEndian.Uint64(text[5:]), priority: text[13],
		observed: w, region: string(text[requestBytes:]),
	}, err
}

func (x answer) encode(now time.Duration) []byte {
	out := make([]byte, 0, answerBytes)
	out = append(out, kindAnswer)
	out = binary.LittleEndian.AppendUint32(out, x.seq)
	out = binary.LittleEndian.AppendUint64(out, x.start)
	out = append(out, byte(x.status))
	out = binary.LittleEndian.AppendUint16(out, uint16(min(x.wait.Milliseconds(), math.MaxUint16)))
	return x.observed.append(out, now)
}

func decodeAnswer(text []byte, now time.Duration) (answer, error) {
	if len(text) != answerBytes {
		return answer{}, errors.Errorf("an answer of %d bytes", len(text))
	}
	w, err := decodeLimit(text[answerBytes-limitBytes:], now)
	return answer{
		seq: binary.LittleEndian.Uint32(text[1:]), start: binary.LittleEndian.Uint64(text[5:]), status: status(text[13]),
		wait: time.Duration(binary.LittleEndian.Uint16(text[14:])) * time.Millisecond, observed: w,
	}, err
}

// append adds a word with the ages of its interval.
func (w observedLimit) append(out []byte, now time.Duration) []byte {
	from, to := uint32(noAge), uint32(noAge)
	if w.present() {
		from, to = age(w.from, now), age(w.to, now)
	}
	out = binary.LittleEndian.AppendUint32(out, math.Float32bits(float32(w.limit)))
	out = binary.LittleEndian.AppendUint32(out, from)
	return binary.LittleEndian.AppendUint32(out, to)
}

// age returns how long ago a moment was, in ms.
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
		return observedLimit{}, errors.Errorf("a limit of %g, said %d to %d ms ago", limit, from, to)
	}
	w := observedLimit{limit: limit, from: now - time.Duration(from)*time.Millisecond - maxTransit, to: now - time.Duration(to)*time.Millisecond}
	if w.to <= 0 {
		return observedLimit{}, nil // older than this process
	}
	return w, nil
}
