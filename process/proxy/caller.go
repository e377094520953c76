// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"shalewick/request"
	"shalewick/version"
)

const (
	// staleKeyAge is the age of the configuration from which an unknown key may belong to a
	// workspace that the instance has not received yet. Followers that receive no gossip query the
	// store after 2.7 s.
	staleKeyAge = 2700 * time.Millisecond
	// staleKeyRetryAfter is the Retry-After time for callers with such a key. By then another
	// source has been queried.
	staleKeyRetryAfter = 300 * time.Millisecond
)

// authenticate finds the caller's workspace by the key that the request carries. If no workspaces
// are configured, no key is needed.
func (p *Proxy) authenticate(c *call, routing *version.Routing) *request.Result {
	if routing.Workspaces.Empty() {
		return nil
	}
	c.keysInUse = true
	key, given := bearer(c.r.Header.Values(p.Names.Key))
	if !given && c.route.Anonymous {
		return nil
	}
	if !given {
		return notRun(request.KeyMissing, 0)
	}
	c.workspace = routing.Workspaces.Find(key)
	if c.workspace != nil {
		return nil
	}
	if p.ConfigAge != nil && p.ConfigAge() > staleKeyAge {
		return notRun(request.KeyUnconfirmed, staleKeyRetryAfter)
	}
	return notRun(request.KeyUnknown, 0)
}

// bearer returns the key in the values of the key header. A malformed header counts as an unknown
// key, not as a missing one.
func bearer(values []string) (key string, given bool) {
	if len(values) == 0 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	if len(values) > 1 || !found || !strings.EqualFold(scheme, "Bearer") {
		return "", true
	}
	return strings.TrimSpace(key), true
}

// setWorkspaceHeaders replaces the caller's key with the name of its workspace in the headers that
// a backend server receives. A workspace header set by the caller is removed.
func (p *Proxy) setWorkspaceHeaders(c *call, h http.Header) {
	if !c.keysInUse {
		return
	}
	h.Del(p.Names.Key)
	h.Del(p.Names.Workspace)
	if c.workspace != nil {
		h.Set(p.Names.Workspace, c.workspace.Name)
	}
}

// takeQuota takes a token from the rate of the caller's workspace, or refuses the request.
func (p *Proxy) takeQuota(ctx context.Context, c *call) *request.Result {
	if p.Quota == nil || c.forwarded != nil && c.forwarded.trusted {
		return nil
	}
	ok, refusal := p.Quota.Take(ctx, c.workspace)
	if !ok {
		c.quotaRefusal = &refusal
		return notRun(request.OverQuota, refusal.RetryAfter)
	}
	c.quotaTaken = true
	return nil
}

// settleQuota returns the token of a request that has not run, and charges another token for each
// time beyond the first that the request may have run.
func (p *Proxy) settleQuota(c *call) {
	if !c.quotaTaken {
		return
	}
	if c.possibleRuns == 0 {
		p.Quota.Return(c.workspace)
	}
	for range c.possibleRuns - 1 {
		p.Quota.CountRetry(c.workspace)
	}
}

// priority returns the request's priority: that of its workspace if it has one, otherwise that of
// its route.
func (c *call) priority() int {
	if c.workspace != nil {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// workspaceName returns the name of the caller's workspace, or "" if it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
