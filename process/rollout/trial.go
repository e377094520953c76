// SPDX-License-Identifier: MIT

package rollout

// trial is what this instance knows of a target. It outlasts an order that is written
// again while the roll-out runs.
type trial struct {
	began  int64 // Record.Began; zero: not known yet
	routes map[string]*routeTrial
	others *routeTrial // beyond mostRoutes
	local  verdict
	// Of all routes together: a target's doubtful answers have to be told early.
	doubtsOfBase, doubtsOfTarget doubts
}

// routeTrial is a route of a trial.
type routeTrial struct {
	hash routeHash
	pair
	usual usual
}

func (t *trial) route(name string) *routeTrial {
	if x := t.routes[name]; x != nil {
		return x
	}
	if len(t.routes) < mostRoutes-1 {
		x := &routeTrial{hash: hashOfRoute(name)}
		t.routes[name] = x
		return x
	}
	if t.others == nil {
		t.others = &routeTrial{hash: otherRoutes}
	}
	return t.others
}

// part is the part of the requests that come on a route.
func (t *trial) part(x *routeTrial) float64 {
	all := t.local.all.total.base.Requests
	return float64(x.base.Requests+1) / float64(all+routesGuess)
}
