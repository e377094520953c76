// SPDX-License-Identifier: MIT

package version

import "time"

// Rollout asks for the requests of a service to be moved to backend servers that run
// another version of its software, beside the present ones. There is at most one for
// a service.
type Rollout struct {
	Service string `json:"service"`
	// Target is the version of the software that is to serve.
	Target string `json:"target"`
	// Within is the time that there is for it. Then all requests have moved, or none.
	Within Duration `json:"within"`
}

// MaxRollout bounds Rollout.Within: what is not decided in a day is not watched.
const MaxRollout = 24 * time.Hour

func (k *checker) rollout(r *Rollout) {
	k.requireExists("spec.service", KindService, r.Service)
	k.require(r.Target != "", "spec.target", "must be set")
	k.require(r.Within > 0 && time.Duration(r.Within) <= MaxRollout, "spec.within", "must be above 0 and at most 24h")
}

// Software says which versions of a service's software may get requests. Backend
// servers of any other version get none, however ready they say they are.
type Software struct {
	// InForce is the version that serves.
	InForce string
	// Target is that of a roll-out which runs. It gets the requests that are chosen
	// for it (see balance.Query.Target). "": there is none.
	Target string
}
