// SPDX-License-Identifier: MIT

package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
	"shalewick/version"
)

// wave is a model of some backend servers that turn everything away for a while, before many
// instances. Time is the model's own.
type wave struct {
	instances, backends, turning int
	rate                         int           // requests a second, over all instances
	asks                         time.Duration // the time that each refusal asks for
	told                         bool          // instances tell each other
}

// Times of the model.
const (
	waveBegins = time.Second
	waveEnds   = 10 * time.Second
	wavePlayed = 13 * time.Second
	waveWork   = 100 * time.Millisecond
	waveBeat   = 500 * time.Millisecond // between two tellings of an instance
)

// play returns how many refusals instances met, and how many requests were refused for good:
// a request may be sent twice.
func (w wave) play(seed uint64) (met, refused int) {
	random := rand.New(rand.NewPCG(seed, 1))
	all := make([]*place, w.instances)
	for i := range all {
		p := newPlace(w.instances)
		p.route(version.WeightedService{Service: "t", Weight: 1})
		for k := range w.backends {
			p.backend(fmt.Sprintf("u%d", k), 0, func(b *version.Backend) { b.Service = "t" })
		}
		p.install()
		all[i] = p
	}
	turns := make(map[string]bool)
	for k := range w.turning {
		turns[fmt.Sprintf("u%d", k)] = true
	}
	type running struct {
		pick *Pick
		end  time.Duration
	}
	var flying []running
	begun := all[0].now
	gap := time.Second / time.Duration(w.rate)
	for now, beat := time.Duration(0), time.Duration(0); now < wavePlayed; now += gap {
		for _, p := range all {
			p.now = begun + now
		}
		for len(flying) > 0 && flying[0].end <= now {
			flying[0].pick.Done(Answered, &Report{Running: 1, Slots: 6})
			flying = flying[1:]
		}
		if beat += gap; w.told && beat >= waveBeat/time.Duration(w.instances) {
			beat = 0
			w.tell(all, random)
		}
		p := all[random.IntN(len(all))]
		q := p.query(random.Uint64N(500) + 1)
		served := false
		for range 2 {
			k, _ := p.Pick(q)
			if k == nil {
				break
			}
			q.Tried = append(q.Tried, k.Name)
			if turns[k.Name] && now >= waveBegins && now < waveEnds {
				met++
				k.Heed(request.Notice{RetryAfter: w.asks})
				k.Done(Refused, &Report{Slots: 6})
				continue
			}
			flying = append(flying, running{k, now + waveWork})
			served = true
			break
		}
		if !served {
			refused++
		}
	}
	return met, refused
}

// tell lets any instance tell some others what it knows: all of them, or those that a beat
// reaches in a large region.
func (w wave) tell(all []*place, random *rand.Rand) {
	const reached, size = 14, 180
	from := all[random.IntN(len(all))]
	text := from.Observations(size)
	for range min(len(all)-1, reached) {
		all[random.IntN(len(all))].Hear(text)
	}
}

// TestWordOfOthersSparesCallers measures what it is worth that instances tell each other who asked
// to be left alone: refusals that callers' requests meet, and requests refused for good.
func TestWordOfOthersSparesCallers(t *testing.T) {
	for _, w := range []wave{
		{instances: 12, backends: 20, turning: 6, rate: 240, asks: 3 * time.Second},
		{instances: 100, backends: 60, turning: 18, rate: 1000, asks: 3 * time.Second},
	} {
		met, refused := 0, 0
		metTold, refusedTold := 0, 0
		for seed := range uint64(5) {
			m, r := w.play(seed)
			met, refused = met+m, refused+r
			w.told = true
			m, r = w.play(seed)
			metTold, refusedTold = metTold+m, refusedTold+r
			w.told = false
		}
		t.Logf("%d instances: %d refusals met, %d refused for good; told: %d and %d", w.instances, met, refused, metTold, refusedTold)
		assert.Assert(t, metTold < met)
	}
}
