// SPDX-License-Identifier: MIT

package report

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/explain"
)

const testLog = `time=2026-01-02T02:02:00Z level=info event=started hall=h1 instance=a
time=2026-01-02T02:02:01.1Z event=answered attempts=1 class=read id=1 instance=a late=false rank=0 service=s unseen=false
time=2026-01-02T02:02:01.2Z event=answered attempts=1 class=read id=2 instance=a late=true leftOut=7 rank=0 service=s unseen=true
this is no line of a log
time=2026-01-02T02:02:01.3Z event=refused class=read code=20 id=3 instance=a ran=no service=s
time=2026-01-02T02:02:02.4Z event=refused class=commit code=42 id=4 instance=b ran=unknown service=t
time=2026-01-02T02:02:02.5Z event=refused class=commit code=22 cold=3 closed=1 id=5 instance=b ran=no service=t
`

// readLog returns a report on a log with the given text.
func readLog(t *testing.T, text string) *Report {
	t.Helper()
	r := New(time.Second)
	assert.NilError(t, r.Read("log", strings.NewReader(text)))
	return r
}

func TestRequestsAreCountedByOutcome(t *testing.T) {
	r := readLog(t, testLog)
	assert.Equal(t, r.Lines, 7)
	assert.Equal(t, r.Malformed, 1)
	assert.DeepEqual(t, r.MalformedLines, []string{"log:4"})
	assert.Equal(t, r.Estimated, 7)
	services := r.sumBy(func(g Group) string { return g.Service })
	assert.Equal(t, services["s"], Counts{InTime: 1, Late: 8, Refused: 1})
	assert.Equal(t, services["t"], Counts{Refused: 1, Failed: 1})
	halls := r.sumBy(func(g Group) string { return g.Hall })
	assert.Equal(t, halls["h1"].Total(), 10)
	assert.Equal(t, halls["b"].Total(), 2, "instance without a started event in the log")
	var causes []string
	for cause := range r.sumBy(func(g Group) string { return g.Cause }) {
		causes = append(causes, cause)
	}
	assert.Equal(t, len(causes), 5, "%v", causes)
	var out strings.Builder
	assert.NilError(t, r.Print(&out))
	for _, want := range []string{"object unseen 8, no room 1", "answer lost 1, backend servers cold 1", "first log:4"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s in\n%s", want, out.String())
	}
}

func TestPageIsSelfContained(t *testing.T) {
	r := readLog(t, testLog+"time=2026-01-02T02:02:03Z event=refused code=20 instance=<b> ran=no service=<script>\n")
	var out strings.Builder
	assert.NilError(t, r.WriteHTML(&out))
	page := out.String()
	assert.Equal(t, strings.Count(page, "<svg"), 2)
	for _, unwanted := range []string{"<script", "src=", "href=", "@import", "<link"} {
		assert.Assert(t, !strings.Contains(page, unwanted), unwanted)
	}
	assert.Assert(t, strings.Contains(page, "&lt;script&gt;"))
}

func TestEmptyReport(t *testing.T) {
	r := readLog(t, "")
	assert.NilError(t, r.Print(io.Discard))
	assert.NilError(t, r.WriteHTML(io.Discard))
}

func TestLongLineIsSkipped(t *testing.T) {
	r := readLog(t, strings.Repeat("x", 3*maxLineBytes)+"\n"+testLog)
	assert.Equal(t, r.sumBy(func(g Group) string { return g.Service })["s"].Total(), 10)
}

// Many windows and groups must neither exceed maxCounts nor lose requests.
func TestMemoryIsBounded(t *testing.T) {
	r := New(time.Second)
	start := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	const lines = 400_000
	for i := range lines {
		l, ok := explain.ParseLine(fmt.Sprintf("time=%s event=refused code=20 instance=i%d ran=no service=s%d",
			start.Add(time.Duration(i/4)*time.Second).Format(time.RFC3339), i%7, i%5))
		assert.Assert(t, ok)
		r.Add(&l)
	}
	assert.Assert(t, len(r.counts) <= maxCounts)
	assert.Equal(t, r.sumBy(func(Group) string { return "" })[""].Total(), lines, "doubling the windows lost requests")
	assert.Assert(t, r.Window > time.Second)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	assert.Assert(t, m.HeapAlloc < 64<<20, "%d bytes", m.HeapAlloc)
}

func FuzzRead(f *testing.F) {
	f.Add(testLog)
	f.Add("time=2026-01-02T02:02:01Z event=refused code=999999 leftOut=-5 instance=\"a")
	f.Fuzz(func(t *testing.T, text string) {
		r := New(time.Second)
		assert.NilError(t, r.Read("log", strings.NewReader(text)))
		assert.NilError(t, r.Print(io.Discard))
	})
}
