// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/peer"
	"shalewick/process/platform"
)

// reads feeds a registry with reads of the platform, one each second.
func reads(r *Registry, from, to time.Duration, beats func(at time.Duration) []*peer.Member, list []platform.Instance) {
	for at := from; at <= to; at += time.Second {
		r.Rows(beats(at), at)
		r.List(list)
	}
}

func still(time.Duration) []*peer.Member {
	return []*peer.Member{{Id: "a.1", Instance: "a", Peer: "p", Beat: 1}}
}

func TestDeadOnlyWhenLapsedAndUnlisted(t *testing.T) {
	listed := []platform.Instance{{Name: "a", State: platform.StateLive}}
	for name, tc := range map[string]struct {
		act  func(r *Registry)
		want bool
	}{
		"lapsed and unlisted": {func(r *Registry) { reads(r, 0, 20*time.Second, still, nil) }, true},
		"lapsed but listed":   {func(r *Registry) { reads(r, 0, 20*time.Second, still, listed) }, false},
		"beating, unlisted": {func(r *Registry) {
			reads(r, 0, 20*time.Second, func(at time.Duration) []*peer.Member {
				m := still(at)
				m[0].Beat = int64(at)
				return m
			}, nil)
		}, false},
		"answers, though lapsed and unlisted": {func(r *Registry) {
			reads(r, 0, 20*time.Second, still, nil)
			r.Seen("a.1", 19*time.Second)
		}, false},
		"the platform came back only now": {func(r *Registry) {
			reads(r, 0, 2*time.Second, still, nil)
			r.Unreadable()
			reads(r, 15*time.Second, 20*time.Second, still, nil)
		}, false},
		"said that it is gone": {func(r *Registry) {
			reads(r, 0, time.Second, still, listed)
			r.Merge([]*peer.Member{{Id: "a.1", Gone: true}}, time.Second)
		}, true},
		"a new process on the same address": {func(r *Registry) {
			reads(r, 0, 10*time.Second, still, listed)
			r.Merge([]*peer.Member{{Id: "a.2", Instance: "a", Peer: "p"}}, 10*time.Second)
			r.Seen("a.2", 20*time.Second)
			reads(r, 11*time.Second, 20*time.Second, still, listed)
		}, true},
	} {
		r := NewRegistry(&peer.Member{Id: "self.1", Instance: "self"})
		tc.act(r)
		assert.Equal(t, r.Dead(20 * time.Second)["a.1"], tc.want, name)
	}
}

func TestLeavingAndGoneNeverChangeBack(t *testing.T) {
	r := NewRegistry(&peer.Member{Id: "self.1", Instance: "self"})
	r.Merge([]*peer.Member{{Id: "a.1", Leaving: true, Gone: true, Successor: "b.1"}}, 0)
	before := r.Digest(0)
	r.Merge([]*peer.Member{{Id: "a.1"}}, 0) // an old word
	m := r.Find("a.1")
	assert.Assert(t, m.GetLeaving() && m.GetGone() && m.GetSuccessor() == "b.1")
	assert.Equal(t, r.Digest(time.Minute), before)
}
