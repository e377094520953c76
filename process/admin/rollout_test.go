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

const baseDocuments = `
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

// fixture is an instance's admin API with a stand-in for the platform, and a client.
type fixture struct {
	t      *testing.T
	admin  *admin.Admin
	client *operator.Client
	url    string

	mu     sync.Mutex
	states []rolloutview.Status // returned by find in turn, the last one repeatedly; empty: not found
}

func newFixture(t *testing.T, runsRollouts bool) *fixture {
	t.Helper()
	var platformServer standin.Server
	p := httptest.NewServer(platformServer.Handler())
	t.Cleanup(p.Close)
	f := &fixture{t: t}
	store := &config.Store{Now: func() time.Duration { return 0 }, OnInstall: func(*version.Config, *version.View) {}}
	f.admin = &admin.Admin{
		Log: &config.Log{Platform: platform.NewClient(p.URL), Store: store}, Store: store, Logger: zerolog.Nop(), Metrics: metric.NewSet(),
		Status: func(context.Context) []admin.EntryStatus { return nil }, Ready: func() bool { return true },
	}
	if runsRollouts {
		f.admin.Rollouts = f.find
	}
	h, err := f.admin.Handler()
	assert.NilError(t, err)
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	f.url = srv.Listener.Addr().String()
	f.client = operator.New([]string{f.url})
	f.apply(baseDocuments)
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

func resultCode(t *testing.T, err error) request.Code {
	t.Helper()
	var refused *operator.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused.Code
}

var rolloutKey = version.Key{Kind: version.KindRollout, Name: "s"}

// TestRolloutResource orders, reads, replaces, watches and deletes a rollout.
func TestRolloutResource(t *testing.T) {
	f := newFixture(t, true)
	ctx := t.Context()
	first, err := f.client.OrderRollout(ctx, version.Rollout{Service: "s", Target: "v2", Within: version.Duration(30 * time.Second)})
	assert.NilError(t, err)
	second, err := f.client.OrderRollout(ctx, version.Rollout{Service: "s", Target: "v3", Within: version.Duration(time.Minute)})
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	r, err := f.client.Get(ctx, rolloutKey)
	assert.NilError(t, err)
	assert.Equal(t, r.Version, second)
	assert.DeepEqual(t, *r.Rollout, version.Rollout{Service: "s", Target: "v3", Within: version.Duration(time.Minute)})
	all, err := f.client.List(ctx, version.KindRollout)
	assert.NilError(t, err)
	assert.Equal(t, len(all), 1)
	errSeen := errors.New("seen")
	err = f.client.Watch(ctx, first, func(ch version.Change) error {
		assert.Equal(t, ch.Puts[0].Rollout.Target, "v3")
		return errSeen
	})
	assert.Equal(t, err, errSeen)
	_, err = f.client.ApplyDocuments(ctx, []byte("kind: rollout\nname: other\nspec: {service: s, target: v4, within: 30s}\n"))
	assert.Equal(t, resultCode(t, err), request.Invalid)
	_, err = f.client.Delete(ctx, rolloutKey, second)
	assert.NilError(t, err)
	_, err = f.client.Get(ctx, rolloutKey)
	assert.Equal(t, resultCode(t, err), request.NotFound)
}

// TestRoleWithoutRolloutsRefusesOrders checks that a change that orders a rollout is refused
// as a whole, and that nothing is written.
func TestRoleWithoutRolloutsRefusesOrders(t *testing.T) {
	f := newFixture(t, false)
	before := f.admin.Store.Config().Seq
	order := version.Rollout{Service: "s", Target: "v2", Within: version.Duration(time.Second)}
	_, err := f.client.OrderRollout(t.Context(), order)
	assert.Equal(t, resultCode(t, err), request.NotCarriedOut)
	assert.ErrorContains(t, err, "70 NOT_CARRIED_OUT: rollout/s: requests go to all backend servers")
	_, err = f.client.ApplyDocuments(t.Context(), []byte("kind: region\nname: q\nspec: {}\n---\nkind: rollout\nname: s\nspec: {service: s, target: v2, within: 1s}\n"))
	assert.Equal(t, resultCode(t, err), request.NotCarriedOut)
	assert.Equal(t, f.admin.Store.Config().Seq, before)
	_, err = f.client.Rollout(t.Context(), "s")
	assert.Equal(t, resultCode(t, err), request.NotCarriedOut)
}

func newRecord(order int64, phase rollout.Phase, cause string) *rollout.Record {
	return &rollout.Record{Service: "s", Order: order, Target: "v2", Previous: "v1", Phase: phase, Cause: cause}
}

// TestFollowRolloutUntilItEnds checks that the record of an earlier order does not end the
// wait, and that each state is reported once.
func TestFollowRolloutUntilItEnds(t *testing.T) {
	for _, end := range []rollout.Phase{rollout.Completed, rollout.Reverted} {
		f := newFixture(t, true)
		f.states = []rolloutview.Status{
			{Service: "s", Order: 3, Record: newRecord(3, rollout.Completed, "")},
			{Service: "s", Order: 7, Record: newRecord(3, rollout.Completed, "")},
			{Service: "s", Order: 7, Record: newRecord(7, rollout.Canary, "")},
			{Service: "s", Order: 7, Record: newRecord(7, rollout.Canary, "")},
			{Service: "s", Record: newRecord(7, rollout.Canary, "")},
			{Service: "s", Order: 7, Record: newRecord(7, end, "why")},
		}
		var states []string
		s, err := f.client.FollowRollout(t.Context(), "s", 7, func(s rolloutview.Status) { states = append(states, string(s.State())) })
		assert.NilError(t, err)
		assert.Equal(t, s.Record.Phase, end)
		assert.DeepEqual(t, states, []string{"ordered", "canary", "withdrawn", string(end)})
	}
}

// TestFollowRolloutErrors checks the timeout of a rollout that the instance does not know
// yet, and the error for a rollout that was not ordered.
func TestFollowRolloutErrors(t *testing.T) {
	f := newFixture(t, true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := f.client.FollowRollout(ctx, "s", 7, func(rolloutview.Status) {})
	assert.ErrorContains(t, err, "the roll-out of s has not ended")
	_, err = f.client.FollowRollout(t.Context(), "s", 0, func(rolloutview.Status) {})
	assert.Equal(t, resultCode(t, err), request.NotFound)
}

// TestPrintRollout checks the text that operators read.
func TestPrintRollout(t *testing.T) {
	var out strings.Builder
	operator.PrintRollout(&out, &rolloutview.Status{
		Service: "s", InForce: "v1", Order: 7, Target: "v2", Within: version.Duration(30 * time.Second),
		Record: newRecord(7, rollout.Reverted, "it fails more often"), Remaining: version.Duration(2 * time.Second),
	})
	for _, want := range []string{
		"state     reverted", "in force  v1", "order     7: v2 within 30s", "order 7: from v1 to v2, reverted", "cause     it fails more often", "left      2s",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q in\n%s", want, out.String())
	}
}
