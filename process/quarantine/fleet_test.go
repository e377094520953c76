// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/crash"
	"shalewick/request"
)

// fleet simulates instances that report crashes to each other. Datagrams are delayed and some
// are lost. On each heartbeat an instance requests the list of another one if their digests
// differ.
type fleet struct {
	now          time.Duration
	random       *rand.Rand
	instances    []*instance
	inFlight     []datagram
	loss         float64
	datagrams    int
	bytes        int
	crashes      int                   // names the backend servers
	lastSuspects []request.Fingerprint // harmless requests in flight at the last crash
}

type instance struct {
	*Quarantine
	fleet         *fleet
	name          string
	region        int
	down          bool // neither sends nor receives
	nextHeartbeat time.Duration
}

// datagram is a message in flight.
type datagram struct {
	at       time.Duration
	from, to *instance
	payload  []byte
}

const (
	modelStep      = 10 * time.Millisecond
	modelHeartbeat = 500 * time.Millisecond
	regionalDelay  = 2 * time.Millisecond
	remoteDelay    = 40 * time.Millisecond
	modelRegions   = 6
)

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 5)), loss: 0.02, now: time.Hour}
	for i := range n {
		f.add(fmt.Sprintf("i%03d", i), i%modelRegions)
	}
	return f
}

func (f *fleet) add(name string, region int) *instance {
	x := &instance{Quarantine: New(), fleet: f, name: name, region: region, nextHeartbeat: f.now + time.Duration(f.random.Int64N(int64(modelHeartbeat)))}
	x.Now = func() time.Duration { return f.now }
	x.Log = zerolog.Nop()
	x.Owners = x.owners
	x.Send = func(to string, payload []byte) { x.send(f.find(to), payload) }
	x.SendAll = func(payload []byte) {
		for _, to := range f.instances {
			x.send(to, payload)
		}
	}
	f.instances = append(f.instances, x)
	return x
}

func (f *fleet) find(name string) *instance {
	for _, x := range f.instances {
		if x.name == name {
			return x
		}
	}
	return nil
}

// owners returns the first instance as the owner, and the first of the region as the regional
// owner, whether down or not: the failure has not been detected yet.
func (x *instance) owners(string) (owner, regional Owner) {
	asOwner := func(o *instance) Owner {
		if o == x {
			return Owner{Name: o.name}
		}
		return Owner{Name: o.name, Address: o.name}
	}
	for _, o := range x.fleet.instances {
		if o.region == x.region {
			return asOwner(x.fleet.instances[0]), asOwner(o)
		}
	}
	panic("the instance is in its own region")
}

func (x *instance) send(to *instance, payload []byte) {
	f := x.fleet
	if to == nil || to == x || x.down || to.down {
		return
	}
	f.datagrams++
	f.bytes += len(payload)
	if f.random.Float64() < f.loss {
		return
	}
	delay := regionalDelay
	if to.region != x.region {
		delay = remoteDelay
	}
	f.inFlight = append(f.inFlight, datagram{f.now + delay, x, to, payload})
}

// step advances the clock.
func (f *fleet) step() {
	f.now += modelStep
	due := f.inFlight
	f.inFlight = nil
	for _, d := range due {
		switch {
		case d.at > f.now:
			f.inFlight = append(f.inFlight, d)
		case !d.to.down:
			d.to.Receive(d.from.name, d.payload)
		}
	}
	for _, x := range f.instances {
		if x.down {
			continue
		}
		if f.now%TickInterval == 0 {
			x.Tick()
		}
		if f.now >= x.nextHeartbeat {
			x.nextHeartbeat += modelHeartbeat
			x.exchangeLists()
		}
	}
}

// exchangeLists compares the digest with that of a random instance, and requests its list if
// they differ.
func (x *instance) exchangeLists() {
	o := x.fleet.instances[x.fleet.random.IntN(len(x.fleet.instances))]
	if o.down || o.Digest() == 0 || o.Digest() == x.Digest() {
		return
	}
	payload, err := o.EncodeReply()
	if err == nil {
		_ = x.MergeReply(payload, o.name) // the other instance may not be synced
	}
}

// crash ends a backend server with requests of several instances in flight.
func (f *fleet) crash(inFlight map[*instance][]request.Fingerprint) {
	f.crashes++
	for _, x := range f.instances { // in a fixed order, so that a seed is reproducible
		if requests := inFlight[x]; len(requests) > 0 && !x.down {
			x.RecordCrash(crash.Crash{Backend: fmt.Sprint("b", f.crashes), Service: "s", Suspects: suspects(requests...)})
		}
	}
}

// repeatFraction is the fraction of the requests at a crash that are also at the next. In an
// incident with eight crashes per second, 13 of 134 lost requests were.
const repeatFraction = 0.2

// randomInFlight returns the harmless requests in flight at a backend server, by instance. Some
// were at the last crash and are retried at another instance; the others were answered since.
func (f *fleet) randomInFlight(n int) map[*instance][]request.Fingerprint {
	out := make(map[*instance][]request.Fingerprint)
	var all []request.Fingerprint
	for i := range n {
		r := request.Fingerprint(f.random.Uint64() | 1)
		if i < len(f.lastSuspects) {
			if f.random.Float64() < repeatFraction {
				r = f.lastSuspects[i]
			} else {
				f.randomLive().RecordResponse(f.lastSuspects[i])
			}
		}
		x := f.randomLive()
		out[x] = append(out[x], r)
		all = append(all, r)
	}
	f.lastSuspects = all
	return out
}

func (f *fleet) randomLive() *instance {
	for {
		if x := f.instances[f.random.IntN(len(f.instances))]; !x.down {
			return x
		}
	}
}

// attack sends a request that crashes backend servers to random instances, with two attempts
// each, for a duration. It returns the number of crashes, and how often the request was sent
// later than notice after the third crash.
func (f *fleet) attack(r request.Fingerprint, duration, pause, notice time.Duration) (crashed, late int) {
	var third time.Duration
	next := f.now
	for until := f.now + duration; f.now < until; f.step() {
		if f.now < next {
			continue
		}
		next = f.now + time.Duration(f.random.Int64N(int64(2*pause)))
		x := f.randomLive()
		for range 2 {
			if x.Refuses(r) {
				break
			}
			if third != 0 && f.now > third+notice {
				late++
			}
			inFlight := f.randomInFlight(6)
			inFlight[x] = append(inFlight[x], r)
			f.crash(inFlight)
			crashed++
			if crashed == 3 {
				third = f.now
			}
		}
	}
	return crashed, late
}

// wronglyRefused returns how many requests other than the culprits are refused by some instance.
func (f *fleet) wronglyRefused(culprits ...request.Fingerprint) int {
	quarantined := make(map[request.Fingerprint]bool)
	for _, x := range f.instances {
		for _, e := range x.Entries() {
			quarantined[e.Request] = quarantined[e.Request] || e.Quarantined()
		}
	}
	n := 0
	for r, refused := range quarantined {
		if refused {
			n++
		}
		for _, x := range culprits {
			if refused && r == x {
				n--
			}
		}
	}
	return n
}

// modelNotice is the time after the third crash by which all instances must refuse the request.
const modelNotice = time.Second

// TestFleetQuarantinesRequest attacks fleets of several sizes, and counts the requests that
// reach backend servers late, those refused wrongly, and the datagrams.
func TestFleetQuarantinesRequest(t *testing.T) {
	for _, n := range []int{1, 12, 77, 620} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds := max(2, 60/n)
			worst, wrong, crashes := 0, 0, 0
			f := &fleet{}
			for seed := range seeds {
				f = newFleet(n, uint64(seed))
				crashed, late := f.attack(7, 8*time.Second, 150*time.Millisecond, modelNotice)
				worst = max(worst, late)
				crashes = max(crashes, crashed)
				wrong += f.wronglyRefused(7)
			}
			t.Logf("%d seeds: at most %d crashes, %d late; %d requests refused wrongly; %d datagrams of %d bytes in 8 s", seeds, crashes, worst, wrong, f.datagrams, f.bytes)
			assert.Equal(t, worst, 0)
			assert.Equal(t, wrong, 0)
			assert.Assert(t, crashes <= 16, "%d", crashes)
		})
	}
}

// TestSeveralCulpritsAreDistinguished attacks with several requests at once, while backend
// servers also crash for other reasons.
func TestSeveralCulpritsAreDistinguished(t *testing.T) {
	wrong, missed := 0, 0
	const seeds = 40
	for seed := range uint64(seeds) {
		f := newFleet(12, seed)
		culprits := []request.Fingerprint{2, 4, 6}
		for until := f.now + 10*time.Second; f.now < until; f.step() {
			if f.random.IntN(100) >= 8 {
				continue
			}
			x := f.randomLive()
			inFlight := f.randomInFlight(8)
			if r := culprits[f.random.IntN(len(culprits))]; f.random.IntN(4) > 0 {
				if x.Refuses(r) {
					continue
				}
				inFlight[x] = append(inFlight[x], r)
			}
			f.crash(inFlight)
		}
		for _, r := range culprits {
			if !f.instances[3].Refuses(r) {
				missed++
			}
		}
		wrong += f.wronglyRefused(culprits...)
	}
	t.Logf("%d of %d culprits missed, %d requests refused wrongly", missed, 3*seeds, wrong)
	assert.Equal(t, missed, 0)
	assert.Equal(t, wrong, 0)
}

// TestUnrelatedCrashesQuarantineNothing crashes a backend server every 80 ms for 20 s. Some
// requests were also at the previous crash, but none is the cause.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	wrong, requests := 0, 0
	for seed := range uint64(20) {
		f := newFleet(12, seed)
		for until := f.now + 20*time.Second; f.now < until; f.step() {
			if f.now%(8*modelStep) != 0 {
				continue
			}
			f.crash(f.randomInFlight(8))
			requests += 8
		}
		wrong += f.wronglyRefused()
	}
	t.Logf("%d of %d lost requests refused wrongly", wrong, requests)
	assert.Equal(t, wrong, 0)
}

// TestAnsweredRequestIsWithdrawn checks that the entry of a request that an instance has
// answered is withdrawn everywhere, and that the entry of a real culprit is not.
func TestAnsweredRequestIsWithdrawn(t *testing.T) {
	f := newFleet(12, 1)
	for i := range 3 {
		f.crash(map[*instance][]request.Fingerprint{f.instances[i]: {7}})
		for range 5 {
			f.step()
		}
	}
	f.instances[9].RecordResponse(7)
	for range 100 {
		f.step()
	}
	for _, x := range f.instances {
		assert.Assert(t, !x.Refuses(7), x.name)
	}
	f.attack(7, 5*time.Second, 150*time.Millisecond, modelNotice)
	for _, x := range f.instances {
		assert.Assert(t, x.Refuses(7), x.name)
	}
}

// TestRegionalOwnersActWhileOwnerIsDown checks that the owners within the regions quarantine a
// request before the failure of the owner is detected.
func TestRegionalOwnersActWhileOwnerIsDown(t *testing.T) {
	f := newFleet(24, 3)
	f.instances[0].down = true
	crashed, late := f.attack(7, 10*time.Second, 150*time.Millisecond, 3*time.Second)
	t.Logf("%d crashes, %d late", crashed, late)
	assert.Assert(t, late <= 3, "%d", late)
	assert.Equal(t, f.wronglyRefused(7), 0)
}

// TestLateInstancesReceiveEntries checks an instance that was down during the attack, and one
// that starts after it.
func TestLateInstancesReceiveEntries(t *testing.T) {
	f := newFleet(24, 4)
	f.instances[5].down = true
	f.attack(7, 3*time.Second, 100*time.Millisecond, modelNotice)
	assert.Assert(t, !f.instances[5].Refuses(7))
	f.instances[5].down = false
	x := f.add("new", 2)
	for range int(3 * modelHeartbeat / modelStep) {
		f.step()
	}
	assert.Assert(t, f.instances[5].Refuses(7))
	assert.Assert(t, x.Refuses(7))
}

// TestIsolatedInstanceQuarantinesRequest checks an instance that is isolated from all others.
func TestIsolatedInstanceQuarantinesRequest(t *testing.T) {
	f := newFleet(24, 5)
	for _, x := range f.instances[:23] {
		x.down = true
	}
	crashed, late := f.attack(7, 10*time.Second, 200*time.Millisecond, 3*time.Second)
	t.Logf("%d crashes, %d late", crashed, late)
	assert.Assert(t, late <= 3, "%d", late)
}

// TestOperatorsOverrideQuarantine checks that a request which operators released is neither
// refused nor quarantined again, and is refused after they revert that.
func TestOperatorsOverrideQuarantine(t *testing.T) {
	f := newFleet(3, 6)
	f.attack(7, 3*time.Second, 100*time.Millisecond, modelNotice)
	x := f.instances[2]
	assert.Assert(t, x.Refuses(7))
	released := map[request.Fingerprint]bool{7: true}
	for _, x := range f.instances {
		x.SetReleased(released)
	}
	f.attack(7, 2*time.Second, 100*time.Millisecond, modelNotice)
	assert.Assert(t, !x.Refuses(7))
	x.SetReleased(nil)
	assert.Assert(t, x.Refuses(7))
}
