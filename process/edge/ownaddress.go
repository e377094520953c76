// SPDX-License-Identifier: MIT

package edge

import (
	"net/http"
	"net/netip"

	"github.com/juju/errors"

	"shalewick/process/state"
	"shalewick/version"
)

// reasonInstance is the reason of a row that names an address of this instance as that of a backend server.
const reasonInstance = "instance"

// removeOwnAddresses removes the announced backend servers whose address is one that this instance listens on, and returns
// their rows. What other instances send for them is rejected by rejectMisdirected, so no request goes round between
// instances. The caller holds compileMu.
func (e *Edge) removeOwnAddresses(c *version.Config) (problems []error) {
	own := e.ownAddresses()
	removed := make(map[string]bool)
	kept := make([]*version.AnnouncedBackend, 0, len(c.Announced))
	for _, x := range c.Announced {
		if own[x.Backend.Address] {
			removed[x.Name] = true
			problems = append(problems, &state.RowError{Key: x.Name, Reason: reasonInstance, Err: errors.Errorf(
				"address %s is one of this instance", x.Backend.Address)})
			continue
		}
		kept = append(kept, x)
	}
	c.Announced = kept
	e.ownRows.Store(&removed)
	return problems
}

// ownAddresses returns the addresses that this instance listens on.
func (e *Edge) ownAddresses() map[netip.AddrPort]bool {
	own := make(map[netip.AddrPort]bool)
	s := &e.settings
	for _, a := range []string{s.Front, s.Ready, s.Directory, s.Control, s.Peer} {
		if at, err := netip.ParseAddrPort(a); err == nil {
			own[netip.AddrPortFrom(at.Addr().Unmap(), at.Port())] = true
		}
	}
	return own
}

// rejectMisdirected answers 421, as a backend server with another name does, to a request that another instance sends here
// since a row names an address of this instance as that of a backend server. The request has not run.
func (e *Edge) rejectMisdirected(next http.Handler) http.Handler {
	names := &e.deployment.Headers
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target := r.Header.Get(names.Target)
		if target == "" {
			next.ServeHTTP(w, r)
			return
		}
		if rows := e.ownRows.Load(); rows == nil || !(*rows)[target] {
			next.ServeHTTP(w, r)
			return
		}
		id := r.Header.Get(names.ID)
		e.metrics.Counter("requests_misdirected_total").Inc(1)
		e.log.Info().Str("id", id).Str("backend", target).Str("from", r.RemoteAddr).Msg("misdirected")
		h := w.Header()
		h.Set(names.ID, id)
		h.Set("Connection", "close") // the body is not read
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
}
