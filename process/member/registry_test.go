// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/peer"
	"shalewick/process/platform"
)

// feedReads feeds a registry with reads of the platform, one each second.
func feedReads(r *Registry, from, to time.Duration, beats func(at time.Duration) []*peer.Member, list []platform.Instance) {
	for at := from; at <= to; at += time.Second {
		r.ApplyRows(beats(at), at)
		r.ApplyInstanceList(list)
	}
}

// constantBeat returns a member's row whose heartbeat does not increase.
func constantBeat(time.Duration) []*peer.Member {
	return []*peer.Member{{Id: "a.1", Instance: "a", Peer: "p", Beat: 1}}
}

func TestDownOnlyIfHeartbeatExpiredAndUnlisted(t *testing.T) {
	listed := []platform.Instance{{Name: "a", State: platform.StateLive}}
	for name, tc := range map[string]struct {
		apply func(r *Registry)
		want  bool
	}{
		"expired and unlisted": {func(r *Registry) { feedReads(r, 0, 20*time.Second, constantBeat, nil) }, true},
		"expired but listed":   {func(r *Registry) { feedReads(r, 0, 20*time.Second, constantBeat, listed) }, false},
		"beating, unlisted": {func(r *Registry) {
			feedReads(r, 0, 20*time.Second, func(at time.Duration) []*peer.Member {
				m := constantBeat(at)
				m[0].Beat = int64(at)
				return m
			}, nil)
		}, false},
		"answers, but expired and unlisted": {func(r *Registry) {
			feedReads(r, 0, 20*time.Second, constantBeat, nil)
			r.RecordContact("a.1", 19*time.Second)
		}, false},
		"the platform became readable only recently": {func(r *Registry) {
			feedReads(r, 0, 2*time.Second, constantBeat, nil)
			r.PlatformUnreadable()
			feedReads(r, 15*time.Second, 20*time.Second, constantBeat, nil)
		}, false},
		"announced that it is gone": {func(r *Registry) {
			feedReads(r, 0, time.Second, constantBeat, listed)
			r.Merge([]*peer.Member{{Id: "a.1", Gone: true}}, time.Second)
		}, true},
		"a new process on the same address": {func(r *Registry) {
			feedReads(r, 0, 10*time.Second, constantBeat, listed)
			r.Merge([]*peer.Member{{Id: "a.2", Instance: "a", Peer: "p"}}, 10*time.Second)
			r.RecordContact("a.2", 20*time.Second)
			feedReads(r, 11*time.Second, 20*time.Second, constantBeat, listed)
		}, true},
	} {
		r := NewRegistry(&peer.Member{Id: "self.1", Instance: "self"})
		tc.apply(r)
		assert.Equal(t, r.Down(20 * time.Second)["a.1"], tc.want, name)
	}
}

func TestLeavingAndGoneAreNotRevoked(t *testing.T) {
	r := NewRegistry(&peer.Member{Id: "self.1", Instance: "self"})
	r.Merge([]*peer.Member{{Id: "a.1", Leaving: true, Gone: true, Successor: "b.1"}}, 0)
	before := r.Digest(0)
	r.Merge([]*peer.Member{{Id: "a.1"}}, 0) // stale gossip
	m := r.Find("a.1")
	assert.Assert(t, m.GetLeaving() && m.GetGone() && m.GetSuccessor() == "b.1")
	assert.Equal(t, r.Digest(time.Minute), before)
}
