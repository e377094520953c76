// SPDX-License-Identifier: MIT

/*
Package admin serves the HTTP API for operators.

	POST   /v1/apply                    write documents; see below
	GET    /v1/resources                all resources
	GET    /v1/resources/{kind}         resources of a kind
	GET    /v1/resources/{kind}/{name}  one resource
	DELETE /v1/resources/{kind}/{name}?version=N
	GET    /v1/rollouts/{service}       state of a service's rollout
	GET    /v1/watch?from=N             stream of changes after N, one JSON line each
	GET    /v1/status                   status of each instance
	GET    /v1/status?wait=N&timeout=T  returns once N is in force everywhere
	GET    /metrics, /healthz, /readyz

A change names, for each resource, the version that it was based on. A request
can carry an operation id in the header Shalewick-Operation, which makes it
idempotent: a retry with the same id is not carried out twice. Errors are
results as in package request. A role that does not run rollouts refuses the
whole of a change that orders one.
*/
package admin
