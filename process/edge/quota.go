// SPDX-License-Identifier: MIT

package edge

import (
	"context"

	"shalewick/clock"
	"shalewick/process/quota"
)

// newQuota returns the limits of workspaces, which the instances enforce together.
func (e *Edge) newQuota() *quota.Quota {
	return &quota.Quota{
		Now: e.now, Tolerance: e.settings.QuotaTolerance, Owners: e.quotaOwners, Instances: e.listedInstances,
		Send: e.heartbeats.SendMessage, OnOwnerResponsive: e.onQuotaOwner, FirstStart: e.settings.First,
	}
}

// listedInstances returns how many instances the directory lists for clients, over all regions;
// zero while the other instances are not known.
func (e *Edge) listedInstances() int {
	if e.members.Count() == 0 {
		return 0
	}
	return countListed(e.members.Live())
}

// quotaOwners returns the owners of the shards of workspaces.
func (e *Edge) quotaOwners() (out [quota.Shards]quota.Owner) {
	for i, m := range e.members.Owners(len(out)) {
		out[i].Name = m.Name
		if m.Name != e.settings.Instance {
			out[i].Address = m.Peer
		}
	}
	return out
}

// onQuotaOwner is called when an owner of limits becomes unresponsive, or responds again.
func (e *Edge) onQuotaOwner(name string, responsive bool) {
	e.log.Info().Str("other", name).Bool("answers", responsive).Msg("quota-owner")
	e.members.RecordCall(name, responsive)
}

// tickQuota exchanges messages with the owners of limits until the context ends.
func (e *Edge) tickQuota(ctx context.Context) {
	for clock.SleepAligned(ctx, quota.TickInterval) {
		e.quota.Tick()
	}
}
