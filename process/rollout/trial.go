// SPDX-License-Identifier: MIT

package rollout

// trial is what this instance knows of a target. It outlasts an order that is written
// again while the roll-out runs.
type localStats struct {
	rolloutStartedAt int64 // Record.Began; zero: not known yet
	routes           map[string]*routeStats
	otherRoutes      *routeStats // beyond mostRoutes
	analysis         analysis
	// Of all routes together: a target's doubtful answers have to be told early.
	baseAmbiguous, targetAmbiguous ambiguityFilter
}

// routeTrial is a route of a trial.
type routeStats struct {
	hash routeHash
	versionCounts
	typical typicalLatency
}

func (t *localStats) route(name string) *routeStats {
	if x := t.routes[name]; x != nil {
		return x
	}
	if len(t.routes) < maxRoutes-1 {
		x := &routeStats{hash: hashOfRoute(name)}
		t.routes[name] = x
		return x
	}
	if t.otherRoutes == nil {
		t.otherRoutes = &routeStats{hash: otherRoutes}
	}
	return t.otherRoutes
}

// part is the part of the requests that come on a route.
func (t *localStats) trafficFraction(x *routeStats) float64 {
	all := t.analysis.all.total.base.Requests
	return float64(x.base.Requests+1) / float64(all+assumedRoutes)
}
