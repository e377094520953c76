// SPDX-License-Identifier: MIT

package proxy

import (
	"context"

	"shalewick/process/balance"
	"shalewick/process/crash"
	"shalewick/process/quarantine"
	"shalewick/request"
)

// maxPath bounds the host and path that log lines and other instances are told, in bytes.
const maxPath = 80

// fingerprint returns what all attempts at the caller's request have in common. Host is
// that of the route, which is the same however the caller spells it.
func (c *call) fingerprint() request.Fingerprint {
	return request.FingerprintOf(c.workspaceName(), c.route.Host, c.r.Method, c.r.RequestURI, c.body.whole, c.body.length)
}

// path returns host and path of the request for operators, cut short.
func (c *call) path() string {
	p := c.r.Host + c.r.URL.EscapedPath()
	return p[:min(len(p), maxPath)]
}

// quarantined refuses a request that crashes the backend servers that run it.
func (p *Proxy) quarantined(c *call) *request.Result {
	if !p.refuses(c) {
		return nil
	}
	c.service = p.Quarantine.Service(c.print)
	return refuse(request.Quarantined, quarantine.RetryAfter)
}

func (p *Proxy) refuses(c *call) bool { return p.Quarantine != nil && p.Quarantine.Refuses(c.print) }

// suspect tells of a request that was lost at a backend server, which may have ended.
func (t *trial) suspect(pick *balance.Pick) {
	if t.p.Crashes == nil {
		return
	}
	t.p.Crashes.RecordLoss(crash.Loss{
		Backend: pick.Name, Incarnation: pick.Incarnation, Service: t.c.service,
		Suspect: crash.Suspect{Request: t.c.print, Path: t.c.path()},
		// The connection is kept for a request to come, so it is not opened in vain.
		Open: func() error { return pick.Pool.Open(context.Background()) },
	})
}
