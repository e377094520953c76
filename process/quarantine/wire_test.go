// SPDX-License-Identifier: MIT

package quarantine

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/crash"
	"shalewick/request"
)

// maxDatagram is the maximum size of a message between instances, in bytes.
const maxDatagram = 2047

// TestLargestMessagesFitInDatagram checks a report with the maximum number of suspects, and an
// entry.
func TestLargestMessagesFitInDatagram(t *testing.T) {
	q := newSingle()
	c := crash.Crash{Backend: strings.Repeat("b", 40), Incarnation: 1 << 50, Service: strings.Repeat("s", 60)}
	for i := range crash.MaxSuspects {
		c.Suspects = append(c.Suspects, crash.Suspect{Request: 1<<63 + request.Fingerprint(i), Path: strings.Repeat("p", 80)})
	}
	p := q.newReport(c, 0)
	p.report.AgeMs = 1 << 31
	payload, err := encode(kindReport, &p.report)
	assert.NilError(t, err)
	assert.Assert(t, len(payload) <= maxDatagram, "%d bytes", len(payload))
	r, err := decodeReport(payload[1:])
	assert.NilError(t, err)
	assert.DeepEqual(t, r, p.report)
	e := Entry{Request: 1 << 63, Service: c.Service, Path: strings.Repeat("p", maxPathBytes), Crashes: 1 << 20, At: 1 << 50, Stamp: 1 << 20}
	payload, err = encode(kindEntry, &entryUpdate{Entry: e, FirstMs: 1 << 30})
	assert.NilError(t, err)
	assert.Assert(t, len(payload) <= 250, "%d bytes", len(payload))
}

func newSingle() *Quarantine {
	q := New()
	q.Now = func() time.Duration { return time.Hour }
	q.Owners = func(string) (Owner, Owner) { return Owner{Name: "x"}, Owner{Name: "x"} }
	q.Send, q.SendAll = func(string, []byte) {}, func([]byte) {}
	q.Log = zerolog.Nop()
	return q
}

// FuzzReceive passes arbitrary bytes as a message and as a list: the instance must not panic or
// refuse more requests than its limit, and must leave messages of other packages alone.
func FuzzReceive(f *testing.F) {
	q := newSingle()
	p := q.newReport(crash.Crash{Backend: "b", Service: "s", Suspects: suspects(1, 2)}, 0)
	for kind, m := range map[byte]any{
		kindReport: &p.report, kindConfirmation: &confirmation{Seq: 1}, kindEntry: &entryUpdate{Entry: Entry{Request: 1, Stamp: 1}},
		kindObjection: &objection{Request: 1, Stamp: 1},
	} {
		payload, err := encode(kind, m)
		assert.NilError(f, err)
		f.Add(payload)
	}
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, payload []byte) {
		q := newSingle()
		handled := q.Receive("10.0.0.1:1", payload)
		assert.Equal(t, handled, len(payload) > 0 && payload[0] >= kindReport && payload[0] <= kindObjection)
		_ = q.MergeReply(payload, "10.0.0.1:1") // most inputs are invalid
		assert.Assert(t, q.Count() <= MaxEntries)
		q.Tick()
	})
}

// BenchmarkRefuses measures the cost per request, with an empty and a full list.
func BenchmarkRefuses(b *testing.B) {
	for name, n := range map[string]int{"empty": 0, "full": MaxEntries} {
		q := newSingle()
		for i := range n {
			q.LoadEntries([]Entry{{Request: request.Fingerprint(i + 1), Stamp: 1}}, "")
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				q.Refuses(12345)
			}
		})
	}
}

// BenchmarkAnswered measures the cost per response.
func BenchmarkAnswered(b *testing.B) {
	q := newSingle()
	for b.Loop() {
		q.RecordResponse(12345)
	}
}
