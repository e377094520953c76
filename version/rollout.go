// SPDX-License-Identifier: MIT

package version

import "time"

// Rollout moves the requests of a service to backend servers that run another version
// of its software, next to those of the present version. A service has at most one.
type Rollout struct {
	Service string `json:"service"`
	// Target is the version of the software to move to.
	Target string `json:"target"`
	// Within is the time limit. When it ends, either all requests have moved or none.
	Within Duration `json:"within"`
}

// MaxRollout is the maximum of Rollout.Within: nobody watches a rollout that takes
// more than a day.
const MaxRollout = 24 * time.Hour

func (k *checker) rollout(r *Rollout) {
	k.requireExists("spec.service", KindService, r.Service)
	k.require(r.Target != "", "spec.target", "must be set")
	k.require(r.Within > 0 && time.Duration(r.Within) <= MaxRollout, "spec.within", "must be above 0 and at most 24h")
}

// Software holds the versions of a service's software that may get requests. Backend
// servers of other versions get none, even if they report that they are ready.
type Software struct {
	// InForce is the version that serves by default.
	InForce string
	// Target is the target version of a rollout in progress; empty if there is none.
	// It gets the requests that are selected for it (see balance.Query.Target).
	Target string
}
