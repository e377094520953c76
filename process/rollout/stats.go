// SPDX-License-Identifier: MIT

package rollout

// localStats is what this instance has measured of a rollout. It is kept if the order is written
// again while the rollout runs.
type localStats struct {
	rolloutStartedAt int64 // Record.StartedAt; zero: not known yet
	routes           map[string]*routeStats
	otherRoutes      *routeStats // all routes beyond maxRoutes
	analysis         analysis
	// These cover all routes together, since ambiguous responses of a target have to be resolved
	// early.
	baseAmbiguous, targetAmbiguous ambiguityFilter
}

// routeStats is what this instance has measured on a route.
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

// trafficFraction returns the estimated fraction of all requests that arrive on a route.
func (t *localStats) trafficFraction(x *routeStats) float64 {
	all := t.analysis.all.total.base.Requests
	return float64(x.base.Requests+1) / float64(all+assumedRoutes)
}
