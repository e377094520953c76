// SPDX-License-Identifier: MIT

package admin_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/operator"
	"shalewick/process/admin"
	"shalewick/process/config"
	"shalewick/process/metric"
	"shalewick/process/platform"
	"shalewick/process/rollout"
	"shalewick/process/rolloutview"
	"shalewick/request"
	standin "shalewick/standin/platform"
	"shalewick/version"
)

const places = `
kind: region
name: r
spec: {}
---
kind: hall
name: h
spec: {region: r}
---
kind: service
name: s
spec: {routes: [{prefix: /, class: read, deadline: 1s}]}
`

// fixture is an instance's admin API on a stand-in of the platform, with a client.
type fixture struct {
	t      *testing.T
	admin  *admin.Admin
	client *operator.Client
	url    string

	mu     sync.Mutex
	states []rolloutview.Status // told in turn, the last one on and on; none: not found
}

func newFixture(t *testing.T, carriesOut bool) *fixture {
	t.Helper()
	var s standin.Server
	p := httptest.NewServer(s.Handler())
	t.Cleanup(p.Close)
	f := &fixture{t: t}
	store := &config.Store{Now: func() time.Duration { return 0 }, OnInstall: func(*version.Config, *version.View) {}}
	f.admin = &admin.Admin{
		Log: &config.Log{Platform: platform.NewClient(p.URL), Store: store}, Store: store, Logger: zerolog.Nop(), Metrics: metric.NewSet(),
		Status: func(context.Context) []admin.EntryStatus { return nil }, Ready: func() bool { return true },
	}
	if carriesOut {
		f.admin.Rollouts = f.find
	}
	h, err := f.admin.Handler()
	assert.NilError(t, err)
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	f.url = srv.Listener.Addr().String()
	f.client = operator.New([]string{f.url})
	f.apply(places)
	return f
}

func (f *fixture) find(service string) (rolloutview.Status, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if service != "s" || len(f.states) == 0 {
		return rolloutview.Status{}, false
	}
	s := f.states[0]
	if len(f.states) > 1 {
		f.states = f.states[1:]
	}
	return s, true
}

func (f *fixture) apply(docs string) int64 {
	f.t.Helper()
	applied, err := f.client.ApplyDocuments(f.t.Context(), []byte(docs))
	assert.NilError(f.t, err)
	return applied.Version
}

func code(t *testing.T, err error) request.Code {
	t.Helper()
	var refused *operator.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused.Code
}

var key = version.Key{Kind: version.KindRollout, Name: "s"}

// TestRolloutIsAResource writes, reads, replaces, watches and deletes an order.
func TestRolloutIsAResource(t *testing.T) {
	f := newFixture(t, true)
	ctx := t.Context()
	first, err := f.client.OrderRollout(ctx, version.Rollout{Service: "s", Target: "v2", Within: version.Duration(30 * time.Second)})
	assert.NilError(t, err)
	second, err := f.client.OrderRollout(ctx, version.Rollout{Service: "s", Target: "v3", Within: version.Duration(time.Minute)})
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	r, err := f.client.Get(ctx, key)
	assert.NilError(t, err)
	assert.Equal(t, r.Version, second)
	assert.DeepEqual(t, *r.Rollout, version.Rollout{Service: "s", Target: "v3", Within: version.Duration(time.Minute)})
	all, err := f.client.List(ctx, version.KindRollout)
	assert.NilError(t, err)
	assert.Equal(t, len(all), 1)
	seen := errors.New("seen")
	err = f.client.Watch(ctx, first, func(ch version.Change) error {
		assert.Equal(t, ch.Puts[0].Rollout.Target, "v3")
		return seen
	})
	assert.Equal(t, err, seen)
	_, err = f.client.ApplyDocuments(ctx, []byte("kind: rollout\nname: other\nspec: {service: s, target: v4, within: 30s}\n"))
	assert.Equal(t, code(t, err), request.Invalid)
	_, err = f.client.Delete(ctx, key, second)
	assert.NilError(t, err)
	_, err = f.client.Get(ctx, key)
	assert.Equal(t, code(t, err), request.NotFound)
}

// TestRoleThatCarriesOutNoneSaysSo checks that an order is refused with all that comes
// with it, and that nothing is written.
func TestRoleThatCarriesOutNoneSaysSo(t *testing.T) {
	f := newFixture(t, false)
	before := f.admin.Store.Config().Seq
	order := version.Rollout{Service: "s", Target: "v2", Within: version.Duration(time.Second)}
	_, err := f.client.OrderRollout(t.Context(), order)
	assert.Equal(t, code(t, err), request.NotCarriedOut)
	assert.ErrorContains(t, err, "70 NOT_CARRIED_OUT: rollout/s: requests go to all backend servers")
	_, err = f.client.ApplyDocuments(t.Context(), []byte("kind: region\nname: q\nspec: {}\n---\nkind: rollout\nname: s\nspec: {service: s, target: v2, within: 1s}\n"))
	assert.Equal(t, code(t, err), request.NotCarriedOut)
	assert.Equal(t, f.admin.Store.Config().Seq, before)
	_, err = f.client.Rollout(t.Context(), "s")
	assert.Equal(t, code(t, err), request.NotCarriedOut)
}

func record(order int64, phase rollout.Phase, cause string) *rollout.Record {
	return &rollout.Record{Service: "s", Order: order, Target: "v2", Previous: "v1", Phase: phase, Cause: cause}
}

// TestRolloutIsFollowedToItsEnd checks that what is known of an earlier order ends no
// wait, and that each state is told once.
func TestRolloutIsFollowedToItsEnd(t *testing.T) {
	for _, end := range []rollout.Phase{rollout.Completed, rollout.Reverted} {
		f := newFixture(t, true)
		f.states = []rolloutview.Status{
			{Service: "s", Order: 3, Record: record(3, rollout.Completed, "")},
			{Service: "s", Order: 7, Record: record(3, rollout.Completed, "")},
			{Service: "s", Order: 7, Record: record(7, rollout.Canary, "")},
			{Service: "s", Order: 7, Record: record(7, rollout.Canary, "")},
			{Service: "s", Record: record(7, rollout.Canary, "")},
			{Service: "s", Order: 7, Record: record(7, end, "why")},
		}
		var states []string
		s, err := f.client.FollowRollout(t.Context(), "s", 7, func(s rolloutview.Status) { states = append(states, string(s.State())) })
		assert.NilError(t, err)
		assert.Equal(t, s.Record.Phase, end)
		assert.DeepEqual(t, states, []string{"ordered", "canary", "withdrawn", string(end)})
	}
}

// TestRolloutThatDoesNotEndIsSaid checks the end of the time, of one that an instance has
// not heard of, and of one that nobody ordered.
func TestRolloutThatDoesNotEndIsSaid(t *testing.T) {
	f := newFixture(t, true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := f.client.FollowRollout(ctx, "s", 7, func(rolloutview.Status) {})
	assert.ErrorContains(t, err, "the roll-out of s has not ended")
	_, err = f.client.FollowRollout(t.Context(), "s", 0, func(rolloutview.Status) {})
	assert.Equal(t, code(t, err), request.NotFound)
}

// TestStatusIsPrinted checks what operators read.
func TestStatusIsPrinted(t *testing.T) {
	var out strings.Builder
	operator.PrintRollout(&out, &rolloutview.Status{
		Service: "s", InForce: "v1", Order: 7, Target: "v2", Within: version.Duration(30 * time.Second),
		Record: record(7, rollout.Reverted, "it fails more often"), Remaining: version.Duration(2 * time.Second),
	})
	for _, want := range []string{
		"state     reverted", "in force  v1", "order     7: v2 within 30s", "order 7: from v1 to v2, reverted", "cause     it fails more often", "left      2s",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q in\n%s", want, out.String())
	}
}
