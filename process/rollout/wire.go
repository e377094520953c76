// SPDX-License-Identifier: MIT

package rollout

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/juju/errors"
)

// The first byte of a message is its kind. Kinds 1 and 2 belong to quotas.
const (
	kindReport = 3
	kindReply  = 4
)

// maxRoutes limits the routes in a message, so that it fits in a datagram.
const maxRoutes = 32

// Flags of reports and replies. The lowest three bits are the phase.
const (
	phaseBits        = 7
	flagHalted       = 1 << 3 // both
	flagDrained      = 1 << 4 // report
	flagHasEcho      = 1 << 5 // report
	flagStepDueSoon  = 1 << 4 // reply
	flagLacking      = 1 << 5 // reply
	flagHasRemaining = 1 << 6 // reply
)

// phases lists the phases by number, which is also their order.
var phases = [...]Phase{"", Canary, Promote, Completed, Reverted}

func phaseNumber(p Phase) byte {
	for i, x := range phases {
		if x == p {
			return byte(i)
		}
	}
	return 0
}

// report is a message from an instance to the owner of a service.
type report struct {
	service     uint64
	order       int64
	incarnation int64
	seq         byte
	phase       Phase
	// halted: this instance has halted the target, on its own or at the owner's request.
	halted bool
	// drained: nothing is in flight at the previous version, and nothing will go there for
	// drainPromiseTime.
	drained  bool
	inFlight uint64
	// echoClock is the owner's clock in its last reply, if hasEcho is set. The report was made
	// after that time.
	echoClock uint32
	hasEcho   bool
	routes    []routeCounts
}

// routeCounts are the counts of a route.
type routeCounts struct {
	route routeHash
	versionCounts
}

// reply is a message from the owner to an instance.
type reply struct {
	service uint64
	order   int64
	// seq is the sequence number of the report. Zero: the message replies to none and grants no
	// lease.
	seq    byte
	phase  Phase
	halted bool
	// stepDueSoon: the phase is about to change.
	stepDueSoon bool
	// ownerClock is the owner's clock in milliseconds, which determines the rounds.
	ownerClock uint32
	// remaining is how long the limit on the share still holds, if hasRemaining is set.
	remaining    time.Duration
	hasRemaining bool
	// lackingRoutes are the routes that lack evidence. allLacking: the service as a whole does.
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

// appendTo appends the encoded counts. It writes the number of responses that are not timed instead
// of those that are, since it is small for the previous version.
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

// reader decodes a message. After the first error it returns zeros.
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

// count reads an unsigned number.
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

// phase extracts the phase from the flags.
func (r *reader) phase(flags byte) Phase {
	n := flags & phaseBits
	if int(n) >= len(phases) {
		r.failed = true
		return ""
	}
	return phases[n]
}

// counts reads counts. Counts that contradict each other are an error.
func (r *reader) counts() Counts {
	c := Counts{Requests: r.count(), Failed: r.count()}
	c.Timed = c.Requests - r.count()
	c.Slow = r.count()
	if c.Failed > c.Requests || c.Timed < 0 || c.Slow > c.Timed || c.Requests > maxCount {
		r.failed = true
	}
	return c
}

// maxCount limits a count, so that sums of counts do not overflow.
const maxCount = 1 << 48

// err returns an error if the message was malformed.
func (r *reader) err() error {
	if r.failed || len(r.rest) > 0 {
		return errors.New("malformed rollout message")
	}
	return nil
}

func decodeReport(payload []byte) (*report, error) {
	r := reader{rest: payload}
	if r.byte() != kindReport {
		return nil, errors.New("not a rollout report")
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

func decodeReply(payload []byte) (*reply, error) {
	r := reader{rest: payload}
	if r.byte() != kindReply {
		return nil, errors.New("not a rollout reply")
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

// maxRemaining limits the time in a reply.
const maxRemaining = 48 * time.Hour
