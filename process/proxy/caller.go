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
	// staleKeys is the age of the configuration from which a key that is not known
	// may be one that the instance has not heard of yet. Origin: followers that
	// others tell nothing ask the store after 2.7 s.
	staleKeys = 2700 * time.Millisecond
	// staleKeyRetry is when a caller with such a key should come back: by then
	// another source was asked.
	staleKeyRetry = 300 * time.Millisecond
)

// identify finds the workspace of the caller by the key that the request carries.
// Where there are no workspaces nobody needs a key.
func (p *Proxy) identify(c *call, routing *version.Routing) *request.Result {
	if routing.Workspaces.Empty() {
		return nil
	}
	c.keyed = true
	key, given := bearer(c.r.Header.Values(p.Names.Key))
	if !given && c.route.Anonymous {
		return nil
	}
	if !given {
		return refuse(request.KeyMissing, 0)
	}
	c.workspace = routing.Workspaces.Find(key)
	if c.workspace != nil {
		return nil
	}
	if p.Age != nil && p.Age() > staleKeys {
		return refuse(request.KeyUnconfirmed, staleKeyRetry)
	}
	return refuse(request.KeyUnknown, 0)
}

// bearer returns the key of a header's values. One that can't be read is a key that
// nobody has, not a missing one.
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

// introduce replaces the caller's key by the name of its workspace, in the headers
// that a backend server gets. What the caller says of its workspace goes, too.
func (p *Proxy) introduce(c *call, h http.Header) {
	if !c.keyed {
		return
	}
	h.Del(p.Names.Key)
	h.Del(p.Names.Workspace)
	if c.workspace != nil {
		h.Set(p.Names.Workspace, c.workspace.Name)
	}
}

// takeQuota lets a request of a workspace in that is within its rate.
func (p *Proxy) takeQuota(ctx context.Context, c *call) *request.Result {
	if p.Quota == nil {
		return nil
	}
	in, why := p.Quota.Take(ctx, c.workspace)
	if !in {
		c.overQuota = &why
		return refuse(request.OverQuota, why.Retry)
	}
	c.counted = true
	return nil
}

// settleQuota gives back what was taken for a request that has not run, and counts
// each time that it may have run beyond the first.
func (p *Proxy) settleQuota(c *call) {
	if !c.counted {
		return
	}
	if c.runs == 0 {
		p.Quota.Return(c.workspace)
	}
	for range c.runs - 1 {
		p.Quota.Again(c.workspace)
	}
}

// priority returns the rank of a request: that of its workspace, else of its route.
func (c *call) priority() int {
	if c.workspace != nil {
		return c.workspace.Priority
	}
	return c.route.Priority
}

// workspaceName returns the name of the caller's workspace; "" if it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
