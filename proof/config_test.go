// SPDX-License-Identifier: MIT

package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/operator"
	"shalewick/request"
	"shalewick/standin/fleet"
	standplatform "shalewick/standin/platform"
	"shalewick/version"
)

// write is one operator's change of the contested resource.
type casInput struct {
	expected int64 // version that it names
	text     string
}

// written is how it ended: accepted as a version, or refused with the present.
type casOutput struct {
	accepted int64
	current  int64
}

// casModel is one resource with versions: a write takes effect exactly when it
// names the present version.
var casModel = porcupine.Model{
	Init: func() any { return int64(1) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(int64), input.(casInput), output.(casOutput)
		if out.accepted != 0 {
			return in.expected == now && out.accepted > now, out.accepted
		}
		return in.expected != now && out.current == now, now
	},
}

func contestedRegion(text string, v int64) version.Resource {
	return version.Resource{
		Key: version.Key{Kind: version.KindRegion, Name: "north"}, Version: v, Region: &version.Region{Description: text},
	}
}

// operators race on one resource until the time is over.
type operatorRace struct {
	mu         sync.Mutex
	history    []porcupine.Operation
	texts      map[int64]string    // accepted versions
	acceptedAt map[int64]time.Time // of acceptance
	unknown    int
}

func (o *operatorRace) run(t *testing.T, client int, op *operator.Client, until time.Time) {
	against := int64(1)
	for n := 0; time.Now().Before(until); n++ {
		text := fmt.Sprintf("%d-%d", client, n)
		start := time.Now().UnixNano()
		applied, err := op.Apply(context.Background(), []version.Resource{contestedRegion(text, against)})
		out := casOutput{accepted: applied.Version}
		var refused *operator.RefusedError
		switch {
		case errors.As(err, &refused) && refused.Code == request.Conflict && refused.Present != nil:
			out.current = refused.Present.Version
		case errors.As(err, &refused) && refused.Code == request.PlatformDown:
			time.Sleep(50 * time.Millisecond) // nothing was written
			continue
		case err != nil:
			// Not known: the client gave up. Its end is open.
			o.mu.Lock()
			o.unknown++
			o.mu.Unlock()
			t.Logf("outcome not known: %v", err)
			return
		}
		o.mu.Lock()
		o.history = append(o.history, porcupine.Operation{
			ClientId: client, Input: casInput{against, text}, Output: out, Call: start, Return: time.Now().UnixNano(),
		})
		if out.accepted != 0 {
			o.texts[out.accepted] = text
			o.acceptedAt[out.accepted] = time.Now()
		}
		o.mu.Unlock()
		against = max(out.accepted, out.current)
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	}
}

// reading is what an entry had in force at a time.
type observation struct {
	at      time.Time
	version int64
	text    string
}

// readEntry polls the contested resource at one entry.
func pollEntry(e *instance, stop *atomic.Bool) []observation {
	var out []observation
	c := http.Client{Timeout: 300 * time.Millisecond}
	for !stop.Load() {
		time.Sleep(10 * time.Millisecond)
		res, err := c.Get("http://" + e.admin + "/v1/resources/region/north")
		if err != nil {
			continue
		}
		var r version.Resource
		err = json.NewDecoder(res.Body).Decode(&r)
		_ = res.Body.Close()
		if err == nil && r.Region != nil {
			out = append(out, observation{time.Now(), r.Version, r.Region.Description})
		}
	}
	return out
}

// TestConfigurationNeverReverts: operators race, answers are lost after the
// write, entries are killed, frozen and started with the platform down. The
// writes are linearizable; each entry's version only rises, and shows what was
// accepted; and an accepted version is in force everywhere within seconds.
func TestConfigurationNeverReverts(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 7})
	o := &operatorRace{texts: map[int64]string{1: ""}, acceptedAt: make(map[int64]time.Time)}
	c.platformFault(standplatform.Fault{LoseAnswers: 0.3, SlowMs: 3})
	until := time.Now().Add(14 * time.Second)
	var all sync.WaitGroup
	for i := range 4 {
		// Each operator has a first instance of its own.
		op := operator.New(append(append([]string(nil), c.op.Addresses[i:]...), c.op.Addresses[:i]...))
		all.Go(func() { o.run(t, i, op, until) })
	}
	var stop atomic.Bool
	readings := make([][]observation, len(c.entries))
	var readers sync.WaitGroup
	for i, e := range c.entries {
		readers.Go(func() { readings[i] = pollEntry(e, &stop) })
	}
	time.Sleep(2 * time.Second)
	c.entries[4].Freeze()
	c.entries[6].Kill()
	time.Sleep(3 * time.Second)
	c.entries[4].Thaw()
	c.platformFault(standplatform.Fault{Down: true})
	time.Sleep(500 * time.Millisecond)
	o.mu.Lock()
	newest := int64(1)
	for v := range o.acceptedAt {
		newest = max(newest, v)
	}
	o.mu.Unlock()
	// A new process with the platform down takes the version from its peers.
	fresh := c.startEntry("entry-fresh", 6)
	c.waitEntryReady(fresh)
	res, err := operator.New([]string{fresh.admin}).Get(context.Background(), version.Key{Kind: version.KindRegion, Name: "north"})
	assert.NilError(t, err)
	assert.Assert(t, res.Version >= newest, "fresh has %d, accepted was %d", res.Version, newest)
	c.platformFault(standplatform.Fault{LoseAnswers: 0.3, SlowMs: 3})
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	stop.Store(true)
	readers.Wait()
	assert.Equal(t, o.unknown, 0)
	assert.Assert(t, len(o.acceptedAt) > 20, "too few changes")
	assert.Equal(t, porcupine.CheckOperations(casModel, o.history), true)
	o.checkObservations(t, readings)
	t.Logf("%d calls, %d accepted", len(o.history), len(o.acceptedAt))
}

// checkReadings checks that versions only rise and are as accepted, and
// measures how long each took to be in force at each entry that ran.
func (o *operatorRace) checkObservations(t *testing.T, readings [][]observation) {
	t.Helper()
	var worst time.Duration
	for entry, rs := range readings {
		last := int64(0)
		for _, r := range rs {
			assert.Assert(t, r.version >= last, "entry %d went back from %d to %d", entry, last, r.version)
			assert.Equal(t, r.text, o.texts[r.version], "entry %d, version %d", entry, r.version)
			last = r.version
		}
		if entry == 4 || entry == 6 {
			continue // frozen or killed
		}
		for v, accepted := range o.acceptedAt {
			for _, r := range rs {
				if r.version >= v {
					worst = max(worst, r.at.Sub(accepted))
					break
				}
			}
			assert.Assert(t, last >= v, "entry %d never had version %d", entry, v)
		}
	}
	t.Logf("in force everywhere at most %v after acceptance", worst)
	assert.Assert(t, worst < 3*time.Second)
}
