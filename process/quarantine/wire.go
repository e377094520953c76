// SPDX-License-Identifier: MIT

package quarantine

import (
	"bytes"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"shalewick/process/crash"
	"shalewick/process/packed"
	"shalewick/request"
)

// The first byte of a message says what it is. 1 and 2 are those of quotas, 3 and 4 those of
// roll-outs.
const (
	kindReport       = 5
	kindConfirmation = 6
	kindEntry        = 7
	kindObjection    = 8
)

// mostPath bounds a path in a message, in bytes, so that a report of crash.MostSuspects
// fits in a datagram of 2 kB.
const maxPathBytes = 56

// report is what an instance tells the owner of a service: that requests were in flight at a
// crash.
type report struct {
	Seq      uint32 // of the sender, which the confirmation repeats
	Crash    crashID
	Service  string
	AgeMs    uint32 // of the crash
	Suspects []reportedSuspect
}

type reportedSuspect struct {
	Request request.Fingerprint
	Path    string
}

// confirmed says that a report was taken up.
type confirmation struct {
	Seq uint32
}

// told is an entry, with the age of the first crash that it was made from.
type entryUpdate struct {
	Entry   Entry
	FirstMs uint32
}

// objection says that a request was answered after the first crash that it is blamed for.
type objection struct {
	Request request.Fingerprint
	Stamp   uint32 // of the entry
}

// reply is a list of entries, as instances ask each other for it.
type reply struct {
	// Learned is false while the instance that answers waits for others itself.
	Learned bool
	Entries []Entry
}

// encode writes a kind and a message, whose fields are told by their order.
func encode(kind byte, message any) ([]byte, error) {
	out := bytes.NewBuffer([]byte{kind})
	e := msgpack.NewEncoder(out)
	e.UseArrayEncodedStructs(true)
	err := e.Encode(message)
	return out.Bytes(), errors.Trace(err)
}

func decode[T any](text []byte) (T, error) {
	var out T
	if err := packed.Check(text); err != nil {
		return out, errors.Trace(err)
	}
	err := msgpack.Unmarshal(text, &out)
	return out, errors.Trace(err)
}

// decodeReport reads a report and checks its bounds.
func decodeReport(text []byte) (report, error) {
	r, err := decode[report](text)
	if err == nil && len(r.Suspects) > crash.MaxSuspects {
		return r, errors.Errorf("report of %d suspects", len(r.Suspects))
	}
	return r, err
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, min(d.Milliseconds(), 1<<32-1))) }
func duration(ms uint32) time.Duration    { return time.Duration(ms) * time.Millisecond }
