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
	kindReply  = 4
)

// mostRoutes bounds the routes of a message, so that it fits in a datagram.
const maxRoutes = 32

// Flags of reports and answers. The lowest three bits are the phase.
const (
	phaseBits        = 7
	flagHalted       = 1 << 3 // of both
	flagDrained      = 1 << 4 // of a report
	flagHasEcho      = 1 << 5 // of a report
	flagStepDueSoon  = 1 << 4 // of an answer
	flagLacking      = 1 << 5 // of an answer
	flagHasRemaining = 1 << 6 // of an answer
)

// phases are the phases by number, which is their order.
var phases = [...]Phase{"", Canary, Promote, Completed, Reverted}

func phaseNumber(p Phase) byte {
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
	echoClock uint32
	hasEcho   bool
	routes    []routeCounts
}

// routeCounts are the counts of a route.
type routeCounts struct {
	route routeHash
	versionCounts
}

// answer is what the owner says.
type reply struct {
	service uint64
	order   int64
	// seq is that of the report. Zero: the answer is to none, and gives no lease.
	seq    byte
	phase  Phase
	halted bool
	// soon: the phase is about to change.
	stepDueSoon bool
	// stamp is the owner's clock in milliseconds. Turns follow from it.
	ownerClock uint32
	// left is the time for which the bound on the share holds, if timed is set.
	remaining    time.Duration
	hasRemaining bool
	// lacking are the routes that lack evidence; allLacking: each one does.
	lackingRoutes []routeHash
	allLacking    bool
}

func bitIf(set bool, bit byte) byte {
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
	out = append(out, x.seq, phaseNumber(x.phase)|bitIf(x.drained, flagDrained)|bitIf(x.halted, flagHalted)|bitIf(x.hasEcho, flagHasEcho))
	if x.hasEcho {
		out = binary.LittleEndian.AppendUint32(out, x.echoClock)
	}
	out = binary.AppendUvarint(out, x.inFlight)
	out = append(out, byte(len(x.routes)))
	for _, c := range x.routes {
		out = binary.LittleEndian.AppendUint32(out, uint32(c.route))
		out = c.base.appendTo(out)
		out = c.target.appendTo(out)
	}
	return out
}

// append appends counts, with the answers that are not timed in place of those that are:
// at the version before they are few.
func (c Counts) appendTo(out []byte) []byte {
	out = binary.AppendUvarint(out, uint64(c.Requests))
	out = binary.AppendUvarint(out, uint64(c.Failed))
	out = binary.AppendUvarint(out, uint64(c.Requests-c.Timed))
	return binary.AppendUvarint(out, uint64(c.Slow))
}

func (x *reply) encode() []byte {
	out := []byte{kindReply}
	out = binary.LittleEndian.AppendUint64(out, x.service)
	out = binary.AppendVarint(out, x.order)
	out = append(out, x.seq, phaseNumber(x.phase)|bitIf(x.halted, flagHalted)|bitIf(x.stepDueSoon, flagStepDueSoon)|
		bitIf(x.allLacking, flagLacking)|bitIf(x.hasRemaining, flagHasRemaining))
	out = binary.LittleEndian.AppendUint32(out, x.ownerClock)
	if x.hasRemaining {
		out = binary.AppendUvarint(out, uint64(max(0, x.remaining.Milliseconds())))
	}
	out = append(out, byte(len(x.lackingRoutes)))
	for _, h := range x.lackingRoutes {
		out = binary.LittleEndian.AppendUint32(out, uint32(h))
	}
	return out
}

// reader reads a message. After the first mistake it returns zeros.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if len(r.rest) < n {
		r.failed = true
		return make([]byte, n)
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) uint64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }

// count reads a number that is not below zero.
func (r *reader) count() int64 {
	x, n := binary.Uvarint(r.rest)
	if n <= 0 || x > math.MaxInt64 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return int64(x)
}

func (r *reader) signed() int64 {
	x, n := binary.Varint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return x
}

// phase reads the phase out of flags.
func (r *reader) phase(flags byte) Phase {
	n := flags & phaseBits
	if int(n) >= len(phases) {
		r.failed = true
		return ""
	}
	return phases[n]
}

// counts reads counts. A count that makes no sense beside the others is a mistake.
func (r *reader) counts() Counts {
	c := Counts{Requests: r.count(), Failed: r.count()}
	c.Timed = c.Requests - r.count()
	c.Slow = r.count()
	if c.Failed > c.Requests || c.Timed < 0 || c.Slow > c.Timed || c.Requests > maxCount {
		r.failed = true
	}
	return c
}

// mostCount bounds a count, so that sums of them do not overflow.
const maxCount = 1 << 48

// err returns whether the message was one.
func (r *reader) err() error {
	if r.failed || len(r.rest) > 0 {
		return errors.New("not a message of roll-outs")
	}
	return nil
}

func decodeReport(text []byte) (*report, error) {
	r := reader{rest: text}
	if r.byte() != kindReport {
		return nil, errors.New("not a report")
	}
	x := &report{service: r.uint64(), order: r.signed(), incarnation: int64(r.uint64()), seq: r.byte()}
	flags := r.byte()
	x.phase = r.phase(flags)
	x.drained = flags&flagDrained != 0
	x.halted = flags&flagHalted != 0
	x.hasEcho = flags&flagHasEcho != 0
	if x.hasEcho {
		x.echoClock = r.uint32()
	}
	x.inFlight = uint64(r.count())
	n := int(r.byte())
	for i := 0; i < n && !r.failed; i++ {
		x.routes = append(x.routes, routeCounts{routeHash(r.uint32()), versionCounts{base: r.counts(), target: r.counts()}})
	}
	return x, r.err()
}

func decodeReply(text []byte) (*reply, error) {
	r := reader{rest: text}
	if r.byte() != kindReply {
		return nil, errors.New("not an answer")
	}
	x := &reply{service: r.uint64(), order: r.signed(), seq: r.byte()}
	flags := r.byte()
	x.phase = r.phase(flags)
	x.halted = flags&flagHalted != 0
	x.stepDueSoon = flags&flagStepDueSoon != 0
	x.allLacking = flags&flagLacking != 0
	x.hasRemaining = flags&flagHasRemaining != 0
	x.ownerClock = r.uint32()
	if x.hasRemaining {
		x.remaining = time.Duration(min(r.count(), maxRemaining.Milliseconds())) * time.Millisecond
	}
	n := int(r.byte())
	for i := 0; i < n && !r.failed; i++ {
		x.lackingRoutes = append(x.lackingRoutes, routeHash(r.uint32()))
	}
	return x, r.err()
}

// mostLeft bounds the time that an answer tells.
const maxRemaining = 48 * time.Hour
