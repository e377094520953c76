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

// The first byte of a message is its kind. 1 and 2 belong to package quota, 3 and 4 to rollouts.
const (
	kindReport       = 5
	kindConfirmation = 6
	kindEntry        = 7
	kindObjection    = 8
)

// maxPathBytes limits the length of a path in a message, so that a report of crash.MaxSuspects
// fits in a datagram of 2 kB.
const maxPathBytes = 56

// report is sent to the owner of a service: requests were in flight at a crash.
type report struct {
	Seq      uint32 // of the sender; repeated in the confirmation
	Crash    crashID
	Service  string
	AgeMs    uint32 // of the crash
	Suspects []reportedSuspect
}

type reportedSuspect struct {
	Request request.Fingerprint
	Path    string
}

// confirmation confirms that a report was received.
type confirmation struct {
	Seq uint32
}

// entryUpdate announces an entry, with the age of the first crash attributed to the request.
type entryUpdate struct {
	Entry   Entry
	FirstMs uint32
}

// objection states that a request was answered after the first crash attributed to it.
type objection struct {
	Request request.Fingerprint
	Stamp   uint32 // of the entry
}

// reply is the list of entries that an instance sends to another on request.
type reply struct {
	// Learned is false while the sender is not synced itself.
	Learned bool
	Entries []Entry
}

// encode encodes a message after its kind. Fields are identified by their order.
func encode(kind byte, message any) ([]byte, error) {
	out := bytes.NewBuffer([]byte{kind})
	e := msgpack.NewEncoder(out)
	e.UseArrayEncodedStructs(true)
	err := e.Encode(message)
	return out.Bytes(), errors.Trace(err)
}

func decode[T any](payload []byte) (T, error) {
	var out T
	if err := packed.Check(payload); err != nil {
		return out, errors.Trace(err)
	}
	err := msgpack.Unmarshal(payload, &out)
	return out, errors.Trace(err)
}

// decodeReport decodes a report and checks its limits.
func decodeReport(payload []byte) (report, error) {
	r, err := decode[report](payload)
	if err == nil && len(r.Suspects) > crash.MaxSuspects {
		return r, errors.Errorf("report with %d suspects exceeds the maximum", len(r.Suspects))
	}
	return r, err
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, min(d.Milliseconds(), 1<<32-1))) }
func duration(ms uint32) time.Duration    { return time.Duration(ms) * time.Millisecond }
