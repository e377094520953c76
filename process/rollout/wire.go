// SPDX-License-Identifier: MIT

package rollout

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/juju/errors"
)

// The first byte of a message says what it is. 1 and 2 are those of quotas.
const (
	kindReport = 3
	kindAnswer = 4
)

// mostRoutes bounds the routes of a message, so that it fits in a datagram.
const mostRoutes = 32

// Flags of reports and answers. The lowest three bits are the phase.
const (
	phaseBits   = 7
	flagHalted  = 1 << 3 // of both
	flagDrained = 1 << 4 // of a report
	flagEchoes  = 1 << 5 // of a report
	flagSoon    = 1 << 4 // of an answer
	flagLacking = 1 << 5 // of an answer
	flagTimed   = 1 << 6 // of an answer
)

// phases are the phases by number, which is their order.
var phases = [...]Phase{"", Canary, Promote, Completed, Reverted}

func numberOf(p Phase) byte {
	for i, x := range phases {
		if x == p {
			return byte(i)
		}
	}
	return 0
}

// report is what an instance tells the owner of a service.
type report struct {
	service     uint64
	order       int64
	incarnation int64
	seq         byte
	phase       Phase
	// halted: this instance has stopped, or was told to.
	halted bool
	// drained: nothing is at the version before, and nothing will go there for
	// promiseTime.
	drained  bool
	inFlight uint64
	// echo is the stamp of the owner's last answer, if echoes is set: the report was made
	// after it.
	echo   uint32
	echoes bool
	routes []routeCounts
}

// routeCounts are the counts of a route.
type routeCounts struct {
	route routeHash
	pair
}

// answer is what the owner says.
type answer struct {
	service uint64
	order   int64
	// seq is that of the report. Zero: the answer is to none, and gives no lease.
	seq    byte
	phase  Phase
	halted bool
	// soon: the phase is about to change.
	soon bool
	// stamp is the owner's clock in milliseconds. Turns follow from it.
	stamp uint32
	// left is the time for which the bound on the share holds, if timed is set.
	left  time.Duration
	timed bool
	// lacking are the routes that lack evidence; allLacking: each one does.
	lacking    []routeHash
	allLacking bool
}

func flagIf(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func (x *report) encode() []byte {
	out := []byte{kindReport}
	out = binary.LittleEndian.AppendUint64(out, x.service)
	out = binary.AppendVarint(out, x.order)
	out = binary.LittleEndian.AppendUint64(out, uint64(x.incarnation))
	out = append(out, x.seq, numberOf(x.phase)|flagIf(x.drained, flagDrained)|flagIf(x.halted, flagHalted)|flagIf(x.echoes, flagEchoes))
	if x.echoes {
		out = binary.LittleEndian.AppendUint32(out, x.echo)
	}
	out = binary.AppendUvarint(out, x.inFlight)
	out = append(out, byte(len(x.routes)))
	for _, c := range x.routes {
		out = binary.LittleEndian.AppendUint32(out, uint32(c.route))
		out = c.base.append(out)
		out = c.target.append(out)
	}
	return out
}

// append appends counts, with the answers that are not timed in place of those that are:
// at the version before they are few.
func (c Counts) append(out []byte) []byte {
	out = binary.AppendUvarint(out, uint64(c.Requests))
	out = binary.AppendUvarint(out, uint64(c.Failed))
	out = binary.AppendUvarint(out, uint64(c.Requests-c.Timed))
	return binary.AppendUvarint(out, uint64(c.Slow))
}

func (x *answer) encode() []byte {
	out := []byte{kindAnswer}
	out = binary.LittleEndian.AppendUint64(out, x.service)
	out = binary.AppendVarint(out, x.order)
	out = append(out, x.seq, numberOf(x.phase)|flagIf(x.halted, flagHalted)|flagIf(x.soon, flagSoon)|
		flagIf(x.allLacking, flagLacking)|flagIf(x.timed, flagTimed))
	out = binary.LittleEndian.AppendUint32(out, x.stamp)
	if x.timed {
		out = binary.AppendUvarint(out, uint64(max(0, x.left.Milliseconds())))
	}
	out = append(out, byte(len(x.lacking)))
	for _, h := range x.lacking {
		out = binary.LittleEndian.AppendUint32(out, uint32(h))
	}
	return out
}

// reader reads a message. After the first mistake it returns zeros.
type reader struct {
	text []byte
	bad  bool
}

func (r *reader) take(n int) []byte {
	if len(r.text) < n {
		r.bad = true
		return make([]byte, n)
	}
	out := r.text[:n]
	r.text = r.text[n:]
	return out
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) uint64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }

// count reads a number that is not below zero.
func (r *reader) count() int64 {
	x, n := binary.Uvarint(r.text)
	if n <= 0 || x > math.MaxInt64 {
		r.bad = true
		return 0
	}
	r.text = r.text[n:]
	return int64(x)
}

func (r *reader) signed() int64 {
	x, n := binary.Varint(r.text)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.text = r.text[n:]
	return x
}

// phase reads the phase out of flags.
func (r *reader) phase(flags byte) Phase {
	n := flags & phaseBits
	if int(n) >= len(phases) {
		r.bad = true
		return ""
	}
	return phases[n]
}

// counts reads counts. A count that makes no sense beside the others is a mistake.
func (r *reader) counts() Counts {
	c := Counts{Requests: r.count(), Failed: r.count()}
	c.Timed = c.Requests - r.count()
	c.Slow = r.count()
	if c.Failed > c.Requests || c.Timed < 0 || c.Slow > c.Timed || c.Requests > mostCount {
		r.bad = true
	}
	return c
}

// mostCount bounds a count, so that sums of them do not overflow.
const mostCount = 1 << 48

// err returns whether the message was one.
func (r *reader) err() error {
	if r.bad || len(r.text) > 0 {
		return errors.New("not a message of roll-outs")
	}
	return nil
}

func decodeReport(text []byte) (*report, error) {
	r := reader{text: text}
	if r.byte() != kindReport {
		return nil, errors.New("not a report")
	}
	x := &report{service: r.uint64(), order: r.signed(), incarnation: int64(r.uint64()), seq: r.byte()}
	flags := r.byte()
	x.phase = r.phase(flags)
	x.drained = flags&flagDrained != 0
	x.halted = flags&flagHalted != 0
	x.echoes = flags&flagEchoes != 0
	if x.echoes {
		x.echo = r.uint32()
	}
	x.inFlight = uint64(r.count())
	n := int(r.byte())
	for i := 0; i < n && !r.bad; i++ {
		x.routes = append(x.routes, routeCounts{routeHash(r.uint32()), pair{base: r.counts(), target: r.counts()}})
	}
	return x, r.err()
}

func decodeAnswer(text []byte) (*answer, error) {
	r := reader{text: text}
	if r.byte() != kindAnswer {
		return nil, errors.New("not an answer")
	}
	x := &answer{service: r.uint64(), order: r.signed(), seq: r.byte()}
	flags := r.byte()
	x.phase = r.phase(flags)
	x.halted = flags&flagHalted != 0
	x.soon = flags&flagSoon != 0
	x.allLacking = flags&flagLacking != 0
	x.timed = flags&flagTimed != 0
	x.stamp = r.uint32()
	if x.timed {
		x.left = time.Duration(min(r.count(), mostLeft.Milliseconds())) * time.Millisecond
	}
	n := int(r.byte())
	for i := 0; i < n && !r.bad; i++ {
		x.lacking = append(x.lacking, routeHash(r.uint32()))
	}
	return x, r.err()
}

// mostLeft bounds the time that an answer tells.
const mostLeft = 48 * time.Hour
