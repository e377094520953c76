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

// datagramRoom is what a message between instances may take, in bytes.
const maxDatagram = 2047

// TestLargestMessagesFitInADatagram checks a report of as many suspects as there may be, and
// an entry.
func TestLargestMessagesFitInDatagram(t *testing.T) {
	q := newSingle()
	c := crash.Crash{Backend: strings.Repeat("b", 40), Incarnation: 1 << 50, Service: strings.Repeat("s", 60)}
	for i := range crash.MaxSuspects {
		c.Suspects = append(c.Suspects, crash.Suspect{Request: 1<<63 + request.Fingerprint(i), Path: strings.Repeat("p", 80)})
	}
	p := q.newReport(c, 0)
	p.report.AgeMs = 1 << 31
	text, err := encode(kindReport, &p.report)
	assert.NilError(t, err)
	assert.Assert(t, len(text) <= maxDatagram, "%d bytes", len(text))
	r, err := decodeReport(text[1:])
	assert.NilError(t, err)
	assert.DeepEqual(t, r, p.report)
	e := Entry{Request: 1 << 63, Service: c.Service, Path: strings.Repeat("p", maxPathBytes), Crashes: 1 << 20, At: 1 << 50, Stamp: 1 << 20}
	text, err = encode(kindEntry, &entryUpdate{Entry: e, FirstMs: 1 << 30})
	assert.NilError(t, err)
	assert.Assert(t, len(text) <= 250, "%d bytes", len(text))
}

func newSingle() *Quarantine {
	q := New()
	q.Now = func() time.Duration { return time.Hour }
	q.Owners = func(string) (Owner, Owner) { return Owner{Name: "x"}, Owner{Name: "x"} }
	q.Send, q.SendAll = func(string, []byte) {}, func([]byte) {}
	q.Log = zerolog.Nop()
	return q
}

// FuzzHear feeds an instance any bytes as messages and as a list: it must neither fail nor
// refuse more than its bound, and messages of other parts must be left to them.
func FuzzReceive(f *testing.F) {
	q := newSingle()
	p := q.newReport(crash.Crash{Backend: "b", Service: "s", Suspects: suspects(1, 2)}, 0)
	for kind, m := range map[byte]any{
		kindReport: &p.report, kindConfirmation: &confirmation{Seq: 1}, kindEntry: &entryUpdate{Entry: Entry{Request: 1, Stamp: 1}},
		kindObjection: &objection{Request: 1, Stamp: 1},
	} {
		text, err := encode(kind, m)
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, text []byte) {
		q := newSingle()
		mine := q.Receive("10.0.0.1:1", text)
		assert.Equal(t, mine, len(text) > 0 && text[0] >= kindReport && text[0] <= kindObjection)
		_ = q.MergeReply(text, "10.0.0.1:1") // most can't be read
		assert.Assert(t, q.Count() <= MaxEntries)
		q.Tick()
	})
}

// BenchmarkRefuses measures what each request pays, with an empty and a full list.
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

// BenchmarkAnswered measures what each answer pays.
func BenchmarkAnswered(b *testing.B) {
	q := newSingle()
	for b.Loop() {
		q.RecordAnswer(12345)
	}
}
