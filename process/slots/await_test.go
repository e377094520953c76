// SPDX-License-Identifier: MIT

package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// words records whose word is awaited, and lets a test give it.
type words struct {
	then map[string][]func()
}

func (w *words) await(backend string, _ time.Duration, then func()) {
	w.then[backend] = append(w.then[backend], then)
}

func (w *words) give(backend string) {
	due := w.then[backend]
	delete(w.then, backend)
	for _, f := range due {
		f()
	}
}

// oneBackend is a table with all four slots of one backend server at home.
func oneBackend(t *testing.T, fenced []int32) (*Table, *words) {
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
	w := &words{then: make(map[string][]func())}
	x := &Table{Self: "self", OnFree: func(int32) {}, AwaitWord: w.await}
	x.Install(v, version.NewCounters(v), 0)
	x.SetSplit(&Split{Epoch: 1, Members: []string{"self"}, Pools: map[string]PoolSplit{
		"upstream/u": {Homes: []int32{0, 0, 0, 0}, Fenced: fenced},
	}}, 0)
	return x, w
}

func free(x *Table, now time.Duration) int { return x.Status(now)[0].Free }

// TestTimeAloneFreesNoSlot is the known red of TestNoBackendAboveSlots: a
// borrower dispatched to a backend server that is frozen and holds the request. The
// lessor must not use the token before the backend server was heard from again.
func TestTimeAloneFreesNoSlot(t *testing.T) {
	x, w := oneBackend(t, nil)
	assert.Equal(t, free(x, 0), 4)
	lent := x.Lend("other", Want{Service: "s", Region: "r", Tokens: 2}, 0)
	assert.Equal(t, len(lent), 2)
	x.TakeBack("other", lent[:1], time.Second)
	assert.Equal(t, free(x, time.Second), 3, "a token that was returned is free")
	late := Lifetime(&x.view.Pools[0]) + time.Second
	x.Tick(late)
	assert.Equal(t, free(x, late), 3, "the other one waits for the backend server's word")
	x.Tick(late + time.Hour)
	assert.Equal(t, len(w.then["u"]), 1, "the word is asked for once")
	w.give("u")
	assert.Equal(t, free(x, late), 4)
}

// TestFenceAloneFreesNoSlot is the same for the tokens of a dead member.
func TestFenceAloneFreesNoSlot(t *testing.T) {
	x, w := oneBackend(t, []int32{1, 2})
	assert.Equal(t, free(x, 0), 2)
	late := Fence(&x.view.Pools[0]) + time.Second
	x.Tick(late)
	assert.Equal(t, free(x, late), 2)
	w.give("u")
	assert.Equal(t, free(x, late), 4)
}

// TestLateReturnFreesAnAwaitingToken checks that a holder that returns its token
// after the lessor's time frees it.
func TestLateReturnFreesAnAwaitingToken(t *testing.T) {
	x, w := oneBackend(t, nil)
	lent := x.Lend("other", Want{Service: "s", Region: "r", Tokens: 1}, 0)
	late := Lifetime(&x.view.Pools[0]) + time.Second
	x.Tick(late)
	x.TakeBack("other", lent, late)
	assert.Equal(t, free(x, late), 4)
	again := x.Lend("other", Want{Service: "s", Region: "r", Tokens: 4}, late)
	w.give("u") // the word of the earlier wait says nothing of the new lease
	assert.Equal(t, free(x, late), 4-len(again))
}
