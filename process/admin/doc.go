// SPDX-License-Identifier: MIT

/*
Package admin is the side of an instance that operators see.

	POST   /v1/apply                    documents to write; see below
	GET    /v1/resources                all resources
	GET    /v1/resources/{kind}         those of a kind
	GET    /v1/resources/{kind}/{name}  one
	DELETE /v1/resources/{kind}/{name}?version=N
	GET    /v1/rollouts/{service}       where the roll-out of a service stands
	GET    /v1/watch?from=N             changes above N, a JSON line each, as they come
	GET    /v1/status                   what each instance has in force
	GET    /v1/status?wait=N&timeout=T  returns once N is in force everywhere
	GET    /metrics, /healthz, /readyz

Every change names, for each resource, the version that it was made against. A
call can carry an operation id in the header Shalewick-Operation; a call that is
made again with the same id is not carried out twice. Refusals are results as
in package request. A role that carries out no roll-outs refuses a change that orders
one as a whole.
*/
package admin
