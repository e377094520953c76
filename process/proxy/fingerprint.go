// SPDX-License-Identifier: MIT

package proxy

import (
	"context"

	"shalewick/process/balance"
	"shalewick/process/crash"
	"shalewick/process/quarantine"
	"shalewick/request"
)

// maxPath limits the host and path that are logged and sent to other instances, in bytes.
const maxPath = 80

// computeFingerprint returns the fingerprint that all attempts of the caller's request share. It
// uses the host of the route, which does not depend on how the caller spells the host.
func (c *call) computeFingerprint() request.Fingerprint {
	return request.FingerprintOf(c.workspaceName(), c.route.Host, c.r.Method, c.r.RequestURI, c.body.Buffered(), c.body.Length())
}

// path returns the host and path of the request for operators, truncated to maxPath.
func (c *call) path() string {
	p := c.r.Host + c.r.URL.EscapedPath()
	return p[:min(len(p), maxPath)]
}

// checkQuarantine refuses a request that crashes the backend servers that run it.
func (p *Proxy) checkQuarantine(c *call) *request.Result {
	if !p.isQuarantined(c) {
		return nil
	}
	c.service = p.Quarantine.Service(c.fingerprint)
	return notRun(request.Quarantined, quarantine.RetryAfter)
}

func (p *Proxy) isQuarantined(c *call) bool {
	return p.Quarantine != nil && p.Quarantine.Refuses(c.fingerprint)
}

// reportLoss reports a request that was lost at a backend server, which may have crashed.
func (t *transaction) reportLoss(pick *balance.Pick) {
	if t.p.Crashes == nil {
		return
	}
	t.p.Crashes.RecordLoss(crash.Loss{
		Backend: pick.Name, Incarnation: pick.Incarnation, Service: t.c.service,
		SentAt:  t.sentAt,
		Suspect: crash.Suspect{Request: t.c.fingerprint, Path: t.c.path()},
		// The connection is kept for a later request, so the effort is not wasted.
		Open: func() error { return pick.Pool.Open(context.Background()) },
	})
}
