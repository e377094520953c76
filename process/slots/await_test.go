// SPDX-License-Identifier: MIT

package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/version"
)

// responses records the callbacks that wait for a backend server's response, and
// lets a test run them.
type responses struct {
	callbacks map[string][]func()
}

func (r *responses) await(backend string, _ time.Duration, then func()) {
	r.callbacks[backend] = append(r.callbacks[backend], then)
}

func (r *responses) deliver(backend string) {
	due := r.callbacks[backend]
	delete(r.callbacks, backend)
	for _, f := range due {
		f()
	}
}

// newOneBackendTable returns a table that owns all four slots of one backend server.
func newOneBackendTable(t *testing.T, fenced []int32) (*Table, *responses) {
	t.Helper()
	config := "kind: region\nname: r\nspec: {}\n---\nkind: hall\nname: h\nspec: {region: r}\n---\nkind: service\nname: s\n" +
		"spec: {routes: [{prefix: /, class: read, repeatable: true, deadline: 400ms}]}\n---\n" +
		"kind: backend\nname: u\nspec: {service: s, hall: h, address: \"10.0.0.1:1\", slots: 4}\n"
	rs, err := version.Parse([]byte(config))
	assert.NilError(t, err)
	c, _, err := (&version.Config{}).Propose(version.Change{Operation: "o", Puts: rs})
	assert.NilError(t, err)
	v, err := version.Compile(c)
	assert.NilError(t, err)
	responses := &responses{callbacks: make(map[string][]func())}
	table := &Table{Self: "self", OnFree: func(int32) {}, AwaitResponse: responses.await}
	table.Install(v, version.NewCounters(v), 0)
	table.SetSplit(&Split{Epoch: 1, Members: []string{"self"}, Pools: map[string]PoolSplit{
		"upstream/u": {Owners: []int32{0, 0, 0, 0}, Fenced: fenced},
	}}, 0)
	return table, responses
}

func freeCount(table *Table, now time.Duration) int { return table.Status(now)[0].Free }

// A borrower may have dispatched a request to a backend server that is frozen and
// still holds it. The lessor must not reuse the token before the backend server has
// responded again, however long the lease is over; otherwise the backend server gets
// more requests than it has slots, as TestNoBackendAboveSlots checks.
func TestExpiredLeaseWaitsForBackendResponse(t *testing.T) {
	table, responses := newOneBackendTable(t, nil)
	assert.Equal(t, freeCount(table, 0), 4)
	lent := table.Lend("other", Want{Service: "s", Region: "r", Tokens: 2}, 0)
	assert.Equal(t, len(lent), 2)
	table.AcceptReturns("other", lent[:1], time.Second)
	assert.Equal(t, freeCount(table, time.Second), 3, "a token that was returned is free")
	late := ReclaimTime(&table.view.Pools[0]) + time.Second
	table.Tick(late)
	assert.Equal(t, freeCount(table, late), 3, "the other one waits for a response of the backend server")
	table.Tick(late + time.Hour)
	assert.Equal(t, len(responses.callbacks["u"]), 1, "the response is awaited once")
	responses.deliver("u")
	assert.Equal(t, freeCount(table, late), 4)
}

// The same as TestExpiredLeaseWaitsForBackendResponse for tokens of a member that is down.
func TestExpiredFenceWaitsForBackendResponse(t *testing.T) {
	table, responses := newOneBackendTable(t, []int32{1, 2})
	assert.Equal(t, freeCount(table, 0), 2)
	late := FenceTime(&table.view.Pools[0]) + time.Second
	table.Tick(late)
	assert.Equal(t, freeCount(table, late), 2)
	responses.deliver("u")
	assert.Equal(t, freeCount(table, late), 4)
}

// A holder that returns its token after the reclaim time frees it.
func TestLateReturnFreesAwaitingToken(t *testing.T) {
	table, responses := newOneBackendTable(t, nil)
	lent := table.Lend("other", Want{Service: "s", Region: "r", Tokens: 1}, 0)
	late := ReclaimTime(&table.view.Pools[0]) + time.Second
	table.Tick(late)
	table.AcceptReturns("other", lent, late)
	assert.Equal(t, freeCount(table, late), 4)
	again := table.Lend("other", Want{Service: "s", Region: "r", Tokens: 4}, late)
	responses.deliver("u") // the response awaited for the earlier lease must not free the newly lent tokens
	assert.Equal(t, freeCount(table, late), 4-len(again))
}
