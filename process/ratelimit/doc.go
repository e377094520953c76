// SPDX-License-Identifier: MIT

/*
Package ratelimit keeps the requests that reach a backend server within the rate limit that its
answers name, over all instances together.

	l.Answered(b, limit, sent)         // each answer names a limit, or none
	l.Blocked(b.Start, priority)       // may a request ask for a permit at all?
	l.Acquire(ctx, b, priority)        // get a permit for one request
	l.Valid(b.Start, at)               // is the permit still good as the first byte leaves?
	l.Return(b.Start, at)              // it was not used

# Permits

For each limited backend server one instance, its owner, has a token bucket (bucket.go). The
others ask it for a permit for each request, in datagrams (wire.go), and wait for the answer for
a bounded time. A request without a permit goes to another backend server. With a denial the
owner says for how long not to ask again, so that the asks that reach it stay near three for
each permit, however many instances there are.

# Limits

What is known of a limit is a word (word.go), which the backend server said within an interval
of time. Words travel with asks and answers, and as rumours beside other observations of backend
servers. docs/design/rate-limits.md tells what happens when instances die, are cut off or
disagree.
*/
package ratelimit
