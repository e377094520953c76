// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/process/metric"
	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/process/slots"
	"shalewick/version"
)

func validSettings() Settings {
	return Settings{
		Instance: "e", Hall: "h", Front: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0",
		Platform: "http://127.0.0.1:1", LogLevel: "info",
	}
}

func TestInvalidSettingsNameFlag(t *testing.T) {
	valid := validSettings()
	assert.NilError(t, valid.Validate())
	for want, invalidate := range map[string]func(*Settings){
		"--instance":  func(s *Settings) { s.Instance = "" },
		"--hall":      func(s *Settings) { s.Hall = "" },
		"--front":     func(s *Settings) { s.Front = "localhost:1" },
		"--peer":      func(s *Settings) { s.Peer = "1.2.3.4" },
		"--admin":     func(s *Settings) { s.Admin = "x" },
		"--platform":  func(s *Settings) { s.Platform = "ftp://x" },
		"--peers":     func(s *Settings) { s.Peers = []string{"y"} },
		"--grace":     func(s *Settings) { s.Grace = -1 },
		"--log-level": func(s *Settings) { s.LogLevel = "loud" },
	} {
		s := validSettings()
		invalidate(&s)
		_, err := Start(s, io.Discard)
		assert.ErrorContains(t, err, want)
	}
}

func TestLogLineFormat(t *testing.T) {
	var b bytes.Buffer
	l := logging.New(&b)
	l.Info().Str("backend", "u 1").Int("code", 20).Msg("refused")
	assert.Equal(t, strings.Count(b.String(), "\n"), 1)
	for _, pair := range []string{"time=", "level=info", "event=refused", "code=20", `backend="u 1"`} {
		assert.Assert(t, strings.Contains(b.String(), pair), b.String())
	}
}

// newTestEntry returns an entry without listeners and background loops.
func newTestEntry() *Entry {
	metrics := metric.NewSet()
	e := &Entry{
		settings: validSettings(), log: logging.New(io.Discard), started: time.Now(), platform: platform.NewClient("http://127.0.0.1:1"),
		metrics: metrics, peers: newPeerConns(metrics), tokenShortage: make(chan struct{}, 1),
		pushNeeded: make(chan struct{}, 1), splitNeeded: make(chan struct{}, 1), synced: make(chan struct{}),
	}
	e.initComponents()
	return e
}

// newConfiguredEntry returns a test entry that has a version with the given
// number of backend servers.
func newConfiguredEntry(tb testing.TB, backends int) *Entry {
	tb.Helper()
	var docs strings.Builder
	docs.WriteString("kind: region\nname: r\nspec: {}\n---\nkind: hall\nname: h\nspec: {region: r}\n---\n")
	docs.WriteString("kind: service\nname: s\nspec: {routes: [{prefix: /, class: read, deadline: 1s}]}\n")
	for i := range backends {
		fmt.Fprintf(&docs, "---\nkind: backend\nname: u%d\nspec: {service: s, hall: h, address: \"10.1.%d.%d:80\", slots: 4}\n", i, i/250, i%250)
	}
	rs, err := version.Parse([]byte(docs.String()))
	assert.NilError(tb, err)
	cfg, _, err := (&version.Config{}).Propose(version.Change{Operation: "o", Puts: rs})
	assert.NilError(tb, err)
	e := newTestEntry()
	assert.NilError(tb, e.store.AdoptSnapshot(cfg))
	return e
}

// FuzzAbsorb applies arbitrary peer states.
func FuzzAbsorb(f *testing.F) {
	splitJSON, err := json.Marshal(slots.Split{Epoch: 2, Members: []string{"m"}, Pools: map[string]slots.PoolSplit{"upstream/u0": {Owners: []int32{0, 0}}}})
	assert.NilError(f, err)
	for _, st := range []*peer.State{
		{},
		{Self: &peer.Member{Id: "m", Peer: "127.0.0.1:1"}, Seq: 5, Changes: [][]byte{[]byte(`{"seq":2,"operation":"x"}`)}},
		{Split: splitJSON, Leaving: []*peer.Leaving{{Backend: "u0", Boot: "b"}}},
	} {
		b, err := proto.Marshal(st)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var st peer.State
		if proto.Unmarshal(b, &st) != nil {
			return
		}
		e := newConfiguredEntry(t, 2)
		before := e.store.Config().Seq
		e.applyState(&st)
		assert.Assert(t, e.store.Config().Seq >= before)
		e.slots.Status(e.now())
		e.slots.Lessors(slots.Want{Service: "s", Region: "r", Tokens: 1})
	})
}

// BenchmarkExchange measures the receiving side of an exchange with different
// numbers of members.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{12, 120, 620} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newConfiguredEntry(b, 100)
			for i := range n {
				e.members.Merge([]*peer.Member{{
					Id: fmt.Sprintf("entry-%d.abcdefgh", i), Instance: fmt.Sprintf("entry-%d", i), Hall: "h",
					Front: fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250), Peer: fmt.Sprintf("10.2.%d.%d:8001", i/250, i%250),
				}}, e.now())
			}
			in := e.state()
			size := proto.Size(in)
			s := &peerServer{entry: e}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Exchange(b.Context(), in); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "B/message")
			b.ReportMetric(float64(proto.Size(&peer.State{Members: e.members.All(e.now())}))/float64(n), "B/member")
		})
	}
}

// BenchmarkInstall measures adopting one change with different numbers of
// backend servers.
func BenchmarkInstall(b *testing.B) {
	for _, n := range []int{50, 500, 1900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newConfiguredEntry(b, n)
			seq := e.store.Config().Seq
			bytes := 0
			for b.Loop() {
				seq++
				ch := version.Change{Seq: seq, Operation: "x", Puts: []version.Resource{{
					Key: version.Key{Kind: version.KindRegion, Name: "r"}, Region: &version.Region{Description: "y"},
				}}}
				j, err := json.Marshal(ch)
				assert.NilError(b, err)
				bytes = len(j)
				assert.NilError(b, e.store.Adopt(ch))
			}
			b.ReportMetric(float64(bytes), "B/change")
		})
	}
}

// BenchmarkTick measures one tick over the tokens of different numbers of
// backend servers.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{50, 500, 1900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newConfiguredEntry(b, n)
			in := slots.PlanInput{Live: []slots.Candidate{{ID: e.members.Self().GetId(), Region: "r"}}, View: e.steer.Active().View}
			split, _ := slots.Plan(&slots.Split{}, in)
			e.slots.SetSplit(split, e.now())
			j, err := json.Marshal(split)
			assert.NilError(b, err)
			for b.Loop() {
				e.slots.Tick(e.now())
			}
			b.ReportMetric(float64(len(j))/float64(n*4), "B/token")
		})
	}
}
