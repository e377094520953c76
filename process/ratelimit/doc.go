// SPDX-License-Identifier: MIT

/*
Package ratelimit keeps the requests that reach a backend server within the rate limit that its
responses name, over all instances together.

	l.RecordResponse(b, limit, sent)        // each response names a limit, or none
	l.Blocked(b.IncarnationHash, priority)  // for how long will a request get no permit?
	l.Acquire(ctx, b, priority)             // get a permit for one request
	l.Valid(b.IncarnationHash, at)          // is the permit still valid as the first byte is sent?
	l.Return(b.IncarnationHash, at)         // it was not used

# Permits

For each limited backend server one instance, its owner, has a token bucket (bucket.go). The
others request a permit from it for each request, in datagrams (wire.go), and wait for the response
for a bounded time. A request without a permit goes to another backend server. A denial says for
how long not to request another permit, so that the owner gets about three permit requests for
each permit, however many instances there are.

# Limits

An observed limit (word.go) is what the backend server said within an interval of time. Observed
limits are part of permit requests and their responses, and instances gossip that a backend server
is limited together with other observations. docs/design/rate-limits.md describes what happens
when instances crash, are partitioned or disagree.
*/
package ratelimit
