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

// casInput is a compare-and-swap of the contested resource by one operator.
type casInput struct {
	expected int64 // version that the change is based on
	text     string
}

// casOutput is the result of a compare-and-swap: the accepted version, or the current
// version if the change was rejected.
type casOutput struct {
	accepted int64
	current  int64
}

// casModel is a single versioned resource: a write takes effect if and only if it
// names the current version.
var casModel = porcupine.Model{
	Init: func() any { return int64(1) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(int64), input.(casInput), output.(casOutput)
		if out.accepted != 0 {
			return in.expected == current && out.accepted > current, out.accepted
		}
		return in.expected != current && out.current == current, current
	},
}

// contestedRegion returns the resource that all operators write.
func contestedRegion(text string, v int64) version.Resource {
	return version.Resource{
		Key: version.Key{Kind: version.KindRegion, Name: "north"}, Version: v, Region: &version.Region{Description: text},
	}
}

// operatorRace collects the results of operators that concurrently write one resource.
type operatorRace struct {
	mu         sync.Mutex
	history    []porcupine.Operation
	texts      map[int64]string    // text of each accepted version
	acceptedAt map[int64]time.Time // time of acceptance of each version
	unknown    int
}

// run writes the resource as one operator until the given time.
func (o *operatorRace) run(t *testing.T, client int, op *operator.Client, until time.Time) {
	expected := int64(1)
	for n := 0; time.Now().Before(until); n++ {
		text := fmt.Sprintf("%d-%d", client, n)
		start := time.Now().UnixNano()
		applied, err := op.Apply(context.Background(), []version.Resource{contestedRegion(text, expected)})
		out := casOutput{accepted: applied.Version}
		var rejected *operator.RefusedError
		switch {
		case errors.As(err, &rejected) && rejected.Code == request.Conflict && rejected.Present != nil:
			out.current = rejected.Present.Version
		case errors.As(err, &rejected) && rejected.Code == request.PlatformDown:
			time.Sleep(50 * time.Millisecond) // nothing was written
			continue
		case err != nil:
			// The client gave up, so the outcome of the write is not known.
			o.mu.Lock()
			o.unknown++
			o.mu.Unlock()
			t.Logf("outcome not known: %v", err)
			return
		}
		o.mu.Lock()
		o.history = append(o.history, porcupine.Operation{
			ClientId: client, Input: casInput{expected, text}, Output: out, Call: start, Return: time.Now().UnixNano(),
		})
		if out.accepted != 0 {
			o.texts[out.accepted] = text
			o.acceptedAt[out.accepted] = time.Now()
		}
		o.mu.Unlock()
		expected = max(out.accepted, out.current)
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	}
}

// observation is the resource that an entry had in force at some time.
type observation struct {
	at      time.Time
	version int64
	text    string
}

// pollEntry reads the contested resource at one entry until stop is set.
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

// TestConfigurationNeverReverts checks that writes are linearizable, that the version at
// each entry never decreases and holds the accepted text, and that an accepted version is
// in force at all entries within 3 s. Meanwhile operators write concurrently, responses of
// the platform are lost after the write, and entries are killed, frozen, and started while
// the platform is down.
func TestConfigurationNeverReverts(t *testing.T) {
	c := newCluster(t, clusterOptions{size: fleet.Caroni(), entries: 7})
	o := &operatorRace{texts: map[int64]string{1: ""}, acceptedAt: make(map[int64]time.Time)}
	c.platformFault(standplatform.Fault{LoseResponses: 0.3, SlowMs: 3})
	until := time.Now().Add(14 * time.Second)
	var writers sync.WaitGroup
	for i := range 4 {
		// Each operator starts with a different instance.
		op := operator.New(append(append([]string(nil), c.op.Addresses[i:]...), c.op.Addresses[:i]...))
		writers.Go(func() { o.run(t, i, op, until) })
	}
	var stop atomic.Bool
	readings := make([][]observation, len(c.entries))
	var readers sync.WaitGroup
	for i, e := range c.entries {
		readers.Go(func() { readings[i] = pollEntry(e, &stop) })
	}
	time.Sleep(2 * time.Second)
	c.entries[4].Suspend()
	c.entries[6].Kill()
	time.Sleep(3 * time.Second)
	c.entries[4].Resume()
	c.platformFault(standplatform.Fault{Down: true})
	time.Sleep(500 * time.Millisecond)
	o.mu.Lock()
	newest := int64(1)
	for v := range o.acceptedAt {
		newest = max(newest, v)
	}
	o.mu.Unlock()
	// An entry that starts while the platform is down gets the version from its peers.
	started := c.startEntry("entry-fresh", 6)
	c.waitEntryReady(started)
	res, err := operator.New([]string{started.admin}).Get(context.Background(), version.Key{Kind: version.KindRegion, Name: "north"})
	assert.NilError(t, err)
	assert.Assert(t, res.Version >= newest, "the new entry has version %d, version %d was accepted", res.Version, newest)
	c.platformFault(standplatform.Fault{LoseResponses: 0.3, SlowMs: 3})
	writers.Wait()
	time.Sleep(500 * time.Millisecond)
	stop.Store(true)
	readers.Wait()
	assert.Equal(t, o.unknown, 0)
	assert.Assert(t, len(o.acceptedAt) > 20, "too few changes")
	assert.Equal(t, porcupine.CheckOperations(casModel, o.history), true)
	o.checkObservations(t, readings)
	t.Logf("%d calls, %d accepted", len(o.history), len(o.acceptedAt))
}

// checkObservations checks that versions never decrease and hold the accepted text, and
// that each accepted version was in force within 3 s at each entry that ran throughout.
func (o *operatorRace) checkObservations(t *testing.T, readings [][]observation) {
	t.Helper()
	var maxDelay time.Duration
	for entry, rs := range readings {
		last := int64(0)
		for _, r := range rs {
			assert.Assert(t, r.version >= last, "entry %d reverted from version %d to %d", entry, last, r.version)
			assert.Equal(t, r.text, o.texts[r.version], "entry %d, version %d", entry, r.version)
			last = r.version
		}
		if entry == 4 || entry == 6 {
			continue // frozen or killed
		}
		for v, accepted := range o.acceptedAt {
			for _, r := range rs {
				if r.version >= v {
					maxDelay = max(maxDelay, r.at.Sub(accepted))
					break
				}
			}
			assert.Assert(t, last >= v, "entry %d never reached version %d", entry, v)
		}
	}
	t.Logf("in force at all entries at most %v after acceptance", maxDelay)
	assert.Assert(t, maxDelay < 3*time.Second)
}
