// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"sync"
	"time"

	"shalewick/process/admin"
	"shalewick/process/peer"
)

const statusTimeout = time.Second

// collectStatus requests the status of every member. Instances of the
// platform's list that are not members are reported as missing.
func (e *Entry) collectStatus(ctx context.Context) []admin.EntryStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	members := e.members.All(e.now())
	out := make([]admin.EntryStatus, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { out[i] = e.memberStatus(ctx, m) })
	}
	wg.Wait()
	for _, name := range e.members.MissingInstances() {
		out = append(out, admin.EntryStatus{Instance: name, Missing: "in the platform's list, but not known"})
	}
	return out
}

// memberStatus returns the status of one member, or why it is missing.
func (e *Entry) memberStatus(ctx context.Context, m *peer.Member) admin.EntryStatus {
	s := admin.EntryStatus{ID: m.GetId(), Instance: m.GetInstance(), Hall: m.GetHall(), Leaving: m.GetLeaving()}
	reply := e.status()
	if m.GetId() != e.members.Self().GetId() {
		client, err := e.peers.client(m.GetPeer())
		if err == nil {
			reply, err = client.Status(ctx, &peer.StatusRequest{})
		}
		if err == nil && reply.GetSelf().GetId() != m.GetId() {
			s.Missing = "replaced"
			return s
		}
		if err != nil {
			s.Missing = "no answer"
			return s
		}
	}
	s.Version = reply.GetSeq()
	s.Since = time.Now().Add(-time.Duration(reply.GetSinceMs()) * time.Millisecond)
	s.ConfirmedMs = reply.GetConfirmedMs()
	s.Epoch = reply.GetEpoch()
	for _, p := range reply.GetPools() {
		s.Pools = append(s.Pools, admin.PoolStatus{
			Pool: p.GetPool(), Size: p.GetSize(), Home: p.GetHome(), Free: p.GetFree(),
			Busy: p.GetBusy(), Lent: p.GetLent(), Borrowed: p.GetBorrowed(),
		})
	}
	for _, l := range reply.GetLeaving() {
		s.BackendsLeaving = append(s.BackendsLeaving, l.GetBackend())
	}
	return s
}
