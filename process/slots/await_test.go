// SPDX-License-Identifier: MIT

package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// words records whose word is awaited, and lets a test give it.
type responses struct {
	callbacks map[string][]func()
}

func (w *responses) await(backend string, _ time.Duration, then func()) {
	w.callbacks[backend] = append(w.callbacks[backend], then)
}

func (w *responses) deliver(backend string) {
	due := w.callbacks[backend]
	delete(w.callbacks, backend)
	for _, f := range due {
		f()
	}
}

// oneBackend is a table with all four slots of one backend server at home.
func newOneBackendTable(t *testing.T, fenced []int32) (*Table, *responses) {
	t.Helper()
	docs := "kind: region\nname: r\nspec: {}\n---\nkind: hall\nname: h\nspec: {region: r}\n---\nkind: service\nname: s\n" +
		"spec: {routes: [{prefix: /, class: read, repeatable: true, deadline: 400ms}]}\n---\n" +
		"kind: backend\nname: u\nspec: {service: s, hall: h, address: \"10.0.0.1:1\", slots: 4}\n"
	rs, err := version.Parse([]byte(docs))
	assert.NilError(t, err)
	c, _, err := (&version.Config{}).Propose(version.Change{Operation: "o", Puts: rs})
	assert.NilError(t, err)
	v, err := version.Compile(c)
	assert.NilError(t, err)
	w := &responses{callbacks: make(map[string][]func())}
	x := &Table{Self: "self", OnFree: func(int32) {}, AwaitResponse: w.await}
	x.Install(v, version.NewCounters(v), 0)
	x.SetSplit(&Split{Epoch: 1, Members: []string{"self"}, Pools: map[string]PoolSplit{
		"upstream/u": {Owners: []int32{0, 0, 0, 0}, Fenced: fenced},
	}}, 0)
	return x, w
}

func freeCount(x *Table, now time.Duration) int { return x.Status(now)[0].Free }

// TestTimeAloneFreesNoSlot is the known red of TestNoBackendAboveSlots: a
// borrower dispatched to a backend server that is frozen and holds the request. The
// lessor must not use the token before the backend server was heard from again.
func TestExpiredLeaseWaitsForBackendResponse(t *testing.T) {
	x, w := newOneBackendTable(t, nil)
	assert.Equal(t, freeCount(x, 0), 4)
	lent := x.Lend("other", Want{Service: "s", Region: "r", Tokens: 2}, 0)
	assert.Equal(t, len(lent), 2)
	x.AcceptReturns("other", lent[:1], time.Second)
	assert.Equal(t, freeCount(x, time.Second), 3, "a token that was returned is free")
	late := ReclaimTime(&x.view.Pools[0]) + time.Second
	x.Tick(late)
	assert.Equal(t, freeCount(x, late), 3, "the other one waits for the backend server's word")
	x.Tick(late + time.Hour)
	assert.Equal(t, len(w.callbacks["u"]), 1, "the word is asked for once")
	w.deliver("u")
	assert.Equal(t, freeCount(x, late), 4)
}

// TestFenceAloneFreesNoSlot is the same for the tokens of a dead member.
func TestExpiredFenceWaitsForBackendResponse(t *testing.T) {
	x, w := newOneBackendTable(t, []int32{1, 2})
	assert.Equal(t, freeCount(x, 0), 2)
	late := FenceTime(&x.view.Pools[0]) + time.Second
	x.Tick(late)
	assert.Equal(t, freeCount(x, late), 2)
	w.deliver("u")
	assert.Equal(t, freeCount(x, late), 4)
}

// TestLateReturnFreesAnAwaitingToken checks that a holder that returns its token
// after the lessor's time frees it.
func TestLateReturnFreesAwaitingToken(t *testing.T) {
	x, w := newOneBackendTable(t, nil)
	lent := x.Lend("other", Want{Service: "s", Region: "r", Tokens: 1}, 0)
	late := ReclaimTime(&x.view.Pools[0]) + time.Second
	x.Tick(late)
	x.AcceptReturns("other", lent, late)
	assert.Equal(t, freeCount(x, late), 4)
	again := x.Lend("other", Want{Service: "s", Region: "r", Tokens: 4}, late)
	w.deliver("u") // the word of the earlier wait says nothing of the new lease
	assert.Equal(t, freeCount(x, late), 4-len(again))
}
