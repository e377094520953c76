// SPDX-License-Identifier: MIT

package edge

import (
	"net/http"
	"time"

	"shalewick/conn"
	"shalewick/process/cluster"
	"shalewick/process/forward"
	"shalewick/process/proxy"
)

// peerIdleTimeout is how long a connection to another instance is kept for further requests.
const peerIdleTimeout = 8 * time.Second

// newForwardTargets returns the instances that requests are forwarded to.
func (e *Edge) newForwardTargets() *forward.Targets {
	dialer := conn.NewDialer(dialTimeout, peerAckTimeout)
	return &forward.Targets{
		Now: e.now, Self: e.settings.Instance, Region: func() string { return e.settings.Region }, List: e.forwardInstances,
		NewPool: func(address string) *conn.Pool {
			return &conn.Pool{Address: address, Dialer: dialer, IdleTimeout: peerIdleTimeout, ToInstance: true}
		},
	}
}

// forwardInstances returns the other instances that may serve requests of this one. Small instances
// among large ones are left out, since they may not follow the backend servers.
func (e *Edge) forwardInstances() []forward.Instance {
	live := e.members.Live()
	largest := make(map[string]cluster.Resources)
	for _, m := range live {
		if _, known := largest[m.Region]; !known {
			largest[m.Region] = cluster.MaxResources(inRegion(live, m.Region))
		}
	}
	out := make([]forward.Instance, 0, len(live))
	for _, m := range live {
		if m.Name != e.settings.Instance && !m.BackendsUnreachable && largest[m.Region].MatchedBy(&m) {
			out = append(out, forward.Instance{Name: m.Name, Incarnation: m.Incarnation, Address: m.Peer, Region: m.Region, Busy: m.Busy})
		}
	}
	return out
}

// peerHandler serves requests that other instances forward, and passes all others on.
func (e *Edge) peerHandler(other http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if proxy.IsForwarded(r) {
			e.proxy.ServeForwarded(w, r)
			return
		}
		other.ServeHTTP(w, r)
	})
}

// onLinks logs and tells the other instances whether this one reaches any backend server.
func (e *Edge) onLinks(lost bool) {
	e.logLinks()
	e.members.SetBackendsUnreachable(lost)
	e.heartbeats.Announce()
	if lost {
		e.log.Info().Int("requests", e.proxy.ForwardInFlight()).Msg("links-requests-given-up")
	}
}

// lostToLinks reports whether the links of this instance are the cause of a request that was lost at a
// backend server. Another one that can be reached decides it at once. If those that are tried are down as
// well, a response of any decides.
func (e *Edge) lostToLinks(backend string, sentAt time.Duration) bool {
	return !e.table.ReachesOther(backend) && e.table.LostToLinks(sentAt)
}
