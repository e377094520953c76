// SPDX-License-Identifier: MIT

package drain

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"shalewick/process/metric"
)

const (
	// MaxRequestHeadBytes is the limit of a server for one request head, in bytes. Handlers refuse smaller ones with a result.
	MaxRequestHeadBytes = 128 << 10
	// HeaderLineOverhead is the memory of a header line beside its bytes: its entry in a map, and its strings.
	HeaderLineOverhead = 200
	// reclaimDivisor sets how far below its limit a HeadBudget goes when it is exceeded: the limit divided by it.
	reclaimDivisor = 16
)

// HeadBudget bounds the memory of the request heads that are being read on the connections of one or several servers. If
// it is exceeded, connections are ended: those of the address that holds the most, and of these the ones that have read the
// most. A request whose head is complete is not affected. The exported fields must be set before use. A nil budget
// is unlimited.
type HeadBudget struct {
	// Limit is the maximum memory of all heads, in bytes.
	Limit int64
	// Response is sent on a connection before it is ended. It must end the connection.
	Response []byte

	Log     zerolog.Logger
	Metrics *metric.Set

	mu      sync.Mutex
	held    int64 // bytes
	reading map[*trackedConn]struct{}
}

// rejectedHead describes a head that is not read to its end.
type rejectedHead struct {
	caller   netip.Addr
	held     int64         // memory of the head, in bytes
	byCaller int64         // memory of all heads of the caller, in bytes
	age      time.Duration // since its first byte was read
}

// Held returns the memory of the heads that are being read, in bytes.
func (b *HeadBudget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// headCost returns the memory that a part of a head needs, in bytes.
func headCost(part []byte) int64 {
	return int64(len(part)) + HeaderLineOverhead*int64(bytes.Count(part, []byte{'\n'}))
}

// add counts a part of a head that a connection has read. It returns false if the connection must be ended.
func (b *HeadBudget) add(t *trackedConn, part []byte) bool {
	if b == nil {
		return true
	}
	n := headCost(part)
	b.mu.Lock()
	if !t.headRejected.Load() {
		if b.reading == nil {
			b.reading = make(map[*trackedConn]struct{})
		}
		b.reading[t] = struct{}{}
		t.head += n
		b.held += n
	}
	var rejected []rejectedHead
	if b.held > b.Limit {
		rejected = b.reclaim()
	}
	b.mu.Unlock()
	b.report(rejected)
	return !t.headRejected.Load()
}

// reclaim marks connections to be ended until the budget has room. The caller holds the lock.
func (b *HeadBudget) reclaim() (rejected []rejectedHead) {
	byCaller := make(map[netip.Addr]int64)
	conns := make([]*trackedConn, 0, len(b.reading))
	for t := range b.reading {
		byCaller[t.caller] += t.head
		conns = append(conns, t)
	}
	slices.SortFunc(conns, func(x, y *trackedConn) int {
		return cmp.Or(cmp.Compare(byCaller[y.caller], byCaller[x.caller]), x.caller.Compare(y.caller), cmp.Compare(y.head, x.head))
	})
	for _, t := range conns {
		if b.held <= b.Limit-b.Limit/reclaimDivisor {
			break
		}
		rejected = append(rejected, rejectedHead{t.caller, t.head, byCaller[t.caller], t.age()})
		b.remove(t)
		t.headRejected.Store(true)
		_ = t.SetReadDeadline(aLongTimeAgo) // wakes its Read, which ends it; an error means that it is closed
	}
	return rejected
}

// report logs and counts heads that were rejected.
func (b *HeadBudget) report(rejected []rejectedHead) {
	for _, r := range rejected {
		b.Metrics.Counter("request_heads_rejected_total").Inc(1)
		b.Log.Info().Stringer("caller", r.caller).Int64("held", r.held).Int64("byCaller", r.byCaller).Dur("age", r.age).Msg("head-rejected")
	}
}

// release ends the counting of a connection: its head is complete, or it is closed.
func (b *HeadBudget) release(t *trackedConn) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(t)
	if t.headRejected.Swap(false) {
		_ = t.SetReadDeadline(time.Time{}) // its head was complete already; an error means that it is closed
	}
}

// remove removes a connection from the sums. The caller holds the lock.
func (b *HeadBudget) remove(t *trackedConn) {
	delete(b.reading, t)
	b.held -= t.head
	t.head = 0
}

// aLongTimeAgo is a deadline that interrupts pending I/O immediately.
var aLongTimeAgo = time.Unix(1, 0)

// endsHead reports whether a part contains the empty line after a head. What follows it is a body.
func endsHead(part []byte) bool {
	return bytes.Contains(part, []byte("\n\r\n")) || bytes.Contains(part, []byte("\n\n"))
}

// readHead counts a part of a head that has been read, and returns the result of Read.
func (t *trackedConn) readHead(part []byte, err error) (int, error) {
	if endsHead(part) && !t.headRejected.Load() {
		return len(part), err
	}
	if !t.heads.add(t, part) {
		return 0, t.endHead()
	}
	return len(part), err
}

// endHead ends the connection because of its head, and returns the error of Read.
func (t *trackedConn) endHead() error {
	t.refuse(t.heads.Response) // unless a planned stop has ended it
	return errEnded
}
