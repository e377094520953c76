// SPDX-License-Identifier: MIT

package balance

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/version"
)

func TestFailedBackendIsSuspendedAndRetried(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, nil)
	p.install()
	p.pick(t, 1).Done(Unreachable, nil)
	k, _ := p.Pick(p.query(1))
	assert.Assert(t, k == nil, "suspended")
	p.now += p.Policy.MinSuspension
	trial := p.pick(t, 1)
	k, _ = p.Pick(p.query(2))
	assert.Assert(t, k == nil, "one trial at a time")
	trial.Done(Answered, nil)
	p.pick(t, 2)
}

// TestSingleLostAnswerDoesNotSuspend checks that a backend server keeps its objects if one of its
// responses is lost, and is suspended if the next one is lost as well.
func TestSingleLostAnswerDoesNotSuspend(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, nil)
	p.backend("b", 0, nil)
	p.install()
	first := p.pick(t, 1)
	first.Done(Lost, nil)
	second := p.pick(t, 1)
	assert.Equal(t, second.Name, first.Name)
	second.Done(Answered, nil)
	p.now += time.Second
	p.pick(t, 1).Done(Lost, nil)
	again := p.pick(t, 1)
	assert.Equal(t, again.Name, first.Name, "there was an answer in between")
	again.Done(Lost, nil)
	assert.Assert(t, p.pick(t, 1).Name != first.Name)
}

// TestSuspendedBackendIsProbedBeforeRequest checks that a suspended backend server gets no request
// until a connection to it was opened.
func TestSuspendedBackendIsProbedBeforeRequest(t *testing.T) {
	p := newFixture(1)
	result := make(chan error)
	p.Probe = func(*conn.Pool) error { return <-result }
	p.backend("a", 0, nil)
	p.install()
	p.pick(t, 1).Done(Unreachable, nil)
	refused := func() bool {
		k, _ := p.Pick(p.query(1))
		if k != nil {
			k.Done(Abandoned, nil)
		}
		return k == nil
	}
	p.now += p.Policy.MinSuspension
	assert.Assert(t, refused(), "it is being probed")
	result <- errors.New("no route")
	p.awaitProbe("a")
	p.now += p.Policy.MinSuspension
	assert.Assert(t, refused(), "suspended for longer")
	p.now += p.Policy.MaxSuspension
	assert.Assert(t, refused(), "it is being probed again")
	result <- nil
	p.awaitProbe("a")
	assert.Assert(t, !refused())
}

// TestLeavingBackendIsNotProbed checks that no connection is opened to a suspended backend server
// that gets no further requests.
func TestLeavingBackendIsNotProbed(t *testing.T) {
	p := newFixture(1)
	opened := make(chan struct{}, 1)
	p.Probe = func(*conn.Pool) error {
		opened <- struct{}{}
		return nil
	}
	p.backend("a", 0, nil)
	p.install()
	p.pick(t, 1).Done(Unreachable, nil)
	p.backend("a", 0, func(u *version.Backend) {
		u.Leaving = true
		u.Address = p.config.Resources[version.Key{Kind: version.KindBackend, Name: "a"}].Backend.Address
	})
	p.install()
	p.now += p.Policy.MaxSuspension
	k, _ := p.Pick(p.query(1))
	assert.Assert(t, k == nil)
	assert.Assert(t, !p.stateOf("a").probing)
	assert.Equal(t, len(opened), 0)
}

// awaitProbe waits until the probe of a backend server has ended.
func (p *fixture) awaitProbe(name string) {
	for {
		p.mu.Lock()
		reaching := p.stateOf(name).probing
		p.mu.Unlock()
		if !reaching {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLaterAnswerCancelsFailure checks that a failed request does not suspend a backend server
// that has answered another one since.
func TestLaterAnswerCancelsFailure(t *testing.T) {
	p := newFixture(1)
	p.backend("a", 0, nil)
	p.install()
	lost, other := p.pick(t, 1), p.pick(t, 2)
	p.now += time.Second
	other.Done(Answered, nil)
	lost.Done(Unreachable, nil)
	p.pick(t, 3)
}
