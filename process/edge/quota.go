// SPDX-License-Identifier: MIT

package edge

import (
	"context"

	"shalewick/clock"
	"shalewick/process/quota"
)

// newQuota returns the limits of workspaces, kept together with the other instances.
func (e *Edge) newQuota() *quota.Quota {
	return &quota.Quota{
		Now: e.now, Tolerance: e.settings.QuotaTolerance, Owners: e.quotaOwners, Instances: e.listedInstances,
		Send: e.heartbeats.SendMessage, OnOwnerResponsive: e.onQuotaOwner, FirstStart: e.settings.First,
	}
}

// entries returns how many instances the directory names to clients, over all regions;
// zero while the others are not known.
func (e *Edge) listedInstances() int {
	if e.members.Count() == 0 {
		return 0
	}
	return countListed(e.members.Live())
}

// quotaOwners returns who owns the limits of each group of workspaces.
func (e *Edge) quotaOwners() (out [quota.Shards]quota.Owner) {
	for i, m := range e.members.Owners(len(out)) {
		out[i].Name = m.Name
		if m.Name != e.settings.Instance {
			out[i].Address = m.Peer
		}
	}
	return out
}

// quotaAnswers is told that the owner of some limits does not answer, or does again.
func (e *Edge) onQuotaOwner(name string, ok bool) {
	e.log.Info().Str("other", name).Bool("answers", ok).Msg("quota-owner")
	e.members.Called(name, ok)
}

// tickQuota tells and asks the owners of limits until the context ends.
func (e *Edge) tickQuota(ctx context.Context) {
	for clock.SleepAligned(ctx, quota.TickInterval) {
		e.quota.Tick()
	}
}
